// Package etcdtest is an etcd on loopback for tests and measurements, written on the public gRPC definitions of etcd v3: keys
// with ranges, transactions and history, watches with fragments, progress and cancelling, leases, compaction, users with
// passwords. It keeps everything in memory and decides nothing by vote: the members of a cluster share one store, and one
// that lags shows it as of an older revision.
//
// Faults are written in the script of the test: a member goes down, drops its streams, holds back, repeats or swaps what
// it sends, tells a revision that has not come yet; the cluster compacts, loses its leader, forgets its tokens, is replaced by
// what a backup has.
package etcdtest

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/loopback"
)

// Cluster is members with one store. All of its methods may be called from any goroutine.
type Cluster struct {
	clock  clock.Clock
	tls    *tls.Config
	memory bool

	mu        sync.Mutex
	news      chan struct{} // closed with each change that a watch may have to tell
	store     *Store
	id        uint64
	term      uint64
	leader    bool
	leases    int64
	password  map[string]string // by user; empty = anyone may do anything
	tokens    map[string]string // to users
	lastToken int
	Members   []*Member
}

// Settings say how a cluster is made.
type Settings struct {
	Members int
	Clock   clock.Clock // by which leases end
	TLS     *tls.Config // nil = plain
	Memory  bool        // members are reached by Dial only, not by sockets
}

// New starts a cluster.
func New(set Settings) (*Cluster, error) {
	c := &Cluster{clock: set.Clock, tls: set.TLS, memory: set.Memory, news: make(chan struct{}), store: NewStore(), id: 0xc1, term: 2, leader: true,
		password: map[string]string{}, tokens: map[string]string{}}
	for i := range set.Members {
		m := &Member{cluster: c, id: uint64(i + 1), conns: map[net.Conn]bool{}}
		err := m.takeAddress()
		if err == nil {
			err = m.Up()
		}
		if err != nil {
			c.Close()
			return nil, err
		}
		c.Members = append(c.Members, m)
	}
	return c, nil
}

// Close ends all members.
func (c *Cluster) Close() {
	for _, m := range c.Members {
		m.Down()
	}
}

// Endpoints are the addresses of the members.
func (c *Cluster) Endpoints() (list []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.Members {
		list = append(list, m.address)
	}
	return list
}

// do changes something and lets every watch look again.
func (c *Cluster) do(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
	close(c.news)
	c.news = make(chan struct{})
}

// Put puts a key, as a client would.
func (c *Cluster) Put(key, value string) (rev int64) { return c.Write(map[string]string{key: value}) }

// Write puts keys, and deletes those without a value, at one revision.
func (c *Cluster) Write(keys map[string]string) (rev int64) {
	c.do(func() {
		w := c.store.begin()
		for key, value := range keys {
			if value == "" {
				_, _ = w.delete(&etcdserverpb.DeleteRangeRequest{Key: []byte(key)}) // it has a key
			} else {
				_, _ = w.put(&etcdserverpb.PutRequest{Key: []byte(key), Value: []byte(value)})
			}
		}
		w.end()
		rev = c.store.rev
	})
	return rev
}

// PutFor puts a key for as long as a lease of so many milliseconds, and gives the lease.
func (c *Cluster) PutFor(ms float64, key, value string) (lease int64) {
	c.do(func() {
		lease = c.grant(0, int64(ms/1000))
		c.expire(lease, c.clock.Now()+ms)
		w := c.store.begin()
		_, _ = w.put(&etcdserverpb.PutRequest{Key: []byte(key), Value: []byte(value), Lease: lease}) // there is one
		w.end()
	})
	return lease
}

// Revoke ends a lease.
func (c *Cluster) Revoke(lease int64) {
	c.do(func() {
		if c.store.leases[lease] != nil {
			c.store.drop(lease)
		}
	})
}

// grant begins a lease.
func (c *Cluster) grant(id, ttl int64) int64 {
	if id == 0 {
		c.leases++
		id = 0x1000 + c.leases
	}
	c.store.leases[id] = &lease{ttl: ttl, keys: map[string]bool{}}
	c.expire(id, c.clock.Now()+float64(ttl)*1000)
	return id
}

// expire has a lease end at a time, unless it is kept alive until then.
func (c *Cluster) expire(id int64, end float64) {
	c.store.leases[id].end = end
	c.clock.At(end, func() {
		c.do(func() {
			if l := c.store.leases[id]; l != nil && l.end <= c.clock.Now() {
				c.store.drop(id)
			}
		})
	})
}

