package south

import (
	"context"
	"errors"
	"net"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"

	"starlinghub.dev/starlinghub/internal/clock"
	"starlinghub.dev/starlinghub/internal/http1"
	"starlinghub.dev/starlinghub/internal/pilot"
)

// Guards against a host put away because a request's time, or the node's room, ran out before anything was sent.
func TestBlameForNoConnection(t *testing.T) {
	c := clock.NewManual(1000)
	p := New(Settings{}, c, nil, func(string, ...any) {})
	slow := &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
	open, closed := make(chan struct{}), make(chan struct{})
	close(closed)
	assert.Equal(t, pilot.NoConnect, p.unsent(errors.New("refused"), 1000, open))
	assert.Equal(t, pilot.NoConnect, p.unsent(slow, 2000, open), "it had its full time")
	assert.Equal(t, pilot.Unsent, p.unsent(slow, 1000, open))
	assert.Equal(t, pilot.CalledOff, p.unsent(context.Canceled, 2000, closed))
	o, _ := p.Relay(Host{"h", "127.0.0.1:1"}, nil, 2000, open)
	assert.Equal(t, pilot.Unsent, o, "no connection is allowed at all")
}

// Guards against outcomes other than the protocol's.
func TestOutcomes(t *testing.T) {
	marked := []http1.Field{{Name: []byte("srv-declined"), Value: []byte("1")}}
	for _, c := range []struct {
		status int
		fields []http1.Field
		want   pilot.Outcome
	}{{200, nil, pilot.Served}, {500, nil, pilot.Failed}, {503, marked, pilot.Declined}, {504, marked, pilot.Declined},
		{503, nil, pilot.Failed}, {500, marked, pilot.Failed}, {404, nil, pilot.Rejected}, {400, marked, pilot.Rejected}, {201, nil, pilot.Failed}} {
		assert.Equal(t, c.want, outcome(&http1.Message{Status: c.status, Fields: c.fields}), c.status)
	}
}
