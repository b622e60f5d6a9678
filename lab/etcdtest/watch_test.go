package etcdtest

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.etcd.io/etcd/api/v3/etcdserverpb"

	"linenwheel.dev/linenwheel/internal/clock"
)

// busyStream is a call whose client sends requests without end and does not take what is sent until it is let.
type busyStream struct {
	etcdserverpb.Watch_WatchServer
	ctx  context.Context
	take chan struct{}
}

func (b *busyStream) Context() context.Context { return b.ctx }

func (b *busyStream) Recv() (*etcdserverpb.WatchRequest, error) {
	create := &etcdserverpb.WatchCreateRequest{Key: []byte("a")}
	return &etcdserverpb.WatchRequest{RequestUnion: &etcdserverpb.WatchRequest_CreateRequest{CreateRequest: create}}, b.ctx.Err()
}

func (b *busyStream) Send(*etcdserverpb.WatchResponse) error {
	<-b.take
	return nil
}

// Guards against a call for watches that goes on for good because it ended while a request of its client's was in hand.
func TestWatchEndsWithItsCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, err := New(Settings{Members: 1, Memory: true, Clock: clock.NewManual(0)})
		require.NoError(t, err)
		defer c.Close()
		ctx, cancel := context.WithCancel(t.Context())
		call, ended := &busyStream{ctx: ctx, take: make(chan struct{})}, make(chan error, 1)
		go func() { ended <- watch{s: &service{m: c.Members[0]}}.Watch(call) }()
		synctest.Wait() // the first answer is not taken, and the next request is in hand
		cancel()
		synctest.Wait()
		close(call.take)
		synctest.Wait()
		require.Len(t, ended, 1, "the watch goes on without its call")
		assert.ErrorIs(t, <-ended, context.Canceled)
	})
}
