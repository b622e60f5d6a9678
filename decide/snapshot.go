package decide

import (
	"fmt"
	"time"
)

// SnapshotVersion is the version of the encoded form of Snapshot. It increases when an older reader would misread a
// field, not for fields that a reader may ignore.
const SnapshotVersion = 1

const (
	maxClockSkew = 5 * time.Second  // maximum difference between the clocks of two machines
	idleLifetime = 20 * kindDecay   // age above which a learned idle latency is only an estimate
	rateLifetime = 4 * time.Second  // age above which the smoothed rates are discarded
	maxNumber    = 1e15             // largest accepted number
	maxSlowdown  = 1000             // largest accepted slowdown, and the inverse of the smallest
	maxCount     = 1 << 20          // largest accepted count of events
	maxFuture    = 32 * time.Second // maximum time by which a timestamp may lie after that of the snapshot
	maxBackends  = 1 << 20          // largest accepted number of backends
)

// CurveSnapshot holds sums over the samples of a curve: their number, latencies in seconds, and squared loads.
type CurveSnapshot struct {
	SampleCount    float64 `json:"n"`
	LatencySum     float64 `json:"y"`
	LoadSquaredSum float64 `json:"v2"`
}

func (f sampleSums) toSnapshot() CurveSnapshot {
	return CurveSnapshot{f.count, f.latency, f.loadSquared}
}
func (f CurveSnapshot) toSums() sampleSums {
	return sampleSums{f.SampleCount, f.LatencySum, f.LoadSquaredSum}
}

// KindSnapshot is the model of the backends of one kind, in the node's own zone or in the other zones.
type KindSnapshot struct {
	Kind           string        `json:"kind"`
	OtherZones     bool          `json:"across,omitempty"`
	Sums           CurveSnapshot `json:"fit"`
	RecentSums     CurveSnapshot `json:"recent"`
	IdleLatency    float64       `json:"idle"` // seconds
	InFlightCoeff  float64       `json:"crowd"`
	LoadCoeff      float64       `json:"bend"`
	Measured       bool          `json:"seen"`
	IdleBatchSum   float64       `json:"batch"`
	IdleBatchCount int           `json:"batch_n"`
}

// ClassSnapshot is the state of a class of requests.
type ClassSnapshot struct {
	Class       string  `json:"class"`
	SampleCount float64 `json:"n"`
	LatencySum  float64 `json:"y"`
	Work        float64 `json:"work"` // units per request
	MeanCost    float64 `json:"cost"`
}

// ZoneSnapshot is the health of the network connection to a zone.
type ZoneSnapshot struct {
	Zone                string        `json:"zone"`
	LastResponse        time.Duration `json:"heard"`
	ConsecutiveFailures int           `json:"fails"`
	EjectedUntil        time.Duration `json:"until"`
	Ejections           int           `json:"times"`
}

// HealthSnapshot is the health of one class of requests at a backend.
type HealthSnapshot struct {
	Class               string        `json:"class"`
	ConsecutiveFailures float64       `json:"run"`
	EjectedUntil        time.Duration `json:"until"`
	Ejections           int           `json:"times"`
}

// BackendSnapshot is the state of one backend.
type BackendSnapshot struct {
	ID                   BackendID        `json:"id"`
	Kind                 string           `json:"kind"`
	Started              time.Duration    `json:"started"` // the state of another process of the backend is ignored
	MaxWeight            float64          `json:"nominal"`
	ReportedLatency      float64          `json:"read"`
	ReportedAt           time.Duration    `json:"read_at"`
	LatencySum           float64          `json:"y"`
	ExpectedSum          float64          `json:"expect"`
	SampleCount          float64          `json:"n"`
	Slowdown             float64          `json:"slow"`
	Share                float64          `json:"share"`
	AttemptScale         float64          `json:"each,omitempty"` // 0 = recomputed, together with OthersInFlight
	OthersInFlight       float64          `json:"others,omitempty"`
	RiskPenalty          float64          `json:"risk"`
	SlowStartLimit       float64          `json:"cold_top"` // units per second, -1 = no limit
	SlowStartNext        time.Duration    `json:"cold_next"`
	NextPick             float64          `json:"next"`
	QueueIndex           int              `json:"turn"` // in the pick queue, -1 = not in it
	ConsecutiveEjections int              `json:"fails"`
	ConsecutiveTimeouts  int              `json:"silent"`
	Responses            float64          `json:"good"`
	Failures             float64          `json:"bad"`
	Timeouts             float64          `json:"lost"`
	ConsecutiveFailures  float64          `json:"run"`
	Ejected              bool             `json:"away"`
	EjectedUntil         time.Duration    `json:"until"`
	ClassHealth          []HealthSnapshot `json:"ills,omitempty"`
}