// Revision is that of the last change.
func (c *Cluster) Revision() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.store.rev
}

// Values are the keys with a prefix and their values, as they are.
func (c *Cluster) Values(prefix string) map[string]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := map[string]string{}
	got, err := c.store.Range(&etcdserverpb.RangeRequest{Key: []byte(prefix), RangeEnd: PrefixEnd(prefix)}, c.store.rev)
	if err != nil {
		panic(err) // the present revision is never compacted
	}
	for _, kv := range got.Kvs {
		all[string(kv.Key)] = string(kv.Value)
	}
	return all
}

// PrefixEnd is the end of the range of keys with a prefix.
func PrefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}

// Compact forgets the history up to the present revision.
func (c *Cluster) Compact() {
	c.do(func() { _ = c.store.Compact(c.store.rev) }) // nothing new since the last time is no fault
}

// Leader takes the leader away, or gives the cluster a new one.
func (c *Cluster) Leader(there bool) {
	c.do(func() {
		if there && !c.leader {
			c.term++
		}
		c.leader = there
	})
	if !there {
		for _, m := range c.Members {
			m.DropStreams()
		}
	}
}

// Snapshot is what a backup has.
type Snapshot struct {
	store *Store
	id    uint64
}

// Snapshot takes a backup.
func (c *Cluster) Snapshot() Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Snapshot{c.store.At(c.store.rev), c.id}
}

// Restore replaces the cluster by what a backup has: a new cluster with a name of its own, or one that says that it is still
// the old one. All members restart.
func (c *Cluster) Restore(s Snapshot, renamed bool) {
	for _, m := range c.Members {
		m.Down()
	}
	c.do(func() {
		c.store, c.term, c.id = s.store.At(s.store.rev), 2, s.id
		if renamed {
			c.id++
		}
		for _, m := range c.Members {
			m.lag = 0
		}
	})
	for _, m := range c.Members {
		if err := m.Up(); err != nil {
			panic(err) // nothing else listens at its address
		}
	}
}

// Protect has clients need a user's name and password from now on.
func (c *Cluster) Protect(user, password string) {
	c.do(func() { c.password[user] = password })
}

// ForgetTokens has every client authenticate again.
func (c *Cluster) ForgetTokens() { c.do(func() { clear(c.tokens) }) }

// Member is one server. Its faults are of what it shows and sends, not of the store.
type Member struct {
	cluster *Cluster
	id      uint64
	address string

	// Guarded by the cluster's lock.
	server    *grpc.Server
	listener  net.Listener // of server
	pipes     *pipes       // of a cluster in memory
	conns     map[net.Conn]bool
	lag       int64 // shows the store as of this revision; 0 = it keeps up
	stale     bool  // and says so even when asked for what is agreed
	held      bool  // sends nothing on watches
	repeat    int   // of so many next responses, each goes out twice
	swap      int   // so many next pairs go out in the wrong order
	ahead     int64 // is added to the revision that the next response tells
	pieces    int   // events in a response, if the client takes fragments; 0 = all
	drop      chan struct{}
	ranges    int    // how many were asked for
	between   func() // to be run after the next one
	notices   int    // of progress
	cancelled int    // times that all watches were
	reason    string // of the last time
}

// Up starts the member where it was before.
func (m *Member) Up() error {
	m.cluster.mu.Lock()
	l, err := m.listen()
	m.cluster.mu.Unlock()
	if err != nil {
		return fmt.Errorf("member %d: %w", m.id, err)
	}
	var options []grpc.ServerOption
	if m.cluster.tls != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(m.cluster.tls)))
	}
	s := &service{m: m}
	options = append(options, grpc.UnaryInterceptor(s.unary))
	server := grpc.NewServer(options...)
	etcdserverpb.RegisterKVServer(server, kv{s: s})
	etcdserverpb.RegisterWatchServer(server, watch{s: s})
	etcdserverpb.RegisterLeaseServer(server, leases{s: s})
	etcdserverpb.RegisterAuthServer(server, auth{s: s})
	etcdserverpb.RegisterMaintenanceServer(server, maintenance{s: s})
	m.cluster.do(func() {
		m.server, m.listener, m.drop = server, l, make(chan struct{})
	})
	go func() { _ = server.Serve(counted{l, m}) }() // it ends with Stop
	return nil
}

// takeAddress chooses the member's address, which stays its own while it is down.
func (m *Member) takeAddress() (err error) {
	if m.cluster.memory {
		m.address = fmt.Sprintf("member-%d:2379", m.id)
		return nil
	}
	m.address, err = loopback.FreeAddress()
	return err
}

