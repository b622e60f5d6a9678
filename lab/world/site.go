package world

import (
	"linenwheel.dev/linenwheel/lab/form"
)

// Site describes a deployment by ranges: a day is one draw from them. Times are in milliseconds once read, work is
// in milliseconds of a core of speed 1 (the yardstick).
type Site struct {
	Name  string `toml:"name"`
	About string `toml:"about"` // one line for `lab list`

	Size      Size            `toml:"size"`
	Load      Load            `toml:"load"`
	Network   Network         `toml:"network"`
	Front     Front           `toml:"front"`
	Clients   Clients         `toml:"clients"`
	Discovery DiscoveryDelays `toml:"discovery"`
	Node      NodeLimits      `toml:"node"`
	Rules     Rules           `toml:"rules"`
	Weights   Weights         `toml:"weights"`
	Prices    Prices          `toml:"prices"`
	Conns     Conns           `toml:"connections"`
	Probe     ProbeCost       `toml:"probe"`
	Kinds     []Kind          `toml:"kind"`
	Classes   []Class         `toml:"class"`
	Partners  []Partner       `toml:"partner"`
	Troubles  []TroubleSpec   `toml:"trouble"` // what a day may draw from, see TroubleSpec

	Replayed []Arrival `toml:"-"` // what ReadArrivals read; empty: arrivals are drawn
}

// Size is how many of each party there are, and how long a day lasts.
type Size struct {
	Raters form.Range `toml:"raters"`
	Nodes  form.Range `toml:"nodes"`
	Day    form.Span  `toml:"day"` // in which clients begin requests
	Zones  []string   `toml:"zones"`

	Troubles form.Range `toml:"troubles"` // so many of the site's troubles strike on a day
}

// Arrival processes.
const (
	Poisson = "poisson" // independent arrivals at a steady rate
	Even    = "steady"  // equal gaps
	Waves   = "waves"   // Poisson arrivals whose rate rises and falls by Swing
)

// Load is how much is asked for.
type Load struct {
	Level  form.Range `toml:"level"`  // work asked for, as a share of what the fleet can do
	Rate   form.Range `toml:"rate"`   // or requests a second; goes before Level where it is set
	Shape  []string   `toml:"shape"`  // one of these is drawn
	Swing  form.Range `toml:"swing"`  // with waves: share of the rate
	Period form.Span  `toml:"period"` // with waves
	File   string     `toml:"file"`   // recorded arrivals in place of all that, see [Site.ReadArrivals]
	Steps  []LoadStep `toml:"step"`   // may be empty: steps and ramps laid over the shape

	// QuotaOfCapacity is what all partners' shares together come to, as a share of what the fleet can do. A request
	// beyond its partner's share is worth OverShareWorth of the usual.
	QuotaOfCapacity form.Range `toml:"quota_of_capacity"`
	OverShareWorth  float64    `toml:"over_share_worth"`
	WorthBy         string     `toml:"worth_by"` // "work": worth is counted for each unit of work; "request"
}

// LoadStep sets the factor on the rate from At on. With Ramp the factor changes evenly from the step before to this.
type LoadStep struct {
	At    form.Span `toml:"at"`
	Times float64   `toml:"times"`
	Ramp  bool      `toml:"ramp"`
}

// Network is the delay between parties, one way.
type Network struct {
	Within form.Span  `toml:"within"` // node and rater of one zone
	Across form.Span  `toml:"across"` // of different zones
	Client form.Span  `toml:"client"` // client and node
	Jitter form.Range `toml:"jitter"` // added to each passage: up to this share of the delay
}

// Front is the layer that spreads clients over nodes.
type Front struct {
	Notice form.Span `toml:"notice"` // until it notices that a node is dead
}

// Clients is what clients do by themselves.
type Clients struct {
	Retries       form.Range `toml:"retries"`   // at most so many further tries, whole
	TryShare      form.Range `toml:"try_share"` // a try is given up after this share of the class's give-up time
	Backoff       form.Span  `toml:"backoff"`   // before the first retry; doubles with each further one
	Honour        form.Range `toml:"honour"`    // share of clients that keep to Retry-After
	MaxRetryAfter form.Span  `toml:"max_retry_after"`
	Impatient     form.Range `toml:"impatient"`    // share of tries whose client leaves early
	MarksRetry    bool       `toml:"marks_retry"`  // retries carry a mark
	Connections   int        `toml:"connections"`  // most that the clients of one node hold, 0 = no limit
	Body          form.Range `toml:"body_bytes"`   // of a request that has a body
	Answer        form.Range `toml:"answer_bytes"` // of a served answer
}

