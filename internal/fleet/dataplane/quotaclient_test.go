package dataplane

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/fleet/distribution"
	"linenwheel.dev/linenwheel/internal/fleet/operator"
	"linenwheel.dev/linenwheel/internal/fleet/quota"
	"linenwheel.dev/linenwheel/internal/fleet/settings"
	"linenwheel.dev/linenwheel/internal/fleet/transport"
)

// Owner is the owner of the tenants' allowances as a node reaches it.
type Owner struct {
	answer func(*quota.TakeRequest) quota.TakeReply

	mu      sync.Mutex
	asked   int
	granted float64
}

// Take answers as the test says and keeps account.
func (o *Owner) Take(request *quota.TakeRequest, reply *quota.TakeReply) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.asked++
	*reply = o.answer(request)
	o.granted += reply.Granted
	return nil
}

// counts are how often it was asked and what it gave.
func (o *Owner) counts() (asked int, granted float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.asked, o.granted
}

var tenant = &operator.Tenant{Name: "t", Rate: 1e6, Burst: 1e6}

// owned gives a node's part of allowances whose owner answers so.
func owned(t *testing.T, answer func(*quota.TakeRequest) quota.TakeReply) (*quotaClient, *Owner) {
	t.Helper()
	o := &Owner{answer: answer}
	listener, err := transport.Listen(t.Context(), "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() { _ = transport.Serve(listener, map[string]any{"Allowance": o}) }()
	n := New(&settings.Settings{}, log.New(io.Discard))
	_, err = n.watcher.copy.Apply(0, &distribution.PollReply{Epoch: 1,
		Members: []distribution.ControlMember{{Address: listener.Addr().String(), InChain: true}}})
	require.NoError(t, err)
	n.quotas.callTimeout = time.Minute // a loaded machine answers late
	return n.quotas, o
}

// Guards against a client turned away because the bucket of an owner that has just begun is empty, and against more given out
// than the limit allows.
func TestAnEmptyBucketThatFillsAtOnceTurnsNobodyAway(t *testing.T) {
	var begun time.Time
	bucket := quota.NewOwner(quota.Tolerance{}) // which begins with nothing
	r, o := owned(t, func(request *quota.TakeRequest) quota.TakeReply {
		if begun.IsZero() {
			begun = time.Now()
		}
		return bucket.Acquire(time.Since(begun), request)
	})
	ok, _ := r.Acquire(t.Context(), tenant, 1, 940, false)
	_, granted := o.counts()
	require.LessOrEqual(t, granted, tenant.Rate*time.Since(begun).Seconds())
	asked, _ := o.counts()
	require.True(t, ok)
	require.Equal(t, 2, asked)
	require.GreaterOrEqual(t, granted, 940.0)
}

// Guards against a wait that is too long, goes beyond the request's time, or is followed by another one.
func TestOnlyAShortWaitForAllowanceIsWaitedFor(t *testing.T) {
	for name, c := range map[string]struct {
		wait  time.Duration
		left  time.Duration // of the request's time
		asked int
	}{
		"short":              {shortWait, time.Hour, 2},
		"longer":             {shortWait + 1, time.Hour, 1},
		"much longer":        {time.Hour, time.Hour, 1},
		"beyond the request": {shortWait, shortWait, 1},
		"too late already":   {0, -time.Second, 1},
	} {
		t.Run(name, func(t *testing.T) {
			r, o := owned(t, func(*quota.TakeRequest) quota.TakeReply {
				return quota.TakeReply{Owner: true, Wait: c.wait}
			})
			ctx, cancel := context.WithTimeout(t.Context(), c.left)
			defer cancel()
			ok, wait := r.Acquire(ctx, tenant, 1, 940, false)
			require.False(t, ok)
			require.Equal(t, min(c.wait, mostQuotaWait), wait, "the client is told when to come back")
			asked, _ := o.counts()
			require.Equal(t, c.asked, asked)
		})
	}
}

// Guards against an owner asked on behalf of a client that has gone.
func TestAWaitForAllowanceEndsWithItsRequest(t *testing.T) {
	ctx, leave := context.WithCancel(t.Context())
	r, o := owned(t, func(*quota.TakeRequest) quota.TakeReply {
		leave()
		return quota.TakeReply{Owner: true, Wait: shortWait}
	})
	ok, _ := r.Acquire(ctx, tenant, 1, 940, false)
	require.False(t, ok)
	asked, _ := o.counts()
	require.Equal(t, 1, asked)
}
