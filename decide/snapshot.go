package decide

import (
	"fmt"
	"time"
)

// SnapshotVersion is the version of the encoded form of Snapshot. It grows when an older reader would misread a field; fields
// that a reader may ignore do not change it.
const SnapshotVersion = 1

const (
	maxClockSkew = 5 * time.Second  // by which the clocks of two machines may differ
	idleLifetime = 20 * kindDecay   // age from which on an idle latency is no more than a guess
	rateLifetime = 4 * time.Second  // age from which on the smoothed rates are void
	maxNumber    = 1e15             // largest number that is accepted
	maxSlowdown  = 1000             // largest slowdown, and the inverse of the smallest
	maxCount     = 1 << 20          // largest count of events
	maxFuture    = 32 * time.Second // by which a time may lie ahead of the snapshot
	maxBackends  = 1 << 20          // largest number of backends that is accepted
)

// CurveSnapshot holds the sums over the samples of a curve: their number, latencies in seconds, and loads squared.
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

// KindSnapshot is what is known of the backends of one kind, in the node's own zone or in the others (Across).
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

// ClassSnapshot is what is known of a class of requests.
type ClassSnapshot struct {
	Class       string  `json:"class"`
	SampleCount float64 `json:"n"`
	LatencySum  float64 `json:"y"`
	Work        float64 `json:"work"` // units a request
	MeanCost    float64 `json:"cost"`
}

// ZoneSnapshot is what is known of the network to a zone.
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

// BackendSnapshot is what is known of one backend.
type BackendSnapshot struct {
	ID                   BackendID        `json:"id"`
	Kind                 string           `json:"kind"`
	Started              time.Duration    `json:"started"` // what is known of another process of the backend is void
	MaxWeight            float64          `json:"nominal"`
	ReportedLatency      float64          `json:"read"`
	ReportedAt           time.Duration    `json:"read_at"`
	LatencySum           float64          `json:"y"`
	ExpectedSum          float64          `json:"expect"`
	SampleCount          float64          `json:"n"`
	Slowdown             float64          `json:"slow"`
	Share                float64          `json:"share"`
	AttemptScale         float64          `json:"each,omitempty"` // 0 = derived again, together with Others
	OthersInFlight       float64          `json:"others,omitempty"`
	RiskPenalty          float64          `json:"risk"`
	SlowStartLimit       float64          `json:"cold_top"` // units a second, -1 = no limit
	SlowStartNext        time.Duration    `json:"cold_next"`
	NextPick             float64          `json:"next"`
	QueueIndex           int              `json:"turn"` // -1 = none
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

// Snapshot is a snapshot of what a Balancer knows, without its open requests. Names are those of its Settings; times are on
// the clock that all nodes share. The JSON form is stored and sent between versions: tags never change.
type Snapshot struct {
	Version         int               `json:"version"`
	TakenAt         time.Duration     `json:"at"`   // when it was taken
	Zone            string            `json:"zone"` // of the node, which other zones are relative to
	Kinds           []KindSnapshot    `json:"kinds"`
	Classes         []ClassSnapshot   `json:"classes"`
	Zones           []ZoneSnapshot    `json:"zones"`
	Backends        []BackendSnapshot `json:"backends"`
	TrialQueue      []BackendID       `json:"trials,omitempty"` // backends whose ejection has ended
	VirtualTime     float64           `json:"clock"`            // virtual time of the weighted round robin
	SubsetFraction  float64           `json:"part"`
	ArrivedWork     float64           `json:"asked"` // since the last solve
	SentWork        float64           `json:"sent"`
	WarmServedWork  float64           `json:"borne"`
	NewOverdue      float64           `json:"lately"`
	NewResponses    float64           `json:"heard"`
	SinceSolve      time.Duration     `json:"solved_ago"`
	ArrivalRate     float64           `json:"ask_rate"` // units a second
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

// checker keeps the first thing that is wrong with a snapshot.
type checker struct {
	at  time.Duration
	err error
}

func (c *checker) fail(what string, value any) {
	if c.err == nil {
		c.err = fmt.Errorf("%s is %v", what, value)
	}
}

// numbers checks that values are 0 or more and not too large.
func (c *checker) numbers(what string, values ...float64) {
	for _, x := range values {
		if !(x >= 0 && x <= maxNumber) {
			c.fail(what, x)
		}
	}
}

// times checks that points in time lie before the snapshot or shortly after it.
func (c *checker) times(what string, values ...time.Duration) {
	for _, t := range values {
		if t < 0 || t > c.at+maxFuture {
			c.fail(what, t)
		}
	}
}

// counts checks that counts are 0 or more and not too large.
func (c *checker) counts(what string, values ...int) {
	for _, n := range values {
		if n < 0 || n > maxCount {
			c.fail(what, n)
		}
	}
}

// check returns an error that names the first value that cannot be right.
func (m *Snapshot) check(now time.Duration) error {
	if m.Version != SnapshotVersion {
		return fmt.Errorf("its version is %d, %d is read", m.Version, SnapshotVersion)
	}
	if m.TakenAt < 0 || m.TakenAt > now+maxClockSkew {
		return fmt.Errorf("it is of %v, now it is %v", m.TakenAt, now)
	}
	if len(m.Backends) > maxBackends || len(m.TenantTokens) != len(m.Tenants) {
		return fmt.Errorf("it has %d backends, %d quotas and %d tenants", len(m.Backends), len(m.TenantTokens), len(m.Tenants))
	}
	c := &checker{at: m.TakenAt}
	c.numbers("a figure of the traffic", m.VirtualTime, m.ArrivedWork, m.SentWork, m.WarmServedWork, m.NewOverdue, m.NewResponses, m.ArrivalRate, m.SendRate, m.WarmServiceRate, m.Timeouts,
		m.Responses, m.Failures, m.RetryTokens)
	c.numbers("a quota", m.TenantTokens...)
	if !(m.SubsetFraction > 0 && m.SubsetFraction <= 1) {
		c.fail("part", m.SubsetFraction)
	}
	c.times("solved_ago", m.SinceSolve)
	for _, k := range m.Kinds {
		c.numbers("a figure of a kind", k.Sums.SampleCount, k.Sums.LatencySum, k.Sums.LoadSquaredSum, k.RecentSums.SampleCount, k.RecentSums.LatencySum, k.RecentSums.LoadSquaredSum, k.InFlightCoeff, k.LoadCoeff,
			k.IdleBatchSum, k.IdleLatency)
		c.counts("batch_n", k.IdleBatchCount)
		if !(k.IdleLatency > 0) {
			c.fail("idle", k.IdleLatency)
		}
	}
	for _, k := range m.Classes {
		c.numbers("a figure of a class", k.SampleCount, k.LatencySum, k.MeanCost, k.Work)
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
	c.numbers("a figure of a backend", k.AttemptScale, k.OthersInFlight, k.MaxWeight, k.ReportedLatency, k.LatencySum, k.ExpectedSum, k.SampleCount, k.Slowdown, k.Share, k.RiskPenalty, k.NextPick, k.Responses,
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
		c.numbers("a figure of an ill", e.ConsecutiveFailures)
		c.times("a time of an ill", e.EjectedUntil)
		c.counts("a count of an ill", e.Ejections)
	}
}
