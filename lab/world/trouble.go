package world

import (
	"encoding/json"

	"linenwheel.dev/linenwheel/lab/form"
)

// Kinds of trouble. Where nothing else is said, a trouble lasts from At for Length and then ends.
const (
	// Among the raters: carried out by [Rater].
	Slow       = "slow"        // Part of the raters run Size times slower
	Hang       = "hang"        // Part take requests and answer none
	Pauses     = "pauses"      // Part stand still for Pause every Every
	HeavyTail  = "heavy_tail"  // Share of the requests of one Class cost Size times the work
	SharedSlow = "shared_slow" // every rater, and what they wait for, is Size times slower
	Errors     = "errors"      // Part answer Share of their requests with an error, having run them

	// The raters' processes: carried out by [Fleet] in virtual time, by lab/live on sockets.
	Drain   = "drain"   // Part finish what they have, take nothing new and end; back, cold, after Length (0 = never)
	Restart = "restart" // Part die and are back after Length, cold
	Kill    = "kill"    // Part die; back, cold, after Length (0 = never)
	Vanish  = "vanish"  // Part fall silent with their machine; back after Length (0 = never)
	Heir    = "heir"    // Part die for good; after Gap another rater starts at the address of each
	Churn   = "churn"   // every Every, one rater is drained and replaced by one with a new name

	// Discovery.
	DiscoverySilent = "discovery_silent" // tells nothing
	DiscoveryMoved  = "discovery_moved"  // listens at another address from At on, named in a new file and SIGHUP
	DiscoveryHalf   = "discovery_half"   // Share of its answers break off half way
	StaleNode       = "stale_node"       // Nodes get no news

	// Answers of raters, on sockets.
	Spoilt  = "spoilt"  // Share of answers are noise, endless heads, wrong lengths, 3 GB
	Surplus = "surplus" // Share of answers bring more than belongs to them: a copy, noise, 1xx in front
	Resets  = "resets"  // Share of attempts are reset between their last byte and their answer

	// Rude clients, on sockets, Rate connections a second of the named ways (Ways; empty = all).
	Rude = "rude"

	// Clients in virtual time and on sockets.
	Surge = "surge" // Size times as many requests

	// Nodes.
	NodeRestart = "node_restart" // SIGTERM, and a start under the same name after Gap
	NodeKill    = "node_kill"    // SIGKILL, likewise
	NodeRoll    = "node_roll"    // a second process of the name starts, which is to take over from the first
	NodeReload  = "node_reload"  // SIGHUP with a new file

	// The network between two parties, see Between.
	NetDelay   = "net_delay"   // Delay is added to each passage
	NetJitter  = "net_jitter"  // up to Delay, at random
	NetLoss    = "net_loss"    // Share of passages stall for Delay, as a lost packet's resending does
	NetCut     = "net_cut"     // nothing passes; connections stay open and silent
	NetHalf    = "net_half"    // half-open: what the second party sends is lost, the first hears nothing
	SlowReader = "slow_reader" // the first party reads Rate bytes a second
)

// RudeWays are the ways of rude clients.
var RudeWays = []string{"unreadable", "endless", "too_large", "half", "flood", "silent", "wrong_length",
	"no_id", "stolen_id", "no_class", "bad_deadline", "smuggled", "again"}

// TroubleSpec is a trouble as a file gives it: in a site file by ranges, from which a day draws some; in an
// experiment with its time. Which fields a kind takes, and what it does without them, says [TroubleKinds].
type TroubleSpec struct {
	Kind    string     `toml:"kind"`
	At      form.Span  `toml:"at"`     // from the day's start; in a site file: drawn
	Length  form.Span  `toml:"length"` // how long
	Part    form.Range `toml:"part"`   // of the raters (or of the nodes)
	Raters  []int      `toml:"raters"` // or these, by number
	Zone    string     `toml:"zone"`   // or all raters of the start in this zone
	Nodes   []int      `toml:"nodes"`
	Size    form.Range `toml:"size"`
	Share   form.Range `toml:"share"`
	Every   form.Span  `toml:"every"`
	Pause   form.Span  `toml:"pause"`
	Gap     form.Span  `toml:"gap"`
	Delay   form.Span  `toml:"delay"`
	Rate    form.Range `toml:"rate"`
	Class   string     `toml:"class"`   // empty: drawn
	Ways    []string   `toml:"ways"`    // of rude clients
	Between []string   `toml:"between"` // two parties: "clients", "nodes", "raters", "discovery", or one: "node-0", "rater-3"
}

