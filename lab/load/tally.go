package load

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Kind is how a request ended.
type Kind int

// The kinds. All but Answered are errors; their names are those of the platform's outcomes where it has one.
const (
	Answered     Kind = iota
	CouldNotOpen      // the connection was refused or never came up
	NoConnection      // its client left while all connections that are allowed were busy
	Reset             // the connection ended after the request's first byte
	TimedOut          // the client left after its deadline
	Garbled           // what came is no HTTP/1.1 answer
	Unfinished        // the run ended first
	kinds
)

var kindNames = [kinds]string{"answered", "could not connect", "no free connection", "reset", "timed out",
	"garbled", "unfinished"}

func (k Kind) String() string { return kindNames[k] }

// Fate is what an end means to a client.
type Fate int

// Served is an answer with a status below 400, Refused one with 429 or 503, Failed all else.
const (
	Served Fate = iota
	Refused
	Failed
	fates
)

// End is one request that has ended.
type End struct {
	Request
	Due       float64 // when it had to be sent
	CallDue   float64 // when the client's first request for the same thing had to be sent
	Now       float64 // the time of the last byte of the answer, or when the client gave up
	Kind      Kind
	Status    int   // of an answer
	In        int64 // bytes of the answer
	LastOfAll bool  // no further attempt follows
}

// Fate is what it means to its client.
func (e End) Fate() Fate {
	switch {
	case e.Kind != Answered || e.Status != 429 && e.Status != 503 && e.Status >= 400:
		return Failed
	case e.Status >= 400:
		return Refused
	}
	return Served
}

// MaxStatuses is how many statuses of a class are told apart; more share one row, "other".
const MaxStatuses = 12

// other stands for the statuses beyond MaxStatuses.
const other = -1

// Tally counts what one worker sees. It is not safe for several goroutines; Merge joins those of several workers.
type Tally struct {
	plan    *Plan
	own     *hdrhistogram.Histogram // lateness at which requests were taken up
	sent    *hdrhistogram.Histogram // and at which they were written
	over    uint64                  // taken up later than the limit
	counts  Counts
	classes []classTally
	stages  []stageTally
	row     Interval
}

// Counts are the sums over what is counted.
type Counts struct {
	Due      uint64 `json:"due"`     // requests that became due, retries included
	Sent     uint64 `json:"sent"`    // written whole
	Waited   uint64 `json:"waited"`  // had to wait for a connection to open or to become free
	Retries  uint64 `json:"retries"` // that clients added
	Resent   uint64 `json:"resent"`  // written again since a kept connection closed under them
	Served   uint64 `json:"served"`
	Refused  uint64 `json:"refused"`
	Failed   uint64 `json:"failed"`
	Opened   uint64 `json:"opened"` // connections, the warm-up's included
	BytesOut uint64 `json:"bytes_out"`
	BytesIn  uint64 `json:"bytes_in"`
}

func (c *Counts) add(o Counts) {
	c.Due += o.Due
	c.Sent += o.Sent
	c.Waited += o.Waited
	c.Retries += o.Retries
	c.Resent += o.Resent
	c.Served += o.Served
	c.Refused += o.Refused
	c.Failed += o.Failed
	c.Opened += o.Opened
	c.BytesOut += o.BytesOut
	c.BytesIn += o.BytesIn
}

func (c *Counts) end(f Fate) {
	switch f {
	case Served:
		c.Served++
	case Refused:
		c.Refused++
	default:
		c.Failed++
	}
}

type classTally struct {
	statuses []statusTally
	errors   [kinds]uint64
	calls    *hdrhistogram.Histogram // from the first request's due time to the last answer
}

type statusTally struct {
	status  int
	latency *hdrhistogram.Histogram
}

type stageTally struct {
	counts  Counts
	latency *hdrhistogram.Histogram // of answers
}

// Interval is what happened in one row over time.
type Interval struct {
	Index  int
	Counts Counts
	// Latency holds the answers, two digits exact.
	Latency *hdrhistogram.Histogram
}

// Histograms hold microseconds from 1 to ten minutes; longer ones count as that.
const longest = 600e6

func newHistogram(digits int) *hdrhistogram.Histogram { return hdrhistogram.New(1, longest, digits) }

// record adds a time in milliseconds.
func record(h *hdrhistogram.Histogram, ms float64) {
	us := int64(math.Round(min(max(ms*1000, 1), longest)))
	// It fails for values out of the range alone.
	_ = h.RecordValue(us)
}

// NewTally begins to count.
func NewTally(plan *Plan) *Tally {
	t := &Tally{
		plan:    plan,
		own:     newHistogram(3),
		sent:    newHistogram(3),
		classes: make([]classTally, len(plan.Mix.Classes)),
		stages:  make([]stageTally, len(plan.Stages)),
	}
	for i := range t.stages {
		t.stages[i].latency = newHistogram(3)
	}
	t.row.Latency = newHistogram(2)
	return t
}

// counted says whether a request counts and in which stage.
func (t *Tally) counted(due float64) (*stageTally, bool) {
	i := t.plan.StageAt(due)
	if i < 0 {
		return nil, false
	}
	return &t.stages[i], true
}

