package replicated

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/node/consensus/client"
	"linenwheel.dev/linenwheel/internal/node/consensus/protocol"
	"linenwheel.dev/linenwheel/internal/node/consensus/replica"
	"linenwheel.dev/linenwheel/internal/node/idempotency"
	"linenwheel.dev/linenwheel/internal/node/idempotency/middleware"
	"linenwheel.dev/linenwheel/internal/node/statemachine"
)

// runReplica runs the only replica, which ends with ctx; work is done when it has ended.
func runReplica(ctx context.Context, t *testing.T, work *sync.WaitGroup) client.Config {
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.17:0", 128+os.Getpid()>>8&63, os.Getpid()&255)) // an address of this process alone
	require.NoError(t, err)
	to := client.Replica{Name: "k", Address: l.Addr().String()}
	require.NoError(t, l.Close())
	k, err := replica.New(replica.Settings{Fleet: "f", Name: to.Name, Listen: to.Address, Directory: t.TempDir(), Addresses: map[string]string{to.Name: to.Address},
		Heartbeat: 25, Election: 250, ImageEvery: 4 << 20, Trail: 1000}, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	work.Go(func() { _ = k.Run(ctx) })
	ask := client.Config{Fleet: "f", Name: "n", AttemptTimeout: time.Minute, Replicas: []client.Replica{to}}
	_, err = client.Call(ctx, ask, to, protocol.Request{Kind: protocol.Bootstrap, Members: []statemachine.Member{{ID: k.ID(), Name: to.Name, Address: to.Address}}, Now: 1})
	require.NoError(t, err)
	return ask
}

// logWatcher closes a channel when something is logged.
type logWatcher struct {
	what  string
	once  sync.Once
	found chan struct{}
}

func (s *logWatcher) Write(b []byte) (int, error) {
	if bytes.Contains(b, []byte(s.what)) {
		s.once.Do(func() { close(s.found) })
	}
	return len(b), nil
}

// Guards against a node that hashes keys under another secret than the other nodes and is only noticed when a
// charge runs twice: it logs that when it starts, and claims no key.
func TestNodeWithAnotherSecretClaimsNothing(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	var work sync.WaitGroup
	defer work.Wait()
	defer stop()
	ask, real := runReplica(ctx, t, &work), clock.NewSystem()
	begin := func(node, secret string, log *slog.Logger) *Keys {
		c := client.New(ask)
		n := New(Settings{Node: node, Secret: []byte(secret), ClaimValidity: 30000,
			MaxRun: 30000, RequestTimeout: 10000, CompletionTimeout: 10000}, c, real, log)
		work.Go(func() { defer c.Close(); n.Run(ctx) })
		return n
	}
	first := begin("a", "the secret of the fleet", slog.New(slog.DiscardHandler))
	<-first.Ready()
	seen := &logWatcher{what: "level=ERROR msg=\"this node hashes idempotency keys with another secret than its fleet: it claims none\"", found: make(chan struct{})}
	other := begin("b", "another secret", slog.New(slog.NewTextHandler(seen, nil)))
	select {
	case <-seen.found:
	case <-other.Ready():
		require.Fail(t, "it claims keys")
	case <-time.After(time.Minute):
		require.Fail(t, "it does not log the other secret")
	}
	call := idempotency.Call{Key: idempotency.Key{1}, Tenant: -1, Windows: &idempotency.Windows{Answered: 60000, Doubt: 60000}}
	assert.Equal(t, middleware.ClaimResult{Verdict: idempotency.Full, Reason: middleware.ReasonNoMajority, RetryAfter: retryAfter}, other.Claim(call, real.Now()+20000, nil))
	assert.False(t, other.Reachable())
	assert.Equal(t, idempotency.Run, first.Claim(call, real.Now()+20000, nil).Verdict)
	same := begin("b", "the secret of the fleet", slog.New(slog.DiscardHandler))
	<-same.Ready()
}

// Guards against a process that announces its incarnation after another has replaced it: the runs of that one
// would count as abandoned, and their responses would be lost.
func TestReplacedProcessNoLongerAnnouncesItself(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	var work sync.WaitGroup
	defer work.Wait()
	defer stop()
	ask, quiet := runReplica(ctx, t, &work), slog.New(slog.DiscardHandler)
	real := clock.NewSystem()
	begin := func(replaced bool) *Keys {
		c := client.New(ask)
		n := New(Settings{Node: "n", ClaimValidity: 600000, MaxRun: 600000, RequestTimeout: 60000,
			CompletionTimeout: 60000}, c, real, quiet)
		if replaced {
			n.StopAnnouncing()
		}
		work.Go(func() { defer c.Close(); n.Run(ctx) })
		<-n.Ready()
		return n
	}
	successor, call := begin(false), idempotency.Call{Key: idempotency.Key{1}, Tenant: -1, Windows: &idempotency.Windows{Answered: 60000, Doubt: 60000}}
	t1 := successor.Claim(call, real.Now()+120000, nil)
	require.Equal(t, idempotency.Run, t1.Verdict)
	begin(true)
	successor.Complete(call, t1, idempotency.OutcomeServed, []byte("answer"))
	t2 := successor.Claim(call, real.Now()+120000, nil)
	assert.Equal(t, idempotency.Replay, t2.Verdict)
	assert.Equal(t, "answer", string(t2.Body))
}
