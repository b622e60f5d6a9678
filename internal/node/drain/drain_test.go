package drain

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a drain that closes connections before the front has noticed it, one that continues after
// Activate, and a second Drain call that restarts the drain.
func TestDrain(t *testing.T) {
	var d State
	times := Times{CloseAfterResponse: 900, CloseIdle: 1400, RefuseCalls: 1900}
	assert.Equal(t, Policy{Ready: true}, d.Policy(5000, times))
	d.Drain(5000)
	assert.Equal(t, Policy{}, d.Policy(5000, times))
	d.Drain(5800)
	assert.Equal(t, Policy{CloseAfterResponse: true}, d.Policy(5900, times))
	assert.Equal(t, Policy{CloseAfterResponse: true, CloseIdle: true}, d.Policy(6400, times))
	assert.Equal(t, Policy{CloseAfterResponse: true, CloseIdle: true, RefuseCalls: true}, d.Policy(6900, times))
	d.Activate()
	d.Activate()
	assert.Equal(t, Policy{Ready: true}, d.Policy(7000, times))
	d.Drain(8000)
	assert.Equal(t, Policy{}, d.Policy(8100, times))
}
