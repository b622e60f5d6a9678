package etcdtest

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"math/big"
	"net"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
	clientv3 "go.etcd.io/etcd/client/v3"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"linenwheel.dev/linenwheel/internal/clock"
)

// All of this is tested by etcd's own client: what it takes for etcd is like etcd.
func start(t *testing.T, set Settings, conf clientv3.Config) (*Cluster, *clientv3.Client, *clock.Manual) {
	stands := clock.NewManual(1e12)
	set.Clock = stands
	set.Members = max(set.Members, 1)
	c, err := New(set)
	require.NoError(t, err)
	conf.Endpoints, conf.DialTimeout, conf.Logger = c.Endpoints(), time.Minute, zap.NewNop()
	if conf.Username != "" {
		c.Protect(conf.Username, conf.Password)
	}
	client, err := clientv3.New(conf)
	require.NoError(t, err)
	t.Cleanup(func() { _ = client.Close(); c.Close() })
	return c, client, stands
}

func next(t *testing.T, w clientv3.WatchChan) clientv3.WatchResponse {
	select {
	case r := <-w:
		return r
	case <-time.After(time.Minute):
		require.Fail(t, "the watch says nothing")
	}
	return clientv3.WatchResponse{}
}

// gather gives so many things that a watch says, in however many responses.
func gather(t *testing.T, w clientv3.WatchChan, n int) (list []string) { //nolint:unparam // how many is part of what each test says
	for len(list) < n {
		list = append(list, said(next(t, w))...)
	}
	return list
}

// said shortens what a watch says.
func said(r clientv3.WatchResponse) (list []string) {
	for _, e := range r.Events {
		list = append(list, e.Type.String()+" "+string(e.Kv.Key)+"="+string(e.Kv.Value))
	}
	return list
}

// Guards against keys, ranges, transactions and history that differ from etcd's.
func TestKeys(t *testing.T) {
	_, client, _ := start(t, Settings{}, clientv3.Config{})
	ctx := t.Context()
	for i, kv := range [][2]string{{"p/a", "1"}, {"p/b", "2"}, {"q", "3"}, {"p/a", "4"}} {
		put, err := client.Put(ctx, kv[0], kv[1], clientv3.WithPrevKV())
		require.NoError(t, err)
		assert.Equal(t, int64(i+2), put.Header.Revision)
		assert.Equal(t, i == 3, put.PrevKv != nil)
	}
	got, err := client.Get(ctx, "p/", clientv3.WithPrefix())
	require.NoError(t, err)
	require.Len(t, got.Kvs, 2)
	a := got.Kvs[0]
	assert.Equal(t, []int64{2, 5, 2, 2, 0}, []int64{a.CreateRevision, a.ModRevision, a.Version, got.Count, a.Lease})
	old, err := client.Get(ctx, "", clientv3.WithFromKey(), clientv3.WithRev(4), clientv3.WithSort(clientv3.SortByValue, clientv3.SortDescend), clientv3.WithLimit(2))
	require.NoError(t, err)
	assert.Equal(t, "32", string(old.Kvs[0].Value)+string(old.Kvs[1].Value))
	assert.True(t, old.More)
	txn, err := client.Txn(ctx).If(clientv3.Compare(clientv3.ModRevision("p/a"), "=", 5), clientv3.Compare(clientv3.Value("q"), "<", "4")).
		Then(clientv3.OpPut("p/c", "5"), clientv3.OpDelete("p/b"), clientv3.OpGet("p/c")).Else(clientv3.OpGet("q")).Commit()
	require.NoError(t, err)
	assert.True(t, txn.Succeeded)
	assert.Equal(t, "5", string(txn.Responses[2].GetResponseRange().Kvs[0].Value))
	gone, err := client.Get(ctx, "p/b")
	require.NoError(t, err)
	assert.Equal(t, int64(6), gone.Header.Revision)
	assert.Empty(t, gone.Kvs)
	_, err = client.Txn(ctx).Then(clientv3.OpPut("x", "1"), clientv3.OpPut("x", "2")).Commit()
	assert.ErrorIs(t, err, rpctypes.ErrDuplicateKey)
	_, err = client.Txn(ctx).Then(clientv3.OpPut("x", "1"), clientv3.OpPut("y", "2", clientv3.WithLease(7))).Commit()
	assert.ErrorIs(t, err, rpctypes.ErrLeaseNotFound)
	none, err := client.Get(ctx, "x")
	require.NoError(t, err)
	assert.Empty(t, none.Kvs, "half a transaction")
	_, err = client.Compact(ctx, 5)
	require.NoError(t, err)
	_, err = client.Get(ctx, "q", clientv3.WithRev(4))
	assert.ErrorIs(t, err, rpctypes.ErrCompacted)
	_, err = client.Get(ctx, "q", clientv3.WithRev(99))
	assert.ErrorIs(t, err, rpctypes.ErrFutureRev)
	kept, err := client.Get(ctx, "p/b", clientv3.WithRev(5))
	require.NoError(t, err)
	assert.Len(t, kept.Kvs, 1)
	del, err := client.Delete(ctx, "p/", clientv3.WithPrefix(), clientv3.WithPrevKV())
	require.NoError(t, err)
	assert.Equal(t, int64(2), del.Deleted)
	assert.Len(t, del.PrevKvs, 2)
	_, err = client.Compact(ctx, del.Header.Revision)
	require.NoError(t, err)
	only, err := client.Get(ctx, "", clientv3.WithFromKey(), clientv3.WithCountOnly())
	require.NoError(t, err)
	assert.Equal(t, int64(1), only.Count)
}

