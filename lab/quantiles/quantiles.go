// Package quantiles is the form in which the lab writes a distribution of times: a few figures and the whole histogram.
// Times in a histogram are whole microseconds, those of the figures milliseconds. No I/O.
package quantiles

import (
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Quantiles sums up a histogram.
type Quantiles struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p99_9_ms"`
	P9999 float64 `json:"p99_99_ms"`
	Max   float64 `json:"max_ms"`
	// Histogram is all of it: HdrHistogram's V2 form, compressed, in base64. Empty if there is nothing in it.
	Histogram string `json:"histogram,omitempty"`
}

// Of sums up a histogram.
func Of(h *hdrhistogram.Histogram) Quantiles {
	if h.TotalCount() == 0 {
		return Quantiles{}
	}
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	q := Quantiles{Count: h.TotalCount(), Mean: h.Mean() / 1000, P50: at(50), P90: at(90), P99: at(99), P999: at(99.9),
		P9999: at(99.99), Max: float64(h.Max()) / 1000}
	// It can fail for a geometry alone that New never makes.
	encoded, _ := h.EncodeV2()
	q.Histogram = string(encoded)
	return q
}

// Decode gives the histogram back.
func (q Quantiles) Decode() (*hdrhistogram.Histogram, error) {
	if q.Histogram == "" {
		return hdrhistogram.New(1, 600e6, 3), nil
	}
	h, err := hdrhistogram.Decode([]byte(q.Histogram))
	if err != nil {
		return nil, fmt.Errorf("a histogram of %d times: %w", q.Count, err)
	}
	return h, nil
}