// Trouble is a trouble of a drawn day: everything settled.
type Trouble struct {
	Kind    string   `json:"kind"`
	From    float64  `json:"from_ms"`
	To      float64  `json:"to_ms"` // +Inf: for good
	Raters  []int    `json:"raters,omitempty"`
	Nodes   []int    `json:"nodes,omitempty"`
	Size    float64  `json:"size,omitempty"`
	Share   float64  `json:"share,omitempty"`
	Every   float64  `json:"every_ms,omitempty"`
	Pause   float64  `json:"pause_ms,omitempty"`
	Gap     float64  `json:"gap_ms,omitempty"`
	Delay   float64  `json:"delay_ms,omitempty"`
	Rate    float64  `json:"rate,omitempty"`
	Class   int      `json:"class"` // -1: none
	Ways    []string `json:"ways,omitempty"`
	Between [2]Party `json:"between"`
	Heirs   []int    `json:"heirs,omitempty"` // raters that take the place of Raters, one each
	seed    uint64   // of what is drawn while it lasts
}

// MarshalJSON leaves to_ms out of a trouble that stays for good: JSON has no infinity.
func (t Trouble) MarshalJSON() ([]byte, error) {
	type plain Trouble // without this method
	out := struct {
		plain
		To *float64 `json:"to_ms,omitempty"`
	}{plain: plain(t)}
	if t.To < inf {
		out.To = &t.To
	}
	return json.Marshal(out)
}

// UnmarshalJSON reads the same.
func (t *Trouble) UnmarshalJSON(text []byte) error {
	type plain Trouble
	in := plain{To: inf}
	if err := json.Unmarshal(text, &in); err != nil {
		return err
	}
	*t = Trouble(in)
	return nil
}

// PartyKind is a kind of party.
type PartyKind uint8

// The kinds of party. NoParty is also that of a trouble without a network part.
const (
	NoParty PartyKind = iota
	ClientParty
	NodeParty
	RaterParty
	DiscoveryParty
)

// Party is one party of the world, or all of a kind.
type Party struct {
	Kind   PartyKind `json:"kind"`
	Number int       `json:"number"` // -1: all
}

// Covers tells whether q is p or one of p's.
func (p Party) Covers(q Party) bool {
	return p.Kind == q.Kind && (p.Number < 0 || p.Number == q.Number)
}

// Do is what a step of the plan does.
type Do uint8

// The steps. Rater names the rater that a step is about, Size its figure.
const (
	SetSlow      Do = iota // runs Size times slower; 1 ends it
	SetShared              // as SetSlow, for what it waits for too
	SetErrors              // answers Size of its requests with an error; 0 ends it
	Freeze                 // stands still: takes bytes, does nothing, answers nothing
	Thaw                   // goes on
	StartRater             // its process starts; Size = share of its capacity that it starts with (1 = warm)
	DrainRater             // finishes what it has, turns away what comes
	EndRater               // its process ends: connections reset, new ones refused
	HideRater              // its machine says nothing any more: connections open and silent
	CutDiscovery           // Rater = -1: discovery tells nothing; else Node gets nothing
	MendDiscovery
	MoveDiscovery
	StopNode  // SIGTERM; Node
	KillNode  // SIGKILL; Node
	StartNode // Node
	RollNode  // its next process starts beside the one that runs; Node
	ReloadNode
)

// Step is one thing that happens at a time, whatever the nodes do.
type Step struct {
	At      float64
	Do      Do
	Rater   int // -1: none or all
	Node    int // -1: none or all
	Size    float64
	Trouble int // its number in the day; -1: the day itself
}
