package options

import (
	"fmt"
	"net"
	"slices"
	"strconv"

	"linenwheel.dev/linenwheel/internal/node/config"
)

// Takeover is how a running process can be asked how it does, and how a new one takes its place.
type Takeover struct {
	// Socket is the path of the Unix socket at which the process answers `linenwheel status`, and hands over to one that
	// is started with -takeover. Empty is none.
	Socket string `toml:"socket" default:""`
	// AnswerLimit is the time in which one of the two processes must answer what needs no work.
	AnswerLimit Duration `toml:"answer_limit" default:"5s" min:"100ms" max:"1h"`
	// ReadyLimit is the time in which the new process must be ready to serve, or the old one goes on.
	ReadyLimit Duration `toml:"ready_limit" default:"1m" min:"100ms" max:"1h"`
	// Recall says whether a new process uses what the one before had learned of the hosts. Without, it learns anew.
	Recall bool `toml:"recall" default:"true"`
}

// State is what outlives a process where the machine has a disk that does.
type State struct {
	// Directory holds the list of hosts, the learned curves and the hosts' health, for the next start. It belongs to one
	// node. Empty is off.
	Directory string `toml:"directory" default:""`
	// Every is the time between two snapshots. There is one more at the end.
	Every Duration `toml:"every" default:"5s" min:"100ms" max:"24h"`
	// UseFor is how old a snapshot may be to be used at all. Younger ones weigh by their age.
	UseFor Duration `toml:"use_for" default:"10m" min:"1s" max:"720h"`
	// From are the operators' doors (host:port) of other nodes of the fleet. A node that starts without a state of its own, or with
	// one that is older than 4 s, asks up to three of them for what they know of the hosts. Empty asks none.
	From []string `toml:"from" default:"[]"`
	// FromWait is the most time that this may take. The node is ready so much later, and starts without it after that.
	FromWait Duration `toml:"from_wait" default:"1s" min:"50ms" max:"30s"`
}

// mostDoors bounds state.from.
const mostDoors = 64

// Check reports doors that cannot be called.
func (s *State) Check(report Report) {
	if len(s.From) > mostDoors {
		report(fmt.Sprintf("from has %d doors, want %d at the most", len(s.From), mostDoors), "from")
	}
	for i, door := range s.From {
		host, port, err := net.SplitHostPort(door)
		if n, bad := strconv.ParseUint(port, 10, 16); err != nil || bad != nil || n == 0 || host == "" {
			report(fmt.Sprintf("from: %q is no host:port", door), "from")
		}
		if slices.Index(s.From, door) != i {
			report(fmt.Sprintf("from has %q twice", door), "from")
		}
	}
}

// Fleet says how many instances share the raters, for those whose configuration is not numbered by the platform.
type Fleet struct {
	// Size is how many instances there are. 0 takes settings.group_size.
	Size int `toml:"size" default:"0" min:"0" max:"100000"`
	// Number is this one's place among them, from 0. -1 takes settings.my_number.
	Number int `toml:"number" default:"-1" min:"-1" max:"99999"`
	// Members are the names of all instances, in place of size and number: these follow from them.
	Members []string `toml:"members" default:"[]"`
	// RaterConnections is how many connections one rater holds, from all instances together. Each keeps to its part of
	// them. 0 is no limit.
	RaterConnections int `toml:"rater_connections" default:"0" min:"0" max:"10000000"`
}

// Place tells how many instances there are and which of them the one with a name is; size and number are what the
// platform says.
func (f *Fleet) Place(name string, size, number int) (int, int) {
	if len(f.Members) > 0 {
		return len(f.Members), max(0, slices.Index(f.Members, name))
	}
	if f.Size > 0 {
		size = f.Size
	}
	if f.Number >= 0 {
		number = f.Number
	}
	return size, number
}

// Check reports a fleet that cannot be.
func (f *Fleet) Check(report Report) {
	if f.Size > 0 && f.Number >= f.Size {
		report(fmt.Sprintf("number, %d, is not below size, %d", f.Number, f.Size), "number", "size")
	}
	if len(f.Members) > 0 && (f.Size > 0 || f.Number >= 0) {
		report("members stands in place of size and number", "members")
	}
	for i, name := range f.Members {
		if slices.Index(f.Members, name) != i {
			report(fmt.Sprintf("members has %q twice", name), "members")
		}
	}
}

// Against reports a fleet that this node is no part of.
func (f *Fleet) Against(c *config.Config, report Report) {
	if len(f.Members) > 0 && !slices.Contains(f.Members, c.Name) {
		report(fmt.Sprintf("%q, the name of this node, is none of members", c.Name), "members")
	}
	if size, number := f.Place(c.Name, c.Settings.Nodes, c.Settings.Node); number >= size && f.Number >= 0 {
		report(fmt.Sprintf("number, %d, is not below settings.group_size, %d", number, size), "number")
	}
}
