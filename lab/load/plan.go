// Package load is the pure part of the load tool: which request is due when (Plan, Arrivals, Agenda), what it looks
// like (Mix, Template), how long to sleep until then (Pacer), what came of it (Tally) and what to make of that (Result).
//
// Times are milliseconds from the start of the run. There is no clock, socket, goroutine or lock here; the same plan
// and seed give the same requests at the same times, whatever the number of workers that share them.
//
// Bounds: 64 stages, 64 classes, 64 owners, MaxStatuses statuses a class, MaxIntervals rows over time. A Tally holds one
// histogram of about 180 KiB for each class and status that it has met, and one a stage. Arrivals keep one time.
package load

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// Stage is a stretch of load that changes evenly from one level to another. Equal levels make a step, others a ramp. The
// level is requests a second in an open loop and clients in a closed one.
type Stage struct {
	From   float64 `json:"from"`
	To     float64 `json:"to"`
	Length float64 `json:"length_ms"`
}

// String gives the notation that ParseStages reads.
func (s Stage) String() string {
	level := strconv.FormatFloat(s.From, 'g', -1, 64)
	if s.To != s.From {
		level += "-" + strconv.FormatFloat(s.To, 'g', -1, 64)
	}
	return level + "x" + time.Duration(s.Length*1e6).String()
}

// at is the level after a time in the stage.
func (s Stage) at(t float64) float64 { return s.From + (s.To-s.From)*t/s.Length }

// when is the time in the stage by which as many requests have come as the area under its rate; +Inf if the whole stage
// holds fewer. The form of the root has no cancellation and holds for a step too.
func (s Stage) when(requests float64) float64 {
	if requests > s.area() {
		return math.Inf(1)
	}
	from, to := s.From/1000, s.To/1000
	root := math.Sqrt(max(0, from*from+2*requests*(to-from)/s.Length))
	if from+root == 0 {
		return 0
	}
	return min(2*requests/(from+root), s.Length)
}

// area is how many requests the stage holds on average.
func (s Stage) area() float64 { return (s.From + s.To) / 2 * s.Length / 1000 }

const (
	maxStages = 64
	maxLevel  = 1e7
	maxLength = 7 * 24 * 3600 * 1000.0
)

// ParseStages reads steps and ramps such as "500", "500x10s,2000x10s" or "100-8000x1m". A level without a length lasts
// for the given one, in milliseconds.
func ParseStages(text string, length float64) ([]Stage, error) {
	var stages []Stage
	total := 0.0
	for part := range strings.SplitSeq(text, ",") {
		levels, lasting, timed := strings.Cut(strings.TrimSpace(part), "x")
		from, to, ramp := strings.Cut(levels, "-")
		if !ramp {
			to = from
		}
		stage := Stage{Length: length}
		for _, level := range []struct {
			text string
			into *float64
		}{{from, &stage.From}, {to, &stage.To}} {
			value, err := strconv.ParseFloat(level.text, 64)
			if err != nil || !(value >= 0 && value <= maxLevel) {
				return nil, fmt.Errorf("stage %q: %q is no level from 0 to %.0f", part, level.text, maxLevel)
			}
			*level.into = value
		}
		if timed {
			d, err := time.ParseDuration(lasting)
			if err != nil {
				return nil, fmt.Errorf("stage %q: %q is no length such as 10s", part, lasting)
			}
			stage.Length = float64(d) / 1e6
		}
		if !(stage.Length > 0) {
			return nil, fmt.Errorf("stage %q: its length must be above 0", part)
		}
		total += stage.Length
		stages = append(stages, stage)
	}
	if len(stages) > maxStages || total > maxLength {
		return nil, fmt.Errorf("%d stages of %s: at most %d of 168h in all", len(stages),
			time.Duration(total*1e6).Round(time.Second), maxStages)
	}
	return stages, nil
}

// Spacing says how far apart the requests of an open loop come, or how long a client of a closed one thinks.
type Spacing string

// Steady spaces evenly; Poisson draws independent times, exponential gaps at a steady rate.
const (
	Steady  Spacing = "steady"
	Poisson Spacing = "poisson"
)

// Plan is one run of the tool.
type Plan struct {
	Closed      bool    `json:"closed"`      // a closed loop: levels are clients, each with one request at a time
	Stages      []Stage `json:"stages"`      // without the warm-up
	Warmup      float64 `json:"warmup_ms"`   // at the first stage's first level, before it; not counted
	Spacing     Spacing `json:"spacing"`     // of arrivals or of thinking
	Think       float64 `json:"think_ms"`    // mean pause of a client between an answer and its next request
	Seed        uint64  `json:"seed"`        // of times, classes, owners and sizes
	Run         uint64  `json:"run"`         // of ids and keys, which must be new each time
	Requests    uint64  `json:"requests"`    // at most so many first requests, the warm-up's included; 0 = no limit
	Connections int     `json:"connections"` // at most so many open at once
	Platform    bool    `json:"platform"`    // the platform's headers on each request
	Retry       Retry   `json:"retry"`
	Mix         Mix     `json:"mix"`
	Limits      Limits  `json:"limits"`
}

// Retry is what clients do with a refusal or a connection that could not be had.
type Retry struct {
	Most  int     `json:"most"`        // further requests after the first; 0 = none
	Base  float64 `json:"base_ms"`     // the first pause; each further one is twice as long, all times 0.5 to 1.5
	Heeds bool    `json:"retry_after"` // a Retry-After that asks for a longer pause is heeded
}

