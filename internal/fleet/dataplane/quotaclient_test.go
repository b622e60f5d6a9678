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

// Owner is a test quota owner that a node calls. It is exported because net/rpc requires it.
type Owner struct {
	reply func(*quota.AcquireRequest) quota.AcquireReply

	mu      sync.Mutex
	calls   int
	granted float64
}

// Take replies with the result of reply, and counts the calls and the units granted.
func (o *Owner) Take(request *quota.AcquireRequest, reply *quota.AcquireReply) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.calls++
	*reply = o.reply(request)
	o.granted += reply.Granted
	return nil
}

// counts returns the number of calls and the units granted.
func (o *Owner) counts() (calls int, granted float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.calls, o.granted
}

var tenant = &operator.Tenant{Name: "t", Rate: 1e6, Burst: 1e6}

// newOwnedClient returns the quota client of a node, and the quota owner that it calls, which replies with the
// result of reply.
func newOwnedClient(t *testing.T, reply func(*quota.AcquireRequest) quota.AcquireReply) (*quotaClient, *Owner) {
	t.Helper()
	owner := &Owner{reply: reply}
	listener, err := transport.Listen(t.Context(), "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() { _ = transport.Serve(listener, map[string]any{"Allowance": owner}) }()
	n := New(&settings.Settings{}, log.New(io.Discard))
	_, err = n.watcher.state.Apply(0, &distribution.PollReply{Epoch: 1,
		Members: []distribution.ControlMember{{Address: listener.Addr().String(), InChain: true}}})
	require.NoError(t, err)
	n.quotas.callTimeout = time.Minute // a loaded machine responds late
	return n.quotas, owner
}

// Guards against the rejection of a request because the bucket of an owner that has just started is empty, and
// against grants of more than the limit allows.
func TestAcquireRetriesOnceWhileTheOwnersBucketFills(t *testing.T) {
	var startedAt time.Time
	bucket := quota.NewOwner(quota.Tolerance{}) // its buckets start empty
	client, owner := newOwnedClient(t, func(request *quota.AcquireRequest) quota.AcquireReply {
		if startedAt.IsZero() {
			startedAt = time.Now()
		}
		return bucket.Acquire(time.Since(startedAt), request)
	})
	ok, _ := client.Acquire(t.Context(), tenant, 1, 940, false)
	_, granted := owner.counts()
	require.LessOrEqual(t, granted, tenant.Rate*time.Since(startedAt).Seconds())
	calls, _ := owner.counts()
	require.True(t, ok)
	require.Equal(t, 2, calls)
	require.GreaterOrEqual(t, granted, 940.0)
}

// Guards against a wait that is too long, exceeds the request's remaining time, or is followed by another wait.
func TestAcquireWaitsInlineOnlyForAShortTime(t *testing.T) {
	for name, c := range map[string]struct {
		wait  time.Duration
		left  time.Duration // until the request's deadline
		calls int
	}{
		"short":              {maxInlineWait, time.Hour, 2},
		"longer":             {maxInlineWait + 1, time.Hour, 1},
		"much longer":        {time.Hour, time.Hour, 1},
		"beyond the request": {maxInlineWait, maxInlineWait, 1},
		"too late already":   {0, -time.Second, 1},
	} {
		t.Run(name, func(t *testing.T) {
			client, owner := newOwnedClient(t, func(*quota.AcquireRequest) quota.AcquireReply {
				return quota.AcquireReply{Owner: true, Wait: c.wait}
			})
			ctx, cancel := context.WithTimeout(t.Context(), c.left)
			defer cancel()
			ok, wait := client.Acquire(ctx, tenant, 1, 940, false)
			require.False(t, ok)
			require.Equal(t, min(c.wait, maxRetryAfter), wait, "the client is told when to retry")
			calls, _ := owner.counts()
			require.Equal(t, c.calls, calls)
		})
	}
}

// Guards against another call to the owner after the client has disconnected.
func TestInlineWaitEndsWithTheRequest(t *testing.T) {
	ctx, disconnect := context.WithCancel(t.Context())
	client, owner := newOwnedClient(t, func(*quota.AcquireRequest) quota.AcquireReply {
		disconnect()
		return quota.AcquireReply{Owner: true, Wait: maxInlineWait}
	})
	ok, _ := client.Acquire(ctx, tenant, 1, 940, false)
	require.False(t, ok)
	calls, _ := owner.counts()
	require.Equal(t, 1, calls)
}
