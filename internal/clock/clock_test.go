package clock

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against alarms that run out of order, too early, or after they were stopped.
func TestManual(t *testing.T) {
	c := NewManual(100)
	var ran []float64
	record := func() { ran = append(ran, c.Now()) }
	c.At(130, record)
	c.At(110, func() { record(); c.At(120, record) })
	stop := c.At(125, record)
	stop()
	c.Advance(29)
	assert.Equal(t, []float64{110, 120}, ran)
	c.Advance(1)
	assert.Equal(t, []float64{110, 120, 130}, ran)
	done := make(chan struct{})
	c.At(1, func() { close(done) })
	<-done
}

// Guards against a clock that runs backwards, and against an alarm that fires too early.
func TestSystem(t *testing.T) {
	c := NewSystem()
	start := c.Now()
	fired := make(chan float64)
	c.At(start+1, func() { fired <- c.Now() })
	assert.GreaterOrEqual(t, <-fired, start+1)
}