// pause is how long a client waits before its next request, the nth further one.
func (r Retry) pause(n int, asked, chance float64) float64 {
	own := r.Base * math.Pow(2, float64(n-1)) * (0.5 + chance)
	if r.Heeds {
		own = max(own, asked)
	}
	return own
}

// Check names the first field that cannot work.
func (p *Plan) Check() error {
	switch {
	case len(p.Stages) == 0:
		return errors.New("no stage: give a rate or a number of clients")
	case p.Spacing != Steady && p.Spacing != Poisson:
		return fmt.Errorf("spacing %q: want steady or poisson", p.Spacing)
	case !(p.Warmup >= 0 && p.Think >= 0 && p.Retry.Base >= 0):
		return errors.New("warm-up, thinking and the pause before a retry must not be below 0")
	case p.Connections < 1:
		return fmt.Errorf("%d connections: at least 1", p.Connections)
	case p.Retry.Most < 0 || p.Retry.Most > maxRetries:
		return fmt.Errorf("%d retries: 0 to %d", p.Retry.Most, maxRetries)
	case p.Limits.Late <= 0 || p.Limits.Share <= 0 || p.Limits.Share >= 1:
		return errors.New("the limits of lateness: a time above 0 and a share between 0 and 1")
	}
	if total := p.Length(); total > maxLength {
		return errors.New("a run lasts 168h at most")
	}
	if len(p.Mix.Classes) == 0 {
		return errors.New("no class")
	}
	return nil
}

const maxRetries = 15

// Length is the time in which requests become due, the warm-up included.
func (p *Plan) Length() float64 {
	total := p.Warmup
	for _, s := range p.Stages {
		total += s.Length
	}
	return total
}

// all is the stages with the warm-up before them.
func (p *Plan) all() []Stage {
	if p.Warmup == 0 {
		return p.Stages
	}
	return append([]Stage{{From: p.Stages[0].From, To: p.Stages[0].From, Length: p.Warmup}}, p.Stages...)
}

// StageAt is the index of the stage at a time: -1 in the warm-up, the last one after the end.
func (p *Plan) StageAt(t float64) int {
	t -= p.Warmup
	if t < 0 {
		return -1
	}
	for i, s := range p.Stages {
		if t < s.Length {
			return i
		}
		t -= s.Length
	}
	return len(p.Stages) - 1
}

// Most is the highest level of all stages.
func (p *Plan) Most() float64 {
	most := 0.0
	for _, s := range p.Stages {
		most = max(most, s.From, s.To)
	}
	return most
}

// Arrivals gives the times at which the requests of an open loop are due, in order.
type Arrivals struct {
	stages  []Stage
	base    float64 // where the first of stages begins
	used    float64 // requests of the first of stages that have come, a fraction between two
	random  *rand.Rand
	left    uint64
	limited bool
}

// Arrivals begins the plan's times of arrival. Each call gives the same times.
func (p *Plan) Arrivals() *Arrivals {
	a := &Arrivals{stages: p.all(), left: p.Requests, limited: p.Requests > 0}
	if p.Spacing == Poisson {
		a.random = rand.New(rand.NewPCG(p.Seed, arrivalStream))
	} else {
		a.used = -0.5 // the first comes after half a gap, so that a step holds the rate times its length
	}
	return a
}

// The streams of random numbers that one seed gives, apart from those of single requests.
const (
	arrivalStream = 1<<63 + iota
	clientStream
)

// Next is when the next request is due; false when there is none.
func (a *Arrivals) Next() (float64, bool) {
	if a.limited {
		if a.left == 0 {
			return 0, false
		}
		a.left--
	}
	step := 1.0
	if a.random != nil {
		step = a.random.ExpFloat64()
	}
	a.used += step
	for len(a.stages) > 0 {
		s := a.stages[0]
		if t := s.when(a.used); !math.IsInf(t, 1) {
			return a.base + t, true
		}
		a.used -= s.area()
		a.base += s.Length
		a.stages = a.stages[1:]
	}
	return 0, false
}

// Clients is how many clients a closed loop has at most.
func (p *Plan) Clients() int { return int(math.Ceil(p.Most())) }

// Due is when a client of a closed loop sends its next request, if it may from a time on: its level must include it.
// False when that never comes.
func (p *Plan) Due(client int, from float64) (float64, bool) {
	base := 0.0
	for _, s := range p.all() {
		if t := max(from-base, 0); t < s.Length {
			if in := s.reaches(float64(client), t); in < s.Length {
				return base + in, true
			}
		}
		base += s.Length
	}
	return 0, false
}

// reaches is the first time from t on at which the level is above n; +Inf if it never is.
func (s Stage) reaches(n, t float64) float64 {
	if s.at(t) > n {
		return t
	}
	if s.To <= n {
		return math.Inf(1)
	}
	// Just behind the crossing: at it, the level is n and no more.
	return math.Nextafter(max(t, (n-s.From)/(s.To-s.From)*s.Length), math.Inf(1))
}

// Thinker draws the pauses of clients.
type Thinker struct {
	random *rand.Rand
	mean   float64
}

// Thinker makes the draws of one client.
func (p *Plan) Thinker(client int) *Thinker {
	t := &Thinker{mean: p.Think}
	if p.Spacing == Poisson {
		t.random = rand.New(rand.NewPCG(p.Seed, clientStream^uint64(client)<<8))
	}
	return t
}

// Pause is the next one.
func (t *Thinker) Pause() float64 {
	if t.random == nil {
		return t.mean
	}
	return t.mean * t.random.ExpFloat64()
}
