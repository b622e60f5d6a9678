package decide

// This file holds the types of what a Balancer knows, without a decision among them; decide.go decides.

import (
	"math/rand/v2"
	"time"
)

// fit holds fading sums over samples of (load, latency) for a curve latency = idle + bend * load^2.
type fit struct{ n, y, v2 float64 }

// pool is the evidence of all backends of one kind, in this zone or in the others. It is the prior for each
// of them: on a large fleet a node sends one backend too little to learn a curve from that alone.
type pool struct {
	fit    fit     // fading
	recent fit     // since the last solve
	idle   float64 // latency at no load, seconds
	crowd  float64 // of the curve over attempts held
	bend   float64 // of the curve over load that follows from it
	seen   bool    // idle is more than a guess
	batch  float64 // the mean being collected for idle
	batchN int
}

// server is what the node knows of one backend.
type server struct {
	Backend
	size    float64 // from the listed weight, where weights have a meaning
	pool    *pool
	read    float64       // latency foretold by the last reading of held work
	readAt  time.Duration // and when it came
	nominal float64       // the most that a live weight was
	price   float64       // of crossing to its zone, as latency in seconds

	y, expect, n float64 // fading sums: own latencies, what the kind's curve expected, and how many
	slow         float64 // how many times slower than its kind it is

	place    float64       // on the circle of all backends, from 0 to 1,
	offset   float64       // and how far that is from where this node's part begins
	share    float64       // of the node's load
	each     float64       // attempts of all nodes that one of ours stands for,
	others   float64       // and by size those that are there whatever ours are
	goal     float64       // the rate the solver wants, units a second
	coldTop  float64       // the most that a cold one may get, units a second; infinite when warm
	coldNext time.Duration // a cold one gets nothing before then
	top      float64       // w_max as a rate: no more is given, units a second
	next     float64       // virtual time of its next turn
	turn     int           // place in the heap of turns, -1 = none

	fails    int           // times away since the last answer
	silent   int           // attempts given up since the last answer, each sent after the one before ended
	good     float64       // fading count of answers,
	bad      float64       // and of failures
	lost     float64       // and of attempts without an answer in time
	risk     float64       // price of those that bring no answer, as latency in seconds
	newest   time.Duration // when the attempt was sent that was sent last of those answered
	run      float64       // failures since the last answer
	silentAt time.Duration // when the last of them was given up
	until    time.Duration // away until then
	away     bool
	onTrial  bool // one request is out to see whether it is back
	out      int  // attempts out
	overdue  int  // and those that should have been answered by now
	answered time.Duration
	ills     []ill // by class
}

// ill is what the node knows of a backend that may leave one class of requests unanswered.
type ill struct {
	heard time.Duration // the last answer to the class
	run   float64       // attempts of the class given up since, each sent after the one before was,
	at    time.Duration // the last then
	until time.Duration // the class is not sent there before
	times int           // how often in a row
}

type attempt struct {
	server  *server
	sent    time.Duration
	held    float64 // attempts that the backend held when it was sent, this one included, by size
	charged float64 // latency already counted against the backend while the attempt was out
	open    bool
	ran     bool // it may have
	overdue bool
}

type request struct {
	id       RequestID
	class    int
	work     float64 // units
	arrived  time.Duration
	deadline time.Duration
	closed   bool
	ran      bool // an attempt may have run
	begun    bool
	useless  bool // a backend that read it turned it away for good
	attempts []attempt
	out      int
}

// due is an attempt whose time to be overdue is still to come.
type due struct {
	id      RequestID
	attempt int
}

// class is what the node learns of a class of requests.
type class struct {
	Class
	n, y    float64 // fading sums of latencies
	work    float64 // units a request
	cost    float64 // mean of the hints
	waiting []due   // attempts in the order they were sent
	head    int
}

// bin holds requests of equal worth.
type bin struct {
	value float64 // worth a unit
	limit float64 // seconds a unit: the expected latency up to which they are let in
}

// zone is what the node learns of the way to a zone.
type zone struct {
	heard time.Duration // last answer from it
	fails int           // attempts without one since
	until time.Duration // cut off until then
	times int           // how often in a row
}

// Balancer makes the decisions of one node.
type Balancer struct {
	set     Settings
	act     Actions
	rand    *rand.Rand
	now     time.Duration
	started bool

	servers []*server
	byID    map[BackendID]*server
	pools   []pool
	zones   []zone
	turns   turns
	part    float64   // of the fleet that this node keeps to
	arc     []*server // reused: those that serve, from where the part begins
	users   float64   // nodes that keep to one backend
	sizes   float64   // of all backends that serve
	whole   float64   // the most that was
	clock   float64   // virtual time of round robin

	requests map[RequestID]*request
	free     []*request
	classes  []class
	cheap    int // the class that trials are made with
	bins     []bin
	quota    []float64

	asked, sent       float64 // units since the last solve,
	borne             float64 // and answered by warm backends
	newLate, heardNow float64 // attempts overdue and answered since the last solve
	askRate, rate     float64 // units a second, smoothed: asked of the node, and sent by it,
	bearRate          float64 // and answered by warm backends, from 0 on: what came at once at a start is no rate
	lastSolve         time.Duration
	lates, answers    float64 // fading counts of attempts given up and answered,
	bads              float64 // and of those that failed
	tokens            float64 // further attempts that may be made
	aim               float64 // seconds, the shortest
	pace              float64 // how much faster all goes than usual: times are this part of what they are then
	trials            []*server
	watching          bool
	sweepEvery        time.Duration
	askFails          int
	wait              float64 // seconds a unit: the latency that the dearest work can bear
	shedding          bool
}

// turns is a heap of backends by the virtual time of their next turn.
type turns []*server

func (t turns) Len() int           { return len(t) }
func (t turns) Less(i, j int) bool { return t[i].next < t[j].next }
func (t turns) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].turn, t[j].turn = i, j
}

// Push is for container/heap.
func (t *turns) Push(x any) {
	s := x.(*server)
	s.turn = len(*t)
	*t = append(*t, s)
}

// Pop is for container/heap.
func (t *turns) Pop() any {
	last := len(*t) - 1
	s := (*t)[last]
	s.turn = -1
	*t = (*t)[:last]
	return s
}
