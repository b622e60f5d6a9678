package decide

import (
	"fmt"
	"time"
)

// SnapshotVersion is the version of the encoded form of Memory. It grows when an older reader would misread a field; fields
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
	N  float64 `json:"n"`
	Y  float64 `json:"y"`
	V2 float64 `json:"v2"`
}

func (f sampleSums) toSnapshot() CurveSnapshot {
	return CurveSnapshot{f.count, f.latency, f.loadSquared}
}
func (f CurveSnapshot) toSums() sampleSums { return sampleSums{f.N, f.Y, f.V2} }

// KindSnapshot is what is known of the backends of one kind, in the node's own zone or in the others (Across).
type KindSnapshot struct {
	Kind   string        `json:"kind"`
	Across bool          `json:"across,omitempty"`
	Fit    CurveSnapshot `json:"fit"`
	Recent CurveSnapshot `json:"recent"`
	Idle   float64       `json:"idle"` // seconds
	Crowd  float64       `json:"crowd"`
	Bend   float64       `json:"bend"`
	Seen   bool          `json:"seen"`
	Batch  float64       `json:"batch"`
	BatchN int           `json:"batch_n"`
}

// ClassSnapshot is what is known of a class of requests.
type ClassSnapshot struct {
	Class string  `json:"class"`
	N     float64 `json:"n"`
	Y     float64 `json:"y"`
	Work  float64 `json:"work"` // units a request
	Cost  float64 `json:"cost"`
}

// ZoneSnapshot is what is known of the network to a zone.
type ZoneSnapshot struct {
	Zone  string        `json:"zone"`
	Heard time.Duration `json:"heard"`
	Fails int           `json:"fails"`
	Until time.Duration `json:"until"`
	Times int           `json:"times"`
}

// HealthSnapshot is the health of one class of requests at a backend.
type HealthSnapshot struct {
	Class string        `json:"class"`
	Run   float64       `json:"run"`
	Until time.Duration `json:"until"`
	Times int           `json:"times"`
}

// BackendSnapshot is what is known of one backend.
type BackendSnapshot struct {
	ID       BackendID        `json:"id"`
	Kind     string           `json:"kind"`
	Started  time.Duration    `json:"started"` // what is known of another process of the backend is void
	Nominal  float64          `json:"nominal"`
	Read     float64          `json:"read"`
	ReadAt   time.Duration    `json:"read_at"`
	Y        float64          `json:"y"`
	Expect   float64          `json:"expect"`
	N        float64          `json:"n"`
	Slow     float64          `json:"slow"`
	Share    float64          `json:"share"`
	Each     float64          `json:"each,omitempty"` // 0 = derived again, together with Others
	Others   float64          `json:"others,omitempty"`
	Risk     float64          `json:"risk"`
	ColdTop  float64          `json:"cold_top"` // units a second, -1 = no limit
	ColdNext time.Duration    `json:"cold_next"`
	Next     float64          `json:"next"`
	Turn     int              `json:"turn"` // -1 = none
	Fails    int              `json:"fails"`
	Silent   int              `json:"silent"`
	Good     float64          `json:"good"`
	Bad      float64          `json:"bad"`
	Lost     float64          `json:"lost"`
	Run      float64          `json:"run"`
	Away     bool             `json:"away"`
	Until    time.Duration    `json:"until"`
	Ills     []HealthSnapshot `json:"ills,omitempty"`
}