// Guards against watches that differ from etcd's: history from a revision on, changes of one revision together whatever
// the pieces, progress, and what is told of a compaction. What the faults do to them is seen by a client that resumes.
func TestWatches(t *testing.T) {
	c, client, _ := start(t, Settings{}, clientv3.Config{})
	m := c.Members[0]
	c.Put("p/a", "1")
	c.Write(map[string]string{"p/a": "2", "p/b": "3", "q": "4"})
	m.Pieces(1)
	w := client.Watch(t.Context(), "p/", clientv3.WithPrefix(), clientv3.WithRev(2), clientv3.WithPrevKV(), clientv3.WithFragment(), clientv3.WithProgressNotify(), clientv3.WithCreatedNotify())
	assert.True(t, next(t, w).Created)
	first := next(t, w)
	assert.Len(t, first.Events, 3, "two revisions that were missed, in pieces")
	assert.Equal(t, "1", string(first.Events[1+slices.Index(said(first)[1:], "PUT p/a=2")].PrevKv.Value))
	require.NoError(t, client.RequestProgress(t.Context()))
	progress := next(t, w)
	assert.True(t, progress.IsProgressNotify())
	assert.Equal(t, int64(3), progress.Header.Revision)
	m.Notice()
	progress = next(t, w)
	assert.True(t, progress.IsProgressNotify())
	c.Put("p/a", "")
	assert.Equal(t, []string{"DELETE p/a="}, said(next(t, w)))
	m.Hold(true)
	c.Put("p/c", "5")
	m.DropStreams()
	m.Cut()
	c.Put("p/d", "6")
	m.Hold(false)
	assert.Equal(t, []string{"PUT p/c=5", "PUT p/d=6"}, gather(t, w, 2))
	m.Repeat(1)
	c.Put("p/e", "7")
	assert.Equal(t, said(next(t, w)), said(next(t, w)))
	m.Swap(1)
	c.Put("p/f", "8")
	c.Put("p/g", "9")
	assert.Equal(t, []string{"PUT p/g=9", "PUT p/f=8"}, gather(t, w, 2))
	m.Ahead(100)
	c.Put("p/h", "10")
	assert.Equal(t, c.Revision()+100, next(t, w).Header.Revision)
	c.Compact()
	lost := next(t, client.Watch(t.Context(), "p/", clientv3.WithPrefix(), clientv3.WithRev(2)))
	assert.ErrorIs(t, lost.Err(), rpctypes.ErrCompacted)
	assert.Equal(t, c.Revision()+1, lost.CompactRevision)
	filtered := client.Watch(t.Context(), "p/", clientv3.WithPrefix(), clientv3.WithFilterPut(), clientv3.WithCreatedNotify())
	assert.True(t, next(t, filtered).Created)
	c.Write(map[string]string{"p/h": "", "p/i": "11"})
	assert.Equal(t, []string{"DELETE p/h="}, said(next(t, filtered)))
	cancelled, stop := context.WithCancel(t.Context())
	w = client.Watch(cancelled, "x", clientv3.WithCreatedNotify())
	assert.True(t, next(t, w).Created)
	stop()
	_, open := <-w
	assert.False(t, open)
}