// Snapshot is the state of a Balancer without its open requests. Names are those of its Settings; times are on the
// clock that all nodes share. The JSON form is stored, and sent between versions: tags never change.
type Snapshot struct {
	Version         int               `json:"version"`
	TakenAt         time.Duration     `json:"at"`
	Zone            string            `json:"zone"` // of the node, as opposed to OtherZones
	Kinds           []KindSnapshot    `json:"kinds"`
	Classes         []ClassSnapshot   `json:"classes"`
	Zones           []ZoneSnapshot    `json:"zones"`
	Backends        []BackendSnapshot `json:"backends"`
	TrialQueue      []BackendID       `json:"trials,omitempty"` // backends whose ejection has ended
	VirtualTime     float64           `json:"clock"`            // virtual time of the weighted round robin
	SubsetFraction  float64           `json:"part"`
	ArrivedWork     float64           `json:"asked"` // units, since the last solve
	SentWork        float64           `json:"sent"`
	WarmServedWork  float64           `json:"borne"`
	NewOverdue      float64           `json:"lately"`
	NewResponses    float64           `json:"heard"`
	SinceSolve      time.Duration     `json:"solved_ago"`
	ArrivalRate     float64           `json:"ask_rate"` // units per second
	SendRate        float64           `json:"rate"`
	WarmServiceRate float64           `json:"bear_rate"`
	Timeouts        float64           `json:"lates"`
	Responses       float64           `json:"answers"`
	Failures        float64           `json:"bads"`
	RetryTokens     float64           `json:"tokens"`
	TenantTokens    []float64         `json:"quota,omitempty"` // by tenant
	Tenants         []string          `json:"tenants,omitempty"`
	Shedding        bool              `json:"shedding"`
}

// checker keeps the first error found in a snapshot.
type checker struct {
	at  time.Duration
	err error
}

func (c *checker) fail(what string, value any) {
	if c.err == nil {
		c.err = fmt.Errorf("%s is %v", what, value)
	}
}

// numbers checks that values are at least 0 and at most maxNumber.
func (c *checker) numbers(what string, values ...float64) {
	for _, x := range values {
		if !(x >= 0 && x <= maxNumber) {
			c.fail(what, x)
		}
	}
}

// times checks that timestamps are not negative and at most maxFuture after the snapshot.
func (c *checker) times(what string, values ...time.Duration) {
	for _, t := range values {
		if t < 0 || t > c.at+maxFuture {
			c.fail(what, t)
		}
	}
}

// counts checks that counts are at least 0 and at most maxCount.
func (c *checker) counts(what string, values ...int) {
	for _, n := range values {
		if n < 0 || n > maxCount {
			c.fail(what, n)
		}
	}
}

// check returns an error that names the first invalid value.
func (m *Snapshot) check(now time.Duration) error {
	if m.Version != SnapshotVersion {
		return fmt.Errorf("version is %d, supported is %d", m.Version, SnapshotVersion)
	}
	if m.TakenAt < 0 || m.TakenAt > now+maxClockSkew {
		return fmt.Errorf("taken at %v, which is after the present time %v", m.TakenAt, now)
	}
	if len(m.Backends) > maxBackends || len(m.TenantTokens) != len(m.Tenants) {
		return fmt.Errorf("%d backends, %d quotas and %d tenants", len(m.Backends), len(m.TenantTokens), len(m.Tenants))
	}
	c := &checker{at: m.TakenAt}
	c.numbers("a traffic value", m.VirtualTime, m.ArrivedWork, m.SentWork, m.WarmServedWork, m.NewOverdue, m.NewResponses, m.ArrivalRate, m.SendRate, m.WarmServiceRate, m.Timeouts,
		m.Responses, m.Failures, m.RetryTokens)
	c.numbers("a quota", m.TenantTokens...)
	if !(m.SubsetFraction > 0 && m.SubsetFraction <= 1) {
		c.fail("part", m.SubsetFraction)
	}
	c.times("solved_ago", m.SinceSolve)
	for _, k := range m.Kinds {
		c.numbers("a value of a kind", k.Sums.SampleCount, k.Sums.LatencySum, k.Sums.LoadSquaredSum, k.RecentSums.SampleCount, k.RecentSums.LatencySum, k.RecentSums.LoadSquaredSum, k.InFlightCoeff, k.LoadCoeff,
			k.IdleBatchSum, k.IdleLatency)
		c.counts("batch_n", k.IdleBatchCount)
		if !(k.IdleLatency > 0) {
			c.fail("idle", k.IdleLatency)
		}
	}
	for _, k := range m.Classes {
		c.numbers("a value of a class", k.SampleCount, k.LatencySum, k.MeanCost, k.Work)
		if !(k.Work > 1e-6) {
			c.fail("work", k.Work)
		}
	}
	for _, k := range m.Zones {
		c.times("a time of a zone", k.LastResponse, k.EjectedUntil)
		c.counts("a count of a zone", k.ConsecutiveFailures, k.Ejections)
	}
	for i := range m.Backends {
		m.Backends[i].check(c)
	}
	return c.err
}

func (k *BackendSnapshot) check(c *checker) {
	c.numbers("a value of a backend", k.AttemptScale, k.OthersInFlight, k.MaxWeight, k.ReportedLatency, k.LatencySum, k.ExpectedSum, k.SampleCount, k.Slowdown, k.Share, k.RiskPenalty, k.NextPick, k.Responses,
		k.Failures, k.Timeouts, k.ConsecutiveFailures)
	c.times("a time of a backend", k.ReportedAt, k.SlowStartNext, k.EjectedUntil)
	c.counts("a count of a backend", k.ConsecutiveEjections, k.ConsecutiveTimeouts, k.QueueIndex+1)
	if !(k.Slowdown >= 1.0/maxSlowdown && k.Slowdown <= maxSlowdown) || !(k.Share <= 1+1e-6) {
		c.fail("slow or share", [2]float64{k.Slowdown, k.Share})
	}
	if !(k.SlowStartLimit == -1 || k.SlowStartLimit >= 0 && k.SlowStartLimit <= maxNumber) {
		c.fail("cold_top", k.SlowStartLimit)
	}
	for _, e := range k.ClassHealth {
		c.numbers("a value of a class's health", e.ConsecutiveFailures)
		c.times("a time of a class's health", e.EjectedUntil)
		c.counts("a count of a class's health", e.Ejections)
	}
}
