package decide

import (
	"math/rand/v2"
	"time"
)

// kindModel is the evidence about all backends of one kind, either in this zone or in the others. It is the prior for each
// of them: in a large fleet one node sends too little to one backend to learn its curve from that alone.
type kindModel struct {
	sums           sampleSums // decaying, up to the last solve
	recentSums     sampleSums // since the last solve
	idleLatency    float64    // seconds, at no load
	inFlightCoeff  float64    // of the curve over attempts in flight
	loadCoeff      float64    // of the curve over load, derived from inFlightCoeff
	measured       bool       // idleLatency is more than a guess
	idleBatchSum   float64    // the batch whose mean may set idleLatency
	idleBatchCount int
}

// backendState is what a Balancer knows of one backend.
type backendState struct {
	Backend
	size             float64 // from the listed weight where weights have a meaning, else 1
	model            *kindModel
	reportedLatency  float64       // seconds, from the last report of requests in flight
	reportedAt       time.Duration // 0 = no report yet
	maxWeight        float64       // highest live weight seen
	crossZonePenalty float64       // seconds

	// Decaying sums over its own samples.
	latencySum  float64 // seconds
	expectedSum float64 // seconds that the kind's curve expected
	sampleCount float64
	slowdown    float64 // latency relative to its kind

	ringPosition   float64 // in [0, 1)
	subsetOffset   float64 // distance on the ring from where this node's subset begins
	share          float64 // of the node's load
	attemptScale   float64 // attempts of all nodes that one of this node stands for
	othersInFlight float64 // attempts of other nodes that do not depend on this one's, by size
	solvedRate     float64 // units a second that the solver wants
	slowStartLimit float64 // units a second; infinite when warm
	slowStartNext  time.Duration
	maxRate        float64 // units a second
	nextPick       float64 // virtual time of its next turn
	queueIndex     int     // in pickQueue, -1 = not in it

	ejections           int     // since the last response
	consecutiveTimeouts int     // since the last response, each sent after the one before ended
	consecutiveFailures float64 // since the last response
	responses           float64 // decaying counts of attempts, by how they ended
	failures            float64
	timeouts            float64
	riskPenalty         float64       // seconds, for attempts that bring no response
	newestAnswered      time.Duration // when the attempt was sent that was sent last of those answered
	lastTimeout         time.Duration
	ejectedUntil        time.Duration
	ejected             bool
	inTrial             bool // one request is in flight to see whether it has recovered
	inFlight            int  // attempts of this node
	overdue             int  // attempts in flight that should have been answered by now
	classHealth         []classHealth
}

// classHealth is what a Balancer knows of a backend that may leave one class of requests without a response.
type classHealth struct {
	lastResponse        time.Duration
	consecutiveFailures float64 // since the last response, each sent after the one before ended
	lastFailure         time.Duration
	ejectedUntil        time.Duration
	ejections           int // in a row
}

// zoneHealth is what a Balancer knows of the network to a zone.
type zoneHealth struct {
	lastResponse time.Duration
	failures     int // since the last response
	ejectedUntil time.Duration
	ejections    int // in a row
}

// attempt is one request sent to one backend.
type attempt struct {
	backend         *backendState
	sentAt          time.Duration
	inFlight        float64 // at its backend when it was sent, by size, itself included
	recordedLatency float64 // seconds a unit already added to the backend's curve while it was open
	open            bool
	mayHaveRun      bool
	overdue         bool
}

// request is a request until it is closed and its last attempt has ended.
type request struct {
	id            RequestID
	class         int
	work          float64 // units
	arrived       time.Duration
	deadline      time.Duration
	closed        bool // it has its final response, or its client has left
	mayHaveRun    bool // at least one attempt may have run
	streamStarted bool
	rejected      bool // a backend found fault with the request itself
	attempts      []attempt
	openAttempts  int
}

// pendingAttempt refers to an attempt that is not overdue yet.
type pendingAttempt struct {
	id      RequestID
	attempt int
}

// class is a class of requests and what is learned of it.
type class struct {
	Class
	sampleCount    float64          // decaying
	latencySum     float64          // decaying, seconds
	work           float64          // units a request
	meanCost       float64          // of the hints, seconds; 0 = none yet
	unanswered     []pendingAttempt // in the order sent
	unansweredHead int
}

// admissionClass is a set of requests of equal value.
type admissionClass struct {
	value        float64 // per unit
	latencyLimit float64 // expected latency up to which they are admitted, seconds a unit
}

// Balancer makes the decisions of one node. New makes one; the zero value is of no use. None of its methods may be called
// concurrently, nor from within an action.
type Balancer struct {
	settings Settings
	actions  Actions
	random   *rand.Rand
	now      time.Duration // of the present event
	started  bool          // it has had its first list

	backends        []*backendState
	byID            map[BackendID]*backendState
	kindModels      []kindModel // two a kind: in this zone, in the others
	zones           []zoneHealth
	pickQueue       pickQueue
	virtualTime     float64         // of the weighted round robin
	trialQueue      []*backendState // ejections that have ended
	subsetFraction  float64
	subsetOrder     []*backendState // serving, by subsetOffset; kept to be reused
	nodesPerBackend float64         // nodes that send to one backend
	servingSize     float64
	maxServingSize  float64 // the highest servingSize so far

	requests         map[RequestID]*request
	freeRequests     []*request
	classes          []class
	trialClass       int // the cheapest class, which trials are made with
	admissionClasses []admissionClass
	tenantTokens     []float64
	retryTokens      float64
	shedding         bool

	// Since the last solve.
	arrivedWork    float64 // units
	sentWork       float64 // units
	warmServedWork float64 // units answered by warm backends
	newOverdue     float64 // attempts
	newResponses   float64 // attempts

	// Smoothed rates, units a second. warmServiceRate rises from 0: a burst at the start is no rate.
	arrivalRate     float64
	sendRate        float64
	warmServiceRate float64

	// Decaying counts of attempts at all backends, by how they ended.
	timeouts  float64
	responses float64
	failures  float64

	lastSolve     time.Duration
	sweepInterval time.Duration
	latencyTarget float64 // the shortest of all classes, seconds
	timeScale     float64 // factor that intervals are shortened by for a short latency target
	watching      bool    // a subscription to the endpoint list stands
	watchFailures int     // in a row
}