func (m *Member) listen() (net.Listener, error) {
	if !m.cluster.memory {
		return net.Listen("tcp", m.address)
	}
	m.pipes = &pipes{name: m.address, conns: make(chan net.Conn), closed: make(chan struct{})}
	return m.pipes, nil
}

// Dial connects to a member of a cluster that is in memory.
func (c *Cluster) Dial(ctx context.Context, addr string) (net.Conn, error) {
	for _, m := range c.Members {
		c.mu.Lock()
		l, here := m.pipes, m.address == addr && m.server != nil
		c.mu.Unlock()
		if here {
			return l.dial(ctx)
		}
	}
	return nil, fmt.Errorf("%s: %w", addr, errRefused)
}

// Down stops the member: connections break and new ones are refused.
func (m *Member) Down() {
	m.cluster.mu.Lock()
	server, listener := m.server, m.listener
	m.server = nil
	m.cluster.mu.Unlock()
	if server != nil {
		server.Stop()
		_ = listener.Close() // which Stop leaves open if Serve has not begun
	}
}

// IsDown tells whether the member was stopped.
func (m *Member) IsDown() bool {
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	return m.server == nil
}

// DropStreams ends all watches with an error; the connections stay.
func (m *Member) DropStreams() {
	m.cluster.do(func() {
		close(m.drop)
		m.drop = make(chan struct{})
	})
}

// Cut breaks all connections; the member goes on.
func (m *Member) Cut() {
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	for c := range m.conns {
		_ = c.Close() // whoever reads from it notices
	}
}

// Lag has the member show the store as it is now, whatever is changed from here on. With stale it does so even to reads
// that ask for what the cluster agrees on, as a member does that was restored by itself; else these wait.
func (m *Member) Lag(stale bool) {
	m.cluster.do(func() { m.lag, m.stale = m.cluster.store.rev, stale })
}

// CatchUp ends the lag.
func (m *Member) CatchUp() { m.cluster.do(func() { m.lag, m.stale = 0, false }) }

// Hold has nothing go out on watches until it is called with false.
func (m *Member) Hold(on bool) { m.cluster.do(func() { m.held = on }) }

// Repeat sends so many next responses twice.
func (m *Member) Repeat(n int) { m.cluster.do(func() { m.repeat = n }) }

// Swap sends so many next pairs of responses in the wrong order.
func (m *Member) Swap(n int) { m.cluster.do(func() { m.swap = n }) }

// Ahead has the next response tell a revision that has not come yet.
func (m *Member) Ahead(by int64) { m.cluster.do(func() { m.ahead = by }) }

// Cancel ends every watch with a reason, as where a user may not read any more; the streams stay.
func (m *Member) Cancel(reason string) { m.cluster.do(func() { m.cancelled++; m.reason = reason }) }

// Pieces has so many events go into one response, where the client takes fragments.
func (m *Member) Pieces(events int) { m.cluster.do(func() { m.pieces = events }) }

// Notice tells the watches that want it how far they have come, as etcd does from time to time.
func (m *Member) Notice() { m.cluster.do(func() { m.notices++ }) }

// Between has f run once, after the next range was answered; it may change the cluster.
func (m *Member) Between(f func()) { m.cluster.do(func() { m.between = f }) }

// Ranges is how many ranges the member was asked for.
func (m *Member) Ranges() int {
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	return m.ranges
}

// upto is the revision as of which the member shows the store.
func (m *Member) upto() int64 {
	if m.lag > 0 {
		return min(m.lag, m.cluster.store.rev)
	}
	return m.cluster.store.rev
}

func (m *Member) header() *etcdserverpb.ResponseHeader {
	return &etcdserverpb.ResponseHeader{ClusterId: m.cluster.id, MemberId: m.id, Revision: m.upto(), RaftTerm: m.cluster.term}
}

// counted knows the member's connections.
type counted struct {
	net.Listener
	m *Member
}

// Accept takes a connection.
func (l counted) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.m.cluster.mu.Lock()
	defer l.m.cluster.mu.Unlock()
	l.m.conns[c] = true
	return &conn{Conn: c, m: l.m}, nil
}

type conn struct {
	net.Conn
	m *Member
}

// Close forgets the connection.
func (c *conn) Close() error {
	c.m.cluster.mu.Lock()
	delete(c.m.conns, c.Conn)
	c.m.cluster.mu.Unlock()
	return c.Conn.Close()
}