// DiscoveryDelays is how late the list is.
type DiscoveryDelays struct {
	Notice       form.Span `toml:"notice"`        // until an end or a drain is noticed
	NoticeSilent form.Span `toml:"notice_silent"` // until a machine that says nothing any more is
	Add          form.Span `toml:"add"`           // until a start is
	Period       form.Span `toml:"period"`        // changes are sent out so often
	Spread       form.Span `toml:"spread"`        // and reach one node up to so much later than another
	CountsAfter  form.Span `toml:"counts_after"`  // counts as told so long after discovery had it to tell, come or not

	// Where the list must be asked for, one service has it for all nodes and sends so many lines a second; 0 = it is sent to
	// all nodes as it changes. A call costs CallLines besides the lines of its answer, and fails after Patience in turn.
	LinesPerS form.Range `toml:"lines_per_s"`
	CallLines float64    `toml:"call_lines"`
	Patience  form.Span  `toml:"patience"`
}

// NodeLimits is what a node may use and do.
type NodeLimits struct {
	Cores        float64 `toml:"cores"`
	MemoryMB     float64 `toml:"memory_mb"`
	Sockets      int     `toml:"sockets"`
	MaxAttempts  int     `toml:"max_attempts"`
	Probes       bool    `toml:"probes"`
	Cancel       bool    `toml:"cancel"`
	SecondCopies bool    `toml:"second_copies"`
	RetryAfter   bool    `toml:"retry_after"`
}

// Rules are the figures of the four rules, see docs/design/lab.md.
type Rules struct {
	AnswerSlack  form.Span `toml:"answer_slack"`  // a final answer counts until so long past the client's deadline
	DrainGrace   form.Span `toml:"drain_grace"`   // nothing new so long after a drain or an end was told
	Slack        form.Span `toml:"slack"`         // on sockets, each of these times grows by this
	ColdFrom     float64   `toml:"cold_from"`     // least share of its capacity that a rater starts with
	ColdTime     form.Span `toml:"cold_time"`     // it is warm by then
	FallMultiple float64   `toml:"fall_multiple"` // sent more than this multiple of what it can do
	FallTime     form.Span `toml:"fall_time"`     // over this time, a cold rater falls over
	FallSlack    float64   `toml:"fall_slack"`    // share of that budget that chance may add
	FallBlame    float64   `toml:"fall_blame"`    // broken if this share came from nodes that had been told of the start
}

// Weights are the parts of the service figure. They add up to 1.
type Weights struct {
	Whole        float64   `toml:"whole"`
	WorstWindow  float64   `toml:"worst_window"`
	Window       form.Span `toml:"window"`
	WorstClass   float64   `toml:"worst_class"`
	WorstPartner float64   `toml:"worst_partner"` // within its share
}

// Prices are taken off the service figure, each times its share or rate.
type Prices struct {
	LateFail  float64 `toml:"late_fail"`  // worth that ended unserved after its aim, of all worth
	Waste     float64 `toml:"waste"`      // work that gave no answer, as a multiple of the work asked for
	Probe     float64 `toml:"probe"`      // probes a request
	CrossZone float64 `toml:"cross_zone"` // attempts that crossed zones, a request
	SatOn     float64 `toml:"sat_on"`     // of the worth of a request that no rater got whole and that was not
	//                                       answered, or refused or failed after more than half of its time
	Rude float64 `toml:"rude"` // share of rude clients that got neither a close nor an error in time
}

// Conns is what connections to a rater cost.
type Conns struct {
	HandshakeTrips form.Range `toml:"handshake_trips"` // passages there and back before the first request
	HandshakeWork  form.Span  `toml:"handshake_work"`  // of a rater's core
	Idle           form.Span  `toml:"idle"`            // the rater closes one that is idle for so long
	ConnectTimeout form.Span  `toml:"connect_timeout"`
	PerCore        form.Range `toml:"per_core"` // most connections that a rater takes
	FullTax        form.Range `toml:"full_tax"` // share of its capacity that a full table takes
}