// Guards against leases that end early, late or not at all, or whose keys go one by one.
func TestLeases(t *testing.T) {
	c, client, stands := start(t, Settings{}, clientv3.Config{})
	lease, err := client.Grant(t.Context(), 10)
	require.NoError(t, err)
	for _, key := range []string{"a", "b"} {
		_, err = client.Put(t.Context(), key, "1", clientv3.WithLease(lease.ID))
		require.NoError(t, err)
	}
	w := client.Watch(t.Context(), "", clientv3.WithPrefix(), clientv3.WithCreatedNotify())
	require.True(t, next(t, w).Created)
	stands.Advance(6000)
	_, err = client.KeepAliveOnce(t.Context(), lease.ID)
	require.NoError(t, err)
	stands.Advance(6000)
	left, err := client.TimeToLive(t.Context(), lease.ID)
	require.NoError(t, err)
	assert.Equal(t, []int64{4, 10}, []int64{left.TTL, left.GrantedTTL})
	stands.Advance(4000)
	assert.Equal(t, []string{"DELETE a=", "DELETE b="}, said(next(t, w)))
	_, err = client.KeepAliveOnce(t.Context(), lease.ID)
	assert.ErrorIs(t, err, rpctypes.ErrLeaseNotFound)
	c.Revoke(c.PutFor(1500, "c", "2"))
	assert.Equal(t, []string{"PUT c=2", "DELETE c="}, gather(t, w, 2))
	c.PutFor(1500, "c", "2")
	stands.Advance(1500)
	assert.Equal(t, []string{"PUT c=2", "DELETE c="}, gather(t, w, 2))
	_, err = client.Revoke(t.Context(), 99)
	assert.ErrorIs(t, err, rpctypes.ErrLeaseNotFound)
}

// Guards against users that are let in or kept out wrongly, over TLS, and against tokens that hold for ever.
func TestUsers(t *testing.T) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	root := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true}
	der, err := x509.CreateCertificate(rand.Reader, root, root, &key.PublicKey, key)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	// A member's address is chosen when it starts: its certificate is for the address that was called.
	certificate := func(hello *tls.ClientHelloInfo) (*tls.Certificate, error) {
		called := hello.Conn.LocalAddr().(*net.TCPAddr).IP
		leaf := &x509.Certificate{SerialNumber: big.NewInt(2), NotAfter: root.NotAfter, IPAddresses: []net.IP{called}}
		der, err := x509.CreateCertificate(rand.Reader, leaf, cert, &key.PublicKey, key)
		return &tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, err
	}
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	c, client, _ := start(t, Settings{TLS: &tls.Config{GetCertificate: certificate}},
		clientv3.Config{Username: "node", Password: "secret", TLS: &tls.Config{RootCAs: pool}})
	for range 2 {
		_, err = client.Put(t.Context(), "a", "1")
		require.NoError(t, err)
		c.ForgetTokens() // the client authenticates again
	}
	_, err = clientv3.New(clientv3.Config{Endpoints: c.Endpoints(), Username: "node", Password: "wrong", DialTimeout: time.Minute,
		TLS: &tls.Config{RootCAs: pool}, Logger: zap.NewNop()})
	assert.ErrorIs(t, err, rpctypes.ErrAuthFailed)
	nobody, err := clientv3.New(clientv3.Config{Endpoints: c.Endpoints(), TLS: &tls.Config{RootCAs: pool}, Logger: zap.NewNop()})
	require.NoError(t, err)
	defer func() { _ = nobody.Close() }()
	_, err = nobody.Get(t.Context(), "a")
	assert.ErrorIs(t, err, rpctypes.ErrUserEmpty)
	refused := next(t, nobody.Watch(t.Context(), "a"))
	assert.ErrorContains(t, refused.Err(), "user name is empty")
}

