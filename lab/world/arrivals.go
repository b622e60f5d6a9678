package world

import (
	"encoding/csv"
	"errors"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"

	"linenwheel.dev/linenwheel/lab/form"
)

// Arrivals is the stream of first tries of a day, in order of time. Each is the same however fast it is read.
type Arrivals struct {
	day    *Day
	rng    randStream
	number uint64
	at     float64
	quota  []bucket
}

type bucket struct{ left, last float64 }

// randStream is a sequence by counter, so that arrival n is the same in any stream of the day.
type randStream struct{ seed uint64 }

func (s randStream) at(n uint64, what uint64) uint64 { return hash(s.seed+n, what) }

// Arrivals starts the stream from the beginning.
func (d *Day) Arrivals() *Arrivals {
	a := &Arrivals{day: d, rng: randStream{hash(d.Seed, 0xa1)}, quota: make([]bucket, len(d.Partners))}
	for i := range a.quota {
		a.quota[i] = bucket{left: quotaBurst * d.Partners[i].Quota}
	}
	return a
}

// quotaBurst is how many seconds of its share a partner may ask for at once.
const quotaBurst = 2

// Next gives the next first try; false at the end of the day. It allocates nothing.
func (a *Arrivals) Next(out *Arrival) bool {
	d := a.day
	if list := d.Site.Replayed; len(list) > 0 {
		if a.number >= uint64(len(list)) || list[a.number].At >= d.Length {
			return false
		}
		*out = list[a.number]
		c := &d.Classes[out.Class]
		if out.Work == 0 {
			out.Work = c.Work
		}
		if out.Wait < 0 {
			out.Wait = c.Wait
		}
		d.finish(out)
	} else if !a.draw(out) {
		return false
	}
	a.number++
	b, quota := &a.quota[out.Partner], d.Partners[out.Partner].Quota
	b.left = min(quotaBurst*quota, b.left+(out.At-b.last)*quota/1000) - 1
	b.last = out.At
	if out.Over = b.left < 0; out.Over {
		b.left++
	}
	return true
}

func (a *Arrivals) draw(out *Arrival) bool {
	d, n := a.day, a.number
	gap := 1.0
	if d.Shape != Even {
		gap = -math.Log(1 - unit(a.rng.at(n, 0)))
	}
	rate, until := d.RateAt(a.at)
	for rate <= 0 || a.at+gap*1000/rate > until { // the rate changes before the gap is through
		if until >= d.Length {
			return false
		}
		gap -= rate * (until - a.at) / 1000
		a.at = until
		rate, until = d.RateAt(a.at)
	}
	a.at += gap * 1000 / rate
	if a.at >= d.Length {
		return false
	}
	*out = Arrival{Number: n, At: a.at}
	u := unit(a.rng.at(n, 1)) * d.Rate
	for out.Partner = 0; out.Partner < len(d.Partners)-1 && u >= d.Partners[out.Partner].Rate; out.Partner++ {
		u -= d.Partners[out.Partner].Rate
	}
	u = unit(a.rng.at(n, 2))
	for out.Class = 0; out.Class < len(d.Classes)-1 && u >= d.Classes[out.Class].Share; out.Class++ {
		u -= d.Classes[out.Class].Share
	}
	c := &d.Classes[out.Class]
	times := 1.0
	switch c.Dist {
	case LogNormal:
		times = spread(a.rng.at(n, 3), c.Spread)
	case Exponential:
		times = -math.Log(1 - unit(a.rng.at(n, 3)))
	}
	for _, t := range d.tails {
		if t.class == out.Class && t.from <= a.at && a.at < t.to && unit(a.rng.at(n, 4)) < t.share {
			times *= t.size
		}
	}
	out.Work, out.Wait = c.Work*times, c.Wait
	d.finish(out)
	return true
}

// finish sets what hangs on the arrival's number alone.
func (d *Day) finish(out *Arrival) {
	luck := hash(d.Seed, out.Number+0xb0d1)
	if d.Classes[out.Class].Effect == Keyed {
		out.Key = mix(luck) | 1
	}
	b, a := d.Site.Clients.Body, d.Site.Clients.Answer
	if d.Classes[out.Class].Effect != Safe {
		out.Body = int(b.Lo + (b.Hi-b.Lo)*unit(mix(luck+1)))
	}
	out.Answer = int(a.Lo + (a.Hi-a.Lo)*unit(mix(luck+2)))
}