// ProbeCost is what a probe costs.
type ProbeCost struct {
	Work    form.Span  `toml:"work"`
	PerCore form.Range `toml:"per_core"` // probes at once
	Deep    []bool     `toml:"deep"`     // a deep probe waits and is served like a request; one of these is drawn
	Timeout form.Span  `toml:"timeout"`
}

// What a cancelled attempt does to a rater.
const (
	CancelNothing = "none"    // goes on, waiting or running
	CancelWaiting = "waiting" // dropped while it waits; goes on once it runs
	CancelAll     = "all"     // dropped or stopped
)

// How a cold rater warms.
const (
	WarmByTime = "time"
	WarmByWork = "work"
)

// Kind is a kind of machine.
type Kind struct {
	Name         string     `toml:"name"`
	Share        form.Range `toml:"share"` // of the raters; shares are scaled to add up to 1
	Cores        int        `toml:"cores"`
	Speed        form.Range `toml:"speed"`          // of a core, 1 = the yardstick
	Spread       form.Range `toml:"spread"`         // coefficient of variation of the speed within the kind
	SlotsPerCore form.Range `toml:"slots_per_core"` // requests in work at once
	RoomPerCore  form.Range `toml:"room_per_core"`  // places in the waiting room
	CrowdLoss    form.Range `toml:"crowd_loss"`     // efficiency is 1/(1+loss*(held a core-CrowdFrom)) above CrowdFrom
	CrowdFrom    form.Range `toml:"crowd_from"`     // held a core
	ColdFrom     form.Range `toml:"cold_from"`      // share of its capacity after a start
	ColdTime     form.Span  `toml:"cold_time"`
	WarmBy       string     `toml:"warm_by"`
	Errors       form.Range `toml:"errors"` // share of requests that end in an error, having run
	Cancel       string     `toml:"cancel"`
	DropsOverdue []bool     `toml:"drops_overdue"` // a request whose time is up is not begun; one of these is drawn
	PauseEvery   form.Span  `toml:"pause_every"`   // pauses of its own (garbage collection); 0 = none
	PauseLasts   form.Span  `toml:"pause_lasts"`
	ListedWeight string     `toml:"listed_weight"` // "nominal" (cores times the kind's mean speed) or "none"
}

// Effects of a class.
const (
	Safe   = "safe"   // may be repeated at will
	Keyed  = "keyed"  // carries a key; raters drop a repeat for KeyTTL
	Unsafe = "unsafe" // must never run twice
)

// Distributions of work within a class.
const (
	Fixed       = "fixed"
	LogNormal   = "lognormal"
	Exponential = "exponential"
)

// Class is a class of requests.
type Class struct {
	Name       string     `toml:"name"`
	Share      form.Range `toml:"share"` // of the requests; shares are scaled to add up to 1
	Work       form.Span  `toml:"work"`  // mean, of a core of speed 1
	Wait       form.Span  `toml:"wait"`  // mean, for others: holds a slot but no core
	Dist       []string   `toml:"dist"`  // one of these is drawn
	Spread     form.Range `toml:"spread"`
	TryNoise   form.Range `toml:"attempt_noise"` // coefficient of variation between attempts of one request
	Aim        form.Span  `toml:"aim"`           // an answer within this earns the full worth
	Deadline   form.Span  `toml:"deadline"`      // given up after this, all tries together
	Worth      float64    `toml:"worth"`
	LateWorth  float64    `toml:"late_worth"` // share of the worth of an answer after its aim
	Effect     string     `toml:"effect"`
	KeyTTL     form.Span  `toml:"key_ttl"`     // with keyed: how long every rater drops a repeat
	RepeatWork float64    `toml:"repeat_work"` // with keyed: share of the work that a dropped repeat still costs
}

// Partner is one of those who share the fleet.
type Partner struct {
	Name  string     `toml:"name"`
	Share float64    `toml:"share"` // of what the fleet can do (times QuotaOfCapacity)
	Usage form.Range `toml:"usage"` // what it asks for, as a multiple of its share; scaled to the load
}

// ParseSite reads a site file. An error names the file, the line and the field.
func ParseSite(file, text string) (*Site, error) {
	s := &Site{}
	if err := form.Read(file, text, s); err != nil {
		return nil, err
	}
	s.defaults()
	return s, s.Check(file, text)
}
