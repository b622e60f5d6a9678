package chart

import (
	"math"
	"strconv"
	"time"

	"gonum.org/v1/plot"
)

// Axis is one axis. Its range is that of the data where Min and Max are equal; a range given is kept.
type Axis struct {
	Label    string
	Min, Max float64
	Scale    Scale
}

// Scale says how values lie along an axis and how they are written.
type Scale int

// The scales.
const (
	Linear  Scale = iota
	Log           // equal steps for equal factors; values must be above 0
	Clock         // milliseconds, written as m:ss or h:mm
	Percent       // a share, written as a percentage
	Tail          // a share below 1, spread so that 90%, 99%, 99.9% ... are equally far apart
)

// TailEnd is the largest share that a Tail axis shows.
const TailEnd = 0.99999

// tailPlace is where a share lies on a Tail axis.
func tailPlace(share float64) float64 { return -math.Log10(1 - min(share, TailEnd)) }

// place maps a value to the plane that the plot draws on.
func (a Axis) place(v float64) float64 {
	switch a.Scale {
	case Log:
		return math.Log10(v)
	case Tail:
		return tailPlace(v)
	}
	return v
}

// ticks gives the marks between two places.
func (a Axis) ticks(from, to float64) []plot.Tick {
	var marks []plot.Tick
	add := func(value float64, label string) {
		if p := a.place(value); p >= from-1e-9 && p <= to+1e-9 {
			marks = append(marks, plot.Tick{Value: p, Label: label})
		}
	}
	switch a.Scale {
	case Log:
		within := []float64{1, 2, 5}
		if to-from < 0.5 {
			within = []float64{1, 1.2, 1.5, 2, 2.5, 3, 4, 5, 6, 7, 8, 9}
		} else if to-from < 1.3 {
			within = []float64{1, 1.5, 2, 3, 4, 5, 7}
		}
		for e := math.Floor(from); e <= math.Ceil(to); e++ {
			for _, m := range within {
				v := m * math.Pow(10, e)
				label := number(v)
				if to-from > 3.5 && m != 1 {
					label = ""
				}
				add(v, label)
			}
		}
	case Tail:
		add(0, "0")
		add(0.5, "50%")
		for nines := 1; nines <= 5; nines++ {
			share := 1 - math.Pow(10, -float64(nines))
			add(share, strconv.FormatFloat(100*share, 'f', max(nines-2, 0), 64)+"%")
		}
	case Clock:
		step := clockStep(to - from)
		for v := math.Ceil(from/step-1e-9) * step; v <= to+1e-6; v += step {
			add(v, clock(v, step))
		}
	default:
		step := niceStep(to - from)
		for v := math.Ceil(from/step-1e-9) * step; v <= to+step*1e-6; v += step {
			if math.Abs(v) < step*1e-6 {
				v = 0
			}
			label := number(v)
			if a.Scale == Percent {
				label = number(100*v) + "%"
			}
			add(v, label)
		}
	}
	return marks
}

// niceStep is 1, 2 or 5 times a power of ten, four to nine of which make the length.
func niceStep(length float64) float64 {
	if !(length > 0) {
		return 1
	}
	step := math.Pow(10, math.Floor(math.Log10(length)))
	for _, part := range []float64{0.1, 0.2, 0.5} {
		if length/(step*part) <= 8 {
			return step * part
		}
	}
	return step
}

// clockStep is a step that a clock face would have, in milliseconds.
func clockStep(length float64) float64 {
	steps := []float64{0.1, 0.2, 0.5, 1, 2, 5, 10, 15, 30, 60, 120, 300, 600, 900, 1800, 3600, 7200, 14400, 21600, 43200, 86400}
	for _, s := range steps {
		if length/(s*1000) <= 10 {
			return s * 1000
		}
	}
	return 86400e3 * math.Ceil(length/86400e3/10)
}

// clock writes a time as m:ss, with a fraction for short steps and as h:mm for long ones.
func clock(ms, step float64) string {
	t := time.Duration(math.Round(ms)) * time.Millisecond
	sign := ""
	if t < 0 {
		sign, t = "-", -t
	}
	switch {
	case step < 1000:
		return sign + strconv.FormatFloat(t.Seconds(), 'f', 1, 64) + " s"
	case step >= 1800e3:
		return sign + strconv.Itoa(int(t.Hours())) + ":" + two(int(t.Minutes())%60) + " h"
	}
	return sign + strconv.Itoa(int(t.Minutes())) + ":" + two(int(t.Seconds())%60)
}

func two(n int) string {
	if n < 10 {
		return "0" + strconv.Itoa(n)
	}
	return strconv.Itoa(n)
}

// number writes a value in at most four digits, thousands as k.
func number(v float64) string {
	if math.Abs(v) >= 10000 {
		if math.Abs(v) >= 1e7 {
			return strconv.FormatFloat(v/1e6, 'g', 4, 64) + "M"
		}
		return strconv.FormatFloat(v/1000, 'g', 4, 64) + "k"
	}
	return strconv.FormatFloat(v, 'g', 4, 64)
}
