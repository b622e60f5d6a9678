// Package world is the emulated deployment that the lab plays: raters, clients, discovery's delays and what goes wrong.
//
// It is pure: no input or output, no goroutine, no lock, no global, no clock. Time is passed in, in milliseconds from
// the start of the day (float64); the same site, seed and calls give the same day and the same course, byte for byte.
// The same types are played in virtual time (lab/sim) and on sockets (lab/live).
//
// # How to play a day
//
// A [Day] is drawn by [Draw]. It holds the true raters, the troubles, a plan of [Step]s sorted by time, and a stream of
// first tries ([Day.Arrivals]). Each first try is carried by a [Client] machine, which says when a try goes out, when
// it is given up and whether there is another. Each rater is a [Rater], each an event-driven machine: tell it what
// reaches it (Offer, Connect, Cancel), ask it when it wants to be called (Next), call it then (Advance), and it reports
// what happened. A [Discovery] says what each node has been told when. In virtual time a [Fleet] holds all raters and
// discovery, walks the plan and answers Next for all; on sockets lab/live walks the plan itself.
//
// # Bounds
//
// A rater holds at most slots + room requests, and while it stands still what its connections have sent it, one
// each. An [Arrivals] stream holds nothing that grows. A Discovery keeps one line a change.
package world

import "linenwheel.dev/linenwheel/lab/form"

// Day is one draw from a site: nothing about it is left to chance but what hashes of its seed settle.
type Day struct {
	Site *Site
	Seed uint64

	Length   float64 // ms in which clients begin requests
	Nodes    int
	Raters   []RaterSpec // those of the start first, then those that come later
	AtStart  int         // so many of them run at the start
	Classes  []DayClass
	Partners []DayPartner
	Troubles []Trouble
	Plan     []Step // sorted by time

	Capacity float64 // work that the raters of the start do in a millisecond, in yardstick cores
	Rate     float64 // first tries a second, mean without steps and surges

	Shape         string  // of the arrivals
	Swing, Period float64 // with waves

	Retries      form.Range // of each client
	TryShare     form.Range
	Backoff      float64
	HonourShare  float64
	Impatient    float64
	FrontNotice  float64 // ms until the front notices that a node is dead
	Lateness     Lateness
	List         Service // Lines is 0 where the list is sent to all nodes
	ClientDelay  float64 // ms one way
	WithinDelay  float64
	AcrossDelay  float64
	Jitter       float64
	ProbeTimeout float64

	factors []span // on the rate: surges
	tails   []tail // heavy tails
	net     []int  // places in Troubles of those on the network
}

// RaterSpec is the truth about one rater, which no node is told.
type RaterSpec struct {
	Number int    // its place in Day.Raters
	Name   string // as discovery tells it
	Kind   int    // place in Site.Kinds
	Zone   int
	Cell   int
	// Address is the number of its address: an heir has that of the rater it follows.
	Address int
	Weight  float64 // as listed

	Cores    int
	Speed    float64 // of a core
	Slots    int
	Room     int
	Conns    int     // most connections
	FullTax  float64 // share of its capacity that a full table of connections takes
	CrowdAt  float64 // held a core
	Crowd    float64 // loss, see Kind.CrowdLoss
	ColdFrom float64
	ColdTime float64
	WarmBy   string
	Errors   float64
	Cancel   string
	Overdue  bool // overdue work is begun all the same

	HandshakeWork  float64 // ms of a yardstick core
	HandshakeTrips float64
	ConnIdle       float64
	ProbeWork      float64
	ProbeCap       int
	ProbeDeep      bool

	PauseEvery, PauseLasts float64 // its own pauses; 0 = none

	FallMultiple, FallTime, FallSlack float64
	Seed                              uint64
}

// Capacity is the work that it does in a millisecond when warm, in yardstick cores.
func (r *RaterSpec) Capacity() float64 { return float64(r.Cores) * r.Speed }

// Lateness is how late discovery is on this day, ms.
type Lateness struct {
	Notice, NoticeSilent, Add, Period, Spread, CountsAfter float64
}

// DayClass is a class with its ranges settled.
type DayClass struct {
	Name          string
	Share         float64
	Work, Wait    float64 // means, ms
	Dist          string
	Spread, Noise float64
	Aim, Deadline float64
	Worth, Late   float64
	Effect        string
	KeyTTL        float64
	RepeatWork    float64
}

// DayPartner is a partner with its ranges settled.
type DayPartner struct {
	Name  string
	Share float64
	Quota float64 // requests a second within its share
	Rate  float64 // requests a second that it asks for
}

// Arrival is a first try: one thing that a client wants.
type Arrival struct {
	Number  uint64  // from 0, in order of time
	At      float64 // when it is due
	Class   int
	Partner int
	Work    float64 // true mean of its attempts, ms of a yardstick core
	Wait    float64
	Key     uint64 // with a keyed class: its own, never 0; else 0
	Over    bool   // beyond its partner's share
	Body    int    // bytes of the request's body
	Answer  int    // bytes of a served answer's body
}

// Worth is what an answer within the aim is worth.
func (d *Day) Worth(a *Arrival) float64 {
	w := d.Classes[a.Class].Worth
	if d.Site.Load.WorthBy == "work" {
		w *= a.Work
	}
	if a.Over {
		w *= d.Site.Load.OverShareWorth
	}
	return w
}
