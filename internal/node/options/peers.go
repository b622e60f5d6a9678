package options

import (
	"fmt"
	"net"
	"slices"
)

// Peers are the processes that hold things for each other: an agreed log, copied to keepers. Nodes and the sub-command peers
// ask it; linenwheel keep is a keeper.
type Peers struct {
	// Fleet is the fleet's name, the same everywhere; whoever says another is turned away. Empty = the node shares nothing.
	Fleet string `toml:"fleet" default:""`
	// Name is that of this machine's keeper; empty = the node's name.
	Name string `toml:"name" default:""`
	// Keepers names the members that vote when the fleet is founded: three or five, or one to try things out.
	Keepers []string `toml:"keepers" default:"[]"`
	// Members are where keepers are reached.
	Members []PeersMember `toml:"member"`
	// Listen is where this machine's keeper listens; empty = where member has it.
	Listen string `toml:"listen" default:""`
	// Directory is where keepers have their folders, named as they are, with votes, entries and images. A folder belongs to one
	// keeper for good.
	Directory string `toml:"directory" default:"keeper"`
	// Synced has votes and entries on the disk before they count. Without it, machines that lose their power together lose what
	// was promised last.
	Synced bool `toml:"synced" default:"true"`
	// Heartbeat is the time between two words of the keeper that leads.
	Heartbeat Duration `toml:"heartbeat" default:"50ms" min:"5ms" max:"10s"`
	// Election is how long keepers wait without such a word before they elect another; each waits up to twice as long.
	Election Duration `toml:"election" default:"500ms" min:"50ms" max:"2m"`
	// Try is how long one keeper may take to answer before another is asked.
	Try Duration `toml:"try" default:"1s" min:"50ms" max:"2m"`
	// Claim is how long after a call's name was agreed it may still be sent to a rater: a node that stood still for longer does not.
	Claim Duration `toml:"claim" default:"5s" min:"100ms" max:"10m"`
	// EndWait is how long an answer waits at the most until the fleet has agreed on it; its client is told then all the same, and
	// the call stays one that may have run.
	EndWait Duration `toml:"end_wait" default:"1s" min:"0s" max:"1m"`
	// OrdersWait is how long a node that starts waits at the most to hear what operators had ordered it, before it says that it is
	// ready; after that it goes on without, and obeys once it has heard.
	OrdersWait Duration `toml:"orders_wait" default:"10s" min:"0s" max:"10m"`
	// Patience is how long the sub-command peers asks for something.
	Patience Duration `toml:"patience" default:"10s" min:"100ms" max:"1h"`
	// ImageEvery is how many bytes of entries come between two images of the state.
	ImageEvery Size `toml:"image_every" default:"4MiB" min:"4KiB" max:"1GiB"`
	// Trail is how many entries are kept behind an image, for keepers that are a little late.
	Trail int `toml:"trail" default:"5000" min:"0" max:"1000000"`
}

// PeersMember is one keeper.
type PeersMember struct {
	// Name is the keeper's.
	Name string `toml:"name" default:""`
	// Address is where the others and the clients reach it.
	Address string `toml:"address" default:""`
}

// Check reports a member that cannot be reached.
func (m *PeersMember) Check(report Report) {
	if m.Name == "" {
		report("is missing", "name")
	}
	if _, _, err := net.SplitHostPort(m.Address); err != nil {
		report("wants HOST:PORT", "address")
	}
}

// Check reports what no fleet can be made of.
func (p *Peers) Check(report Report) {
	if p.Fleet == "" {
		return
	}
	names := []string{}
	for i, m := range p.Members {
		if slices.Contains(names, m.Name) {
			report(fmt.Sprintf("%q stands there twice", m.Name), fmt.Sprintf("member.%d.name", i))
		}
		names = append(names, m.Name)
	}
	for i, k := range p.Keepers {
		switch {
		case !slices.Contains(names, k):
			report(fmt.Sprintf("%q is none of member", k), "keepers")
		case slices.Contains(p.Keepers[:i], k):
			report(fmt.Sprintf("%q stands there twice", k), "keepers")
		}
	}
	if n := len(p.Keepers); n != 1 && n != 3 && n != 5 {
		report(fmt.Sprintf("names %d: want three or five, or one to try things out", n), "keepers", "fleet")
	}
	if p.Election.Ms < 3*p.Heartbeat.Ms {
		report("is less than three times heartbeat: a single late word would cost the leader its lead", "election", "heartbeat")
	}
}

// Address is where a member is reached, empty if the file does not say.
func (p *Peers) Address(name string) string {
	for _, m := range p.Members {
		if m.Name == name {
			return m.Address
		}
	}
	return ""
}