// RateAt is the rate of first tries at a time, in requests a second, and until when it can be taken as steady.
func (d *Day) RateAt(t float64) (rate, until float64) {
	rate, until = d.Rate, d.Length
	if d.Shape == Waves && d.Period > 0 {
		const pieces = 64 // of a period, in which the rate is steady
		width := d.Period / pieces
		i := math.Floor(t/width + 1e-9)
		rate *= 1 + d.Swing*math.Sin(2*math.Pi*(i+0.5)/pieces)
		until = min(until, (i+1)*width)
	}
	steps := d.Site.Load.Steps
	from, before := 0.0, 1.0
	for i := range steps {
		s := &steps[i]
		if t < s.At.Lo {
			until = min(until, s.At.Lo)
			if s.Ramp {
				const width = 100.0 // ms in which a ramp's rate is steady
				k := math.Floor((t-from)/width + 1e-9)
				mid := min(1, (k+0.5)*width/(s.At.Lo-from))
				before += (s.Times - before) * mid
				until = min(until, from+(k+1)*width)
			}
			break
		}
		from, before = s.At.Lo, s.Times
	}
	rate *= before
	for _, f := range d.factors {
		if t < f.from {
			until = min(until, f.from)
		} else if t < f.to {
			rate *= f.size
			until = min(until, f.to)
		}
	}
	return rate, max(until, math.Nextafter(t, inf))
}

// Cost is what one attempt of an arrival costs a rater, and its luck. Which attempt it is tells salt: any number that is
// the attempt's own.
func (d *Day) Cost(a *Arrival, salt uint64) (work, wait float64, luck uint64) {
	luck = hash(hash(d.Seed, a.Number+0xc0), salt)
	noise := d.Classes[a.Class].Noise
	return a.Work * spread(luck, noise), a.Wait * spread(mix(luck), noise), mix(luck + 1)
}

// ReadArrivals reads recorded arrivals: comma-separated lines "ms,class,partner[,work ms[,wait ms]]" in order of time. Blank
// lines and those that begin with # say nothing; work and wait that are left out are the class's means of the day.
func (s *Site) ReadArrivals(file, text string) ([]Arrival, error) {
	r := csv.NewReader(strings.NewReader(text))
	r.Comment, r.FieldsPerRecord, r.TrimLeadingSpace = '#', -1, true
	var list []Arrival
	for {
		f, err := r.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		row, _ := r.FieldPos(0)
		wrong := func(field, text string) error { return &form.Error{File: file, Line: row, Field: field, Text: text} }
		var bad *csv.ParseError
		if errors.As(err, &bad) {
			return nil, &form.Error{File: file, Line: bad.Line, Text: bad.Err.Error()}
		} else if err != nil {
			return nil, err
		}
		if len(f) < 3 || len(f) > 5 {
			return nil, wrong("", "want ms,class,partner[,work[,wait]]")
		}
		a := Arrival{Number: uint64(len(list)), Wait: -1}
		a.Class = slices.IndexFunc(s.Classes, func(c Class) bool { return c.Name == f[1] })
		a.Partner = slices.IndexFunc(s.Partners, func(p Partner) bool { return p.Name == f[2] })
		if a.Class < 0 {
			return nil, wrong("class", "no class "+f[1])
		}
		if a.Partner < 0 {
			return nil, wrong("partner", "no partner "+f[2])
		}
		for i, to := range []*float64{&a.At, nil, nil, &a.Work, &a.Wait} {
			if to == nil || i >= len(f) {
				continue
			}
			if *to, err = strconv.ParseFloat(f[i], 64); err != nil || !(*to >= 0 && *to < many) || i == 3 && *to == 0 {
				return nil, wrong([]string{"ms", "", "", "work", "wait"}[i], "no such time: "+f[i])
			}
		}
		if len(list) > 0 && a.At < list[len(list)-1].At {
			return nil, wrong("ms", "lies before the line above")
		}
		list = append(list, a)
	}
	if len(list) == 0 {
		return nil, &form.Error{File: file, Text: "no arrivals"}
	}
	return list, nil
}
