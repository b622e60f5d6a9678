package decide

// This file holds the types of what a Balancer knows, without a decision among them; decide.go decides.

import (
	"math/rand/v2"
	"time"
)

// sampleSums holds fading sums over samples of (load, latency) for a curve latency = idle + bend * load^2.
type sampleSums struct{ count, latency, loadSquared float64 }

// kindModel is the evidence of all backends of one kind, in this zone or in the others. It is the prior for each
// of them: on a large fleet a node sends one backend too little to learn a curve from that alone.
type kindModel struct {
	sums           sampleSums // fading
	recentSums     sampleSums // since the last solve
	idleLatency    float64    // latency at no load, seconds
	inFlightCoeff  float64    // of the curve over attempts held
	loadCoeff      float64    // of the curve over load that follows from it
	measured       bool       // idle is more than a guess
	idleBatchSum   float64    // the mean being collected for idle
	idleBatchCount int
}

// backendState is what the node knows of one backend.
type backendState struct {
	Backend
	size             float64 // from the listed weight, where weights have a meaning
	model            *kindModel
	reportedLatency  float64       // latency foretold by the last reading of held work
	reportedAt       time.Duration // and when it came
	maxWeight        float64       // the most that a live weight was
	crossZonePenalty float64       // of crossing to its zone, as latency in seconds

	latencySum, expectedSum, sampleCount float64 // fading sums: own latencies, what the kind's curve expected, and how many
	slowdown                             float64 // how many times slower than its kind it is

	ringPosition   float64       // on the circle of all backends, from 0 to 1,
	subsetOffset   float64       // and how far that is from where this node's part begins
	share          float64       // of the node's load
	attemptScale   float64       // attempts of all nodes that one of ours stands for,
	othersInFlight float64       // and by size those that are there whatever ours are
	solvedRate     float64       // the rate the solver wants, units a second
	slowStartLimit float64       // the most that a cold one may get, units a second; infinite when warm
	slowStartNext  time.Duration // a cold one gets nothing before then
	maxRate        float64       // w_max as a rate: no more is given, units a second
	nextPick       float64       // virtual time of its next turn
	queueIndex     int           // place in the heap of turns, -1 = none

	ejections           int           // times away since the last answer
	consecutiveTimeouts int           // attempts given up since the last answer, each sent after the one before ended
	responses           float64       // fading count of answers,
	failures            float64       // and of failures
	timeouts            float64       // and of attempts without an answer in time
	riskPenalty         float64       // price of those that bring no answer, as latency in seconds
	newestAnswered      time.Duration // when the attempt was sent that was sent last of those answered
	consecutiveFailures float64       // failures since the last answer
	lastTimeout         time.Duration // when the last of them was given up
	ejectedUntil        time.Duration // away until then
	ejected             bool
	inTrial             bool // one request is out to see whether it is back
	inFlight            int  // attempts out
	overdue             int  // and those that should have been answered by now
	lastResponse        time.Duration
	classHealth         []classHealth // by class
}

// classHealth is what the node knows of a backend that may leave one class of requests unanswered.
type classHealth struct {
	lastResponse        time.Duration // the last answer to the class
	consecutiveFailures float64       // attempts of the class given up since, each sent after the one before was,
	lastFailure         time.Duration // the last then
	ejectedUntil        time.Duration // the class is not sent there before
	ejections           int           // how often in a row
}

type attempt struct {
	backend         *backendState
	sentAt          time.Duration
	inFlight        float64 // attempts that the backend held when it was sent, this one included, by size
	recordedLatency float64 // latency already counted against the backend while the attempt was out
	open            bool
	mayHaveRun      bool // it may have
	overdue         bool
}

type request struct {
	id            RequestID
	class         int
	work          float64 // units
	arrived       time.Duration
	deadline      time.Duration
	closed        bool
	mayHaveRun    bool // an attempt may have run
	streamStarted bool
	rejected      bool // a backend that read it turned it away for good
	attempts      []attempt
	openAttempts  int
}

// pendingAttempt is an attempt whose time to be overdue is still to come.
type pendingAttempt struct {
	id      RequestID
	attempt int
}

// class is what the node learns of a class of requests.
type class struct {
	Class
	sampleCount, latencySum float64          // fading sums of latencies
	work                    float64          // units a request
	meanCost                float64          // mean of the hints
	unanswered              []pendingAttempt // attempts in the order they were sent
	unansweredHead          int
}

// admissionClass holds requests of equal worth.
type admissionClass struct {
	value        float64 // worth a unit
	latencyLimit float64 // seconds a unit: the expected latency up to which they are let in
}

// zoneHealth is what the node learns of the way to a zone.
type zoneHealth struct {
	lastResponse time.Duration // last answer from it
	failures     int           // attempts without one since
	ejectedUntil time.Duration // cut off until then
	ejections    int           // how often in a row
}

// Balancer makes the decisions of one node.
type Balancer struct {
	settings Settings
	actions  Actions
	random   *rand.Rand
	now      time.Duration
	started  bool

	backends        []*backendState
	byID            map[BackendID]*backendState
	kindModels      []kindModel
	zones           []zoneHealth
	pickQueue       pickQueue
	subsetFraction  float64         // of the fleet that this node keeps to
	subsetOrder     []*backendState // reused: those that serve, from where the part begins
	nodesPerBackend float64         // nodes that keep to one backend
	servingSize     float64         // of all backends that serve
	maxServingSize  float64         // the most that was
	virtualTime     float64         // virtual time of round robin

	requests         map[RequestID]*request
	freeRequests     []*request
	classes          []class
	trialClass       int // the class that trials are made with
	admissionClasses []admissionClass
	tenantTokens     []float64

	arrivedWork, sentWork    float64 // units since the last solve,
	warmServedWork           float64 // and answered by warm backends
	newOverdue, newResponses float64 // attempts overdue and answered since the last solve
	arrivalRate, sendRate    float64 // units a second, smoothed: asked of the node, and sent by it,
	warmServiceRate          float64 // and answered by warm backends, from 0 on: what came at once at a start is no rate
	lastSolve                time.Duration
	timeouts, responses      float64 // fading counts of attempts given up and answered,
	failures                 float64 // and of those that failed
	retryTokens              float64 // further attempts that may be made
	latencyTarget            float64 // seconds, the shortest
	timeScale                float64 // how much faster all goes than usual: times are this part of what they are then
	trialQueue               []*backendState
	watching                 bool
	sweepInterval            time.Duration
	watchFailures            int
	maxLatencyPerUnit        float64 // seconds a unit: the latency that the dearest work can bear
	shedding                 bool
}

// pickQueue is a heap of backends by the virtual time of their next turn.
type pickQueue []*backendState

func (t pickQueue) Len() int           { return len(t) }
func (t pickQueue) Less(i, j int) bool { return t[i].nextPick < t[j].nextPick }
func (t pickQueue) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].queueIndex, t[j].queueIndex = i, j
}

// Push is for container/heap.
func (t *pickQueue) Push(x any) {
	s := x.(*backendState)
	s.queueIndex = len(*t)
	*t = append(*t, s)
}

// Pop is for container/heap.
func (t *pickQueue) Pop() any {
	last := len(*t) - 1
	s := (*t)[last]
	s.queueIndex = -1
	*t = (*t)[:last]
	return s
}