// Snapshot is a snapshot of what a Balancer knows, without its open requests. Names are those of its Settings; times are on
// the clock that all nodes share. The JSON form is stored and sent between versions: tags never change.
type Snapshot struct {
	Version   int               `json:"version"`
	At        time.Duration     `json:"at"`   // when it was taken
	Zone      string            `json:"zone"` // of the node, which other zones are relative to
	Kinds     []KindSnapshot    `json:"kinds"`
	Classes   []ClassSnapshot   `json:"classes"`
	Zones     []ZoneSnapshot    `json:"zones"`
	Backends  []BackendSnapshot `json:"backends"`
	Trials    []BackendID       `json:"trials,omitempty"` // backends whose ejection has ended
	Clock     float64           `json:"clock"`            // virtual time of the weighted round robin
	Part      float64           `json:"part"`
	Asked     float64           `json:"asked"` // since the last solve
	Sent      float64           `json:"sent"`
	Borne     float64           `json:"borne"`
	Lately    float64           `json:"lately"`
	Heard     float64           `json:"heard"`
	SolvedAgo time.Duration     `json:"solved_ago"`
	AskRate   float64           `json:"ask_rate"` // units a second
	Rate      float64           `json:"rate"`
	BearRate  float64           `json:"bear_rate"`
	Lates     float64           `json:"lates"`
	Answers   float64           `json:"answers"`
	Bads      float64           `json:"bads"`
	Tokens    float64           `json:"tokens"`
	Quota     []float64         `json:"quota,omitempty"` // by tenant
	Tenants   []string          `json:"tenants,omitempty"`
	Shedding  bool              `json:"shedding"`
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
	if m.At < 0 || m.At > now+maxClockSkew {
		return fmt.Errorf("it is of %v, now it is %v", m.At, now)
	}
	if len(m.Backends) > maxBackends || len(m.Quota) != len(m.Tenants) {
		return fmt.Errorf("it has %d backends, %d quotas and %d tenants", len(m.Backends), len(m.Quota), len(m.Tenants))
	}
	c := &checker{at: m.At}
	c.numbers("a figure of the traffic", m.Clock, m.Asked, m.Sent, m.Borne, m.Lately, m.Heard, m.AskRate, m.Rate, m.BearRate, m.Lates,
		m.Answers, m.Bads, m.Tokens)
	c.numbers("a quota", m.Quota...)
	if !(m.Part > 0 && m.Part <= 1) {
		c.fail("part", m.Part)
	}
	c.times("solved_ago", m.SolvedAgo)
	for _, k := range m.Kinds {
		c.numbers("a figure of a kind", k.Fit.N, k.Fit.Y, k.Fit.V2, k.Recent.N, k.Recent.Y, k.Recent.V2, k.Crowd, k.Bend,
			k.Batch, k.Idle)
		c.counts("batch_n", k.BatchN)
		if !(k.Idle > 0) {
			c.fail("idle", k.Idle)
		}
	}
	for _, k := range m.Classes {
		c.numbers("a figure of a class", k.N, k.Y, k.Cost, k.Work)
		if !(k.Work > 1e-6) {
			c.fail("work", k.Work)
		}
	}
	for _, k := range m.Zones {
		c.times("a time of a zone", k.Heard, k.Until)
		c.counts("a count of a zone", k.Fails, k.Times)
	}
	for i := range m.Backends {
		m.Backends[i].check(c)
	}
	return c.err
}

func (k *BackendSnapshot) check(c *checker) {
	c.numbers("a figure of a backend", k.Each, k.Others, k.Nominal, k.Read, k.Y, k.Expect, k.N, k.Slow, k.Share, k.Risk, k.Next, k.Good,
		k.Bad, k.Lost, k.Run)
	c.times("a time of a backend", k.ReadAt, k.ColdNext, k.Until)
	c.counts("a count of a backend", k.Fails, k.Silent, k.Turn+1)
	if !(k.Slow >= 1.0/maxSlowdown && k.Slow <= maxSlowdown) || !(k.Share <= 1+1e-6) {
		c.fail("slow or share", [2]float64{k.Slow, k.Share})
	}
	if !(k.ColdTop == -1 || k.ColdTop >= 0 && k.ColdTop <= maxNumber) {
		c.fail("cold_top", k.ColdTop)
	}
	for _, e := range k.Ills {
		c.numbers("a figure of an ill", e.Run)
		c.times("a time of an ill", e.Until)
		c.counts("a count of an ill", e.Times)
	}
}