// Taken notes that a request due at a time has been taken up.
func (t *Tally) Taken(r Request, due, now float64) {
	t.row.Counts.Due++
	stage, ok := t.counted(due)
	if !ok {
		return
	}
	stage.counts.Due++
	t.counts.Due++
	if r.Attempt > 0 {
		t.counts.Retries++
	}
	record(t.own, now-due)
	if now-due > t.plan.Limits.Late {
		t.over++
	}
}

// Sent notes that a request's last byte was written, of so many.
func (t *Tally) Sent(due, now float64, bytes int, waited bool) {
	t.row.Counts.Sent++
	stage, ok := t.counted(due)
	if !ok {
		return
	}
	stage.counts.Sent++
	t.counts.Sent++
	t.counts.BytesOut += uint64(bytes)
	if waited {
		t.counts.Waited++
	}
	record(t.sent, now-due)
}

// Resent notes that a request went out again on a new connection.
func (t *Tally) Resent(due float64) {
	if _, ok := t.counted(due); ok {
		t.counts.Resent++
	}
}

// Opened notes that a connection came up.
func (t *Tally) Opened() { t.counts.Opened++ }

// End notes that a request has ended.
func (t *Tally) End(e End) {
	fate := e.Fate()
	t.row.Counts.end(fate)
	if e.Kind == Answered {
		record(t.row.Latency, e.Now-e.Due)
	}
	stage, ok := t.counted(e.Due)
	if !ok {
		return
	}
	t.counts.end(fate)
	t.counts.BytesIn += uint64(e.In)
	stage.counts.end(fate)
	class := &t.classes[e.Class]
	if e.Kind == Answered {
		record(stage.latency, e.Now-e.Due)
		record(class.status(e.Status), e.Now-e.Due)
	} else {
		class.errors[e.Kind]++
	}
	if e.LastOfAll && t.plan.Retry.Most > 0 {
		if class.calls == nil {
			class.calls = newHistogram(3)
		}
		record(class.calls, e.Now-e.CallDue)
	}
}

// status is the histogram of a status.
func (c *classTally) status(status int) *hdrhistogram.Histogram {
	for _, s := range c.statuses {
		if s.status == status {
			return s.latency
		}
	}
	if len(c.statuses) >= MaxStatuses {
		if status != other {
			return c.status(other)
		}
	}
	c.statuses = append(c.statuses, statusTally{status: status, latency: newHistogram(3)})
	return c.statuses[len(c.statuses)-1].latency
}

// MaxIntervals bounds the rows over time, of about 23 KiB each; a long run has longer ones.
const MaxIntervals = 900

// Row is the length of one row over time in milliseconds: whole seconds.
func (p *Plan) Row() float64 {
	return 1000 * max(1, math.Ceil(p.Length()/1000/MaxIntervals))
}

// Turn ends the row over time that the last calls belonged to and begins the one that a time is in; false if that is
// the same one. Rows without any event between the two are left out.
func (t *Tally) Turn(now float64) (Interval, bool) {
	index := int(now / t.plan.Row())
	if index <= t.row.Index {
		return Interval{}, false
	}
	done := t.row
	t.row = Interval{Index: index, Latency: newHistogram(2)}
	return done, true
}

// Last ends the row that the last calls belonged to.
func (t *Tally) Last() Interval { return t.row }

// Merge adds another worker's tally of the same plan.
func (t *Tally) Merge(o *Tally) {
	t.own.Merge(o.own)
	t.sent.Merge(o.sent)
	t.over += o.over
	t.counts.add(o.counts)
	for i := range t.stages {
		t.stages[i].counts.add(o.stages[i].counts)
		t.stages[i].latency.Merge(o.stages[i].latency)
	}
	for i := range t.classes {
		mine, its := &t.classes[i], &o.classes[i]
		for k, n := range its.errors {
			mine.errors[k] += n
		}
		for _, s := range its.statuses {
			mine.status(s.status).Merge(s.latency)
		}
		if its.calls != nil {
			if mine.calls == nil {
				mine.calls = newHistogram(3)
			}
			mine.calls.Merge(its.calls)
		}
	}
}

// Series joins the rows of several workers.
type Series struct{ rows []Interval }

// Add joins a row to what other workers had at the same time.
func (s *Series) Add(i Interval) {
	at, there := slices.BinarySearchFunc(s.rows, i.Index, func(r Interval, index int) int {
		return cmp.Compare(r.Index, index)
	})
	if !there {
		s.rows = slices.Insert(s.rows, at, i)
		return
	}
	s.rows[at].Counts.add(i.Counts)
	s.rows[at].Latency.Merge(i.Latency)
}

// End is the index behind the last row.
func (s *Series) End() int {
	if len(s.rows) == 0 {
		return 0
	}
	return s.rows[len(s.rows)-1].Index + 1
}

// Row gives the row of an index.
func (s *Series) Row(index int) (Interval, bool) {
	for i := len(s.rows) - 1; i >= 0 && s.rows[i].Index >= index; i-- {
		if s.rows[i].Index == index {
			return s.rows[i], true
		}
	}
	return Interval{}, false
}

// statusName is how a status is printed.
func statusName(status int) string {
	if status == other {
		return "other"
	}
	return strconv.Itoa(status)
}
