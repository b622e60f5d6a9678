package decide

import (
	"math/rand/v2"
	"time"
)

// kindModel is the evidence about all backends of one kind, either in this zone or in the others. It is the prior
// for each of them: in a large fleet a node sends too little to one backend to learn its curve from that alone.
type kindModel struct {
	sums           sampleSums // decaying, up to the last solve
	recentSums     sampleSums // since the last solve
	idleLatency    float64    // seconds, without load
	inFlightCoeff  float64    // of the curve over attempts in flight
	loadCoeff      float64    // of the curve over load, derived from inFlightCoeff
	measured       bool       // idleLatency is measured, not an initial estimate
	idleBatchSum   float64    // seconds, of the batch whose mean may set idleLatency
	idleBatchCount int
}

// backendState is what a Balancer knows about one backend.
type backendState struct {
	Backend
	size             float64 // from the listed weight if Settings.Weights uses it, otherwise 1
	model            *kindModel
	reportedLatency  float64       // seconds, from the last report of requests in flight
	reportedAt       time.Duration // 0 = no report yet
	maxWeight        float64       // highest live weight seen
	crossZonePenalty float64       // seconds

	// Decaying sums over its own samples.
	latencySum  float64 // seconds
	expectedSum float64 // seconds, as expected by the kind's curve
	sampleCount float64
	slowdown    float64 // latency relative to its kind

	ringPosition   float64 // in [0, 1)
	subsetOffset   float64 // distance on the ring from the start of this node's subset
	share          float64 // of the node's load
	attemptScale   float64 // number of all nodes' attempts per attempt of this node
	othersInFlight float64 // other nodes' attempts that do not depend on this node's, per size
	solvedRate     float64 // units per second, result of the solver
	slowStartLimit float64 // units per second; infinite if warm
	slowStartNext  time.Duration
	maxRate        float64 // units per second
	nextPick       float64 // virtual time of its next turn
	queueIndex     int     // in pickQueue, -1 = not in it

	ejections           int     // since the last response
	consecutiveTimeouts int     // since the last response, each sent after the previous one ended
	consecutiveFailures float64 // since the last response
	responses           float64 // decaying counts of attempts, by result
	failures            float64
	timeouts            float64
	riskPenalty         float64       // seconds, for attempts that end without a response
	newestAnswered      time.Duration // latest send time of an answered attempt
	lastTimeout         time.Duration
	ejectedUntil        time.Duration
	ejected             bool
	inTrial             bool // a trial request is in flight
	inFlight            int  // attempts of this node
	overdue             int  // attempts in flight that should have been answered by now
	classHealth         []classHealth
}

// classHealth is the health of one class at a backend, which may leave that class alone without responses.
type classHealth struct {
	lastResponse        time.Duration
	consecutiveFailures float64 // since the last response, each sent after the previous one ended
	lastFailure         time.Duration
	ejectedUntil        time.Duration
	ejections           int // in a row
}

// zoneHealth is the health of the network connection to a zone.
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
	inFlight        float64 // at its backend when it was sent, per size, including itself
	recordedLatency float64 // seconds per unit already added to the backend's curve
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
	closed        bool // it has its final response, or its client is gone
	mayHaveRun    bool // at least one attempt may have run
	streamStarted bool
	rejected      bool // a backend rejected the request as invalid
	attempts      []attempt
	openAttempts  int
}

// pendingAttempt refers to an attempt that was not yet overdue at the last sweep.
type pendingAttempt struct {
	id      RequestID
	attempt int
}

// class is a class of requests and its learned state.
type class struct {
	Class
	sampleCount    float64          // decaying
	latencySum     float64          // decaying, seconds
	work           float64          // units per request
	meanCost       float64          // mean of the cost hints, seconds; 0 = none yet
	unanswered     []pendingAttempt // in the order in which they were sent
	unansweredHead int
}

// admissionClass is a set of requests of equal value.
type admissionClass struct {
	value        float64 // per unit
	latencyLimit float64 // expected latency up to which they are admitted, seconds per unit
}

// Balancer makes the decisions of one node. Use New, not the zero value. Its methods must not be called concurrently
// or from an action.
type Balancer struct {
	settings Settings
	actions  Actions
	random   *rand.Rand
	now      time.Duration // time of the current event
	started  bool          // the first endpoint list has arrived

	backends        []*backendState
	byID            map[BackendID]*backendState
	kindModels      []kindModel // two per kind: for this zone and for the others
	zones           []zoneHealth
	pickQueue       pickQueue
	virtualTime     float64         // of the weighted round robin
	trialQueue      []*backendState // backends whose ejection has ended
	subsetFraction  float64
	subsetOrder     []*backendState // serving backends by subsetOffset; kept for reuse
	nodesPerBackend float64         // mean number of nodes that send to one backend
	servingSize     float64
	maxServingSize  float64 // highest servingSize so far

	requests         map[RequestID]*request
	freeRequests     []*request
	classes          []class
	trialClass       int // the cheapest class, which is used for trials
	admissionClasses []admissionClass
	tenantTokens     []float64
	retryTokens      float64
	shedding         bool

	// Since the last solve.
	arrivedWork    float64 // units
	sentWork       float64 // units
	warmServedWork float64 // units completed by warm backends
	newOverdue     float64 // attempts
	newResponses   float64 // attempts

	// Smoothed rates, units per second. warmServiceRate rises from 0, since an initial burst is not a rate.
	arrivalRate     float64
	sendRate        float64
	warmServiceRate float64

	// Decaying counts of attempts at all backends, by result.
	timeouts  float64
	responses float64
	failures  float64

	lastSolve     time.Duration
	sweepInterval time.Duration
	latencyTarget float64 // the shortest of all classes, seconds
	timeScale     float64 // factor by which intervals are shortened for a short latency target
	watching      bool    // a subscription to the endpoint list is active
	watchFailures int     // in a row
}