// Guards against members that show more or less than they have come to, a cluster without a leader that agrees on anything,
// a backup that has more than it had, and servers that leave goroutines behind.
func TestMembers(t *testing.T) {
	defer goleak.VerifyNone(t)
	c, client, _ := start(t, Settings{Members: 2}, clientv3.Config{})
	defer func() { _ = client.Close(); c.Close() }()
	one, err := clientv3.New(clientv3.Config{Endpoints: c.Endpoints()[1:], Logger: zap.NewNop()})
	require.NoError(t, err)
	defer func() { _ = one.Close() }()
	read := func(within time.Duration, options ...clientv3.OpOption) (string, error) {
		ctx, cancel := context.WithTimeout(t.Context(), within)
		defer cancel()
		got, err := one.Get(ctx, "a", options...)
		if err != nil {
			return "", err
		}
		return string(got.Kvs[0].Value), nil
	}
	c.Put("a", "1")
	backup := c.Snapshot()
	c.Members[1].Lag(false)
	c.Put("a", "2")
	_, err = read(50 * time.Millisecond)
	assert.Error(t, err, "it cannot know what is agreed")
	got, err := read(time.Minute, clientv3.WithSerializable())
	require.NoError(t, err)
	assert.Equal(t, "1", got)
	c.Members[1].Lag(true)
	c.Put("a", "3")
	got, err = read(time.Minute)
	require.NoError(t, err)
	assert.Equal(t, "2", got, "it says so all the same")
	c.Members[1].CatchUp()
	c.Leader(false)
	_, err = one.Get(clientv3.WithRequireLeader(t.Context()), "a")
	assert.ErrorIs(t, err, rpctypes.ErrNoLeader)
	c.Leader(true)
	before, err := one.Get(t.Context(), "a")
	require.NoError(t, err)
	assert.Equal(t, uint64(3), before.Header.RaftTerm)
	c.Members[0].Down()
	_, err = client.Put(t.Context(), "a", "4")
	require.NoError(t, err, "there is another member")
	require.NoError(t, c.Members[0].Up())
	c.Restore(backup, true)
	after, err := one.Get(t.Context(), "a")
	require.NoError(t, err)
	assert.Equal(t, "1", string(after.Kvs[0].Value))
	assert.NotEqual(t, before.Header.ClusterId, after.Header.ClusterId)
	assert.Equal(t, []int64{2, 2}, []int64{after.Header.Revision, int64(after.Header.RaftTerm)})
	status, err := one.Status(t.Context(), c.Endpoints()[1])
	require.NoError(t, err)
	assert.Equal(t, uint64(1), status.Leader)
}

// Guards against a member that cannot come back because a connection took its port while it was down: connections leave from 127.0.0.1.
func TestPortOfAMemberThatIsDown(t *testing.T) {
	c, err := New(Settings{Members: 1, Clock: clock.NewSystem()})
	require.NoError(t, err)
	defer c.Close()
	server, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = server.Close() }()
	address, err := net.ResolveTCPAddr("tcp4", c.Members[0].address)
	require.NoError(t, err)
	c.Members[0].Down()
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: address.Port}}
	taker, err := dialer.Dial("tcp4", server.Addr().String())
	if errors.Is(err, syscall.EADDRINUSE) {
		t.Log("another connection of this machine has the port already")
	} else {
		require.NoError(t, err)
		defer func() { _ = taker.Close() }()
	}
	require.NoError(t, c.Members[0].Up())
}
