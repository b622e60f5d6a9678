package endpoints

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"maps"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"linenwheel.dev/linenwheel/decide"
	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/node/dispatch"
	"linenwheel.dev/linenwheel/internal/node/endpoints/agent"
	"linenwheel.dev/linenwheel/internal/node/endpoints/discovery"
	"linenwheel.dev/linenwheel/internal/node/endpoints/entryformat"
	"linenwheel.dev/linenwheel/internal/node/endpoints/etcd"
	"linenwheel.dev/linenwheel/internal/node/endpoints/files"
	"linenwheel.dev/linenwheel/internal/node/endpoints/merge"
	"linenwheel.dev/linenwheel/internal/node/endpoints/removalguard"
	"linenwheel.dev/linenwheel/lab/etcdtest"
)

// TestMain fixes the seed, so that every run draws the same sequences unless -rapid.seed is given.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "30")
	os.Exit(m.Run())
}

const (
	drainGrace = 500.0 // milliseconds
	// settleTime is how long after the last fault the list equals that of the cluster: a watch is found silent (3
	// s), both endpoints are tried (2 s a call, two calls), the longest pause passes (1 s), and what the guard
	// holds waits (2 s) and is read again.
	settleTime = 3*time.Second + 8*time.Second + time.Second + 5*time.Second
)

// step is one step of a random sequence.
type step struct {
	what, name string
	member, ms int
}

func drawStep(t *rapid.T) step {
	return step{rapid.SampledFrom([]string{"put", "put", "drain", "delete", "swap", "wipe", "lease", "compact", "drop", "cut", "down", "up", "lag",
		"catch up", "hold", "go on", "repeat", "reorder", "leader", "no leader", "cancel", "file", "file", "half a file", "old file", "no file",
		"agent away"}).Draw(t, "what"),
		rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}).Draw(t, "name"), rapid.IntRange(0, 1).Draw(t, "member"),
		rapid.SampledFrom([]int{0, 1, 40, 700, 4000}).Draw(t, "ms")}
}

func entry(name, address, status string) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":"z","type":"k","status":%q,"weight":1}`, name, address, status)
}

// testNode is a node's list and dispatcher, and the violations that were found.
type testNode struct {
	t          *testing.T
	clock      clock.Clock
	dispatcher *dispatch.Dispatcher
	manager    *Manager
	truth      func() map[string]string // values that the cluster has

	mu            sync.Mutex
	hosts         map[string]dispatch.Host
	departedAt    map[string]float64 // when a host began to depart
	leftAddresses map[string]bool    // addresses that hosts have left
	violations    []string
	requests      int
	settleCalls   int
}

// violation records a violation. The lock must be held.
func (f *testNode) violation(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

// onUpdate receives the updates of the manager, checks them and passes them to the dispatcher.
func (f *testNode) onUpdate(kind dispatch.ListKind, list []dispatch.Host) {
	f.mu.Lock()
	now, before, truth := f.clock.Now(), maps.Clone(f.hosts), f.truth()
	if kind != dispatch.Delta {
		clear(f.hosts)
	}
	for _, h := range list {
		if f.hosts[h.Name] = h; h.Status == dispatch.Removed {
			delete(f.hosts, h.Name)
		}
	}
	for name, old := range before {
		h, listed := f.hosts[name]
		if _, departed := f.departedAt[name]; !departed && (!listed || h.Status != dispatch.Ready) {
			f.departedAt[name] = now
		}
		if (!listed || h.Address != old.Address) && !strings.Contains(truth["r/"+name], old.Address) {
			f.leftAddresses[old.Address] = true
		}
	}
	for name, h := range f.hosts {
		if h.Status == dispatch.Ready {
			delete(f.departedAt, name)
		}
		if f.leftAddresses[h.Address] && h.Status == dispatch.Ready && !strings.Contains(truth["r/"+name], h.Address) {
			f.violation("%s is ready again at %s, which it had left", name, h.Address)
		}
	}
	one, two := f.hosts["one"], f.hosts["two"]
	if len(f.hosts) == 0 || one.Name != "" && two.Name != "" && one.Status == two.Status {
		f.violation("empty or mixed list: %v", f.hosts)
	}
	f.mu.Unlock()
	f.dispatcher.SetHosts(kind, list)
}

// sendRequests sends a request every 20 ms until ctx ends, and checks which host it goes to.
func (f *testNode) sendRequests(ctx context.Context) {
	for ctx.Err() == nil {
		now := f.clock.Now()
		q := f.dispatcher.Open(dispatch.Request{Tenant: -1, Deadline: now + 900})
		if v := q.Next(); v.Kind == dispatch.Send {
			f.mu.Lock()
			f.requests++
			if at, departed := f.departedAt[v.Host]; departed && now > at+drainGrace+1 {
				f.violation("request to %s, %.0f ms after it began to depart", v.Host, now-at)
			}
			f.mu.Unlock()
			q.Report(v.AttemptIndex, dispatch.Served, nil)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// watch calls the agent like a node's watcher does, but without sockets.
func (f *testNode) watch(ctx context.Context, server *agent.Server, to DiscoveryFeed, reread <-chan struct{}, unavailable *atomic.Bool) {
	index, epoch, known := int64(0), "", false
	for ctx.Err() == nil {
		path, rereading := "/discovery/hosts", false
		select {
		case <-reread:
			path, rereading = path+"?look=1", true
		default:
			if known {
				path += fmt.Sprintf("?index=%d&epoch=%s&wait=1000", index, epoch)
			}
		}
		got := httptest.NewRecorder()
		server.Handler().ServeHTTP(got, httptest.NewRequestWithContext(ctx, "GET", path, nil))
		l, _, err := discovery.Decode(got.Body.Bytes())
		if err == nil && got.Code == 200 && !unavailable.Load() {
			l.Look, l.Whole = rereading, l.Whole || !known
			if l.Whole || len(l.Hosts) > 0 {
				err = to.Apply(l)
			} else {
				to.Unchanged(l)
			}
		}
		if known = err == nil && got.Code == 200 && !unavailable.Load(); !known {
			to.CallFailed(f.clock.Now())
			time.Sleep(100 * time.Millisecond)
			continue
		}
		index, epoch = l.Index, l.Origin.Epoch
	}
}

// memoryFile is the file of a list, in memory.
type memoryFile struct {
	lock      chan struct{} // capacity 1; unlike with a mutex, the fake clock advances while a goroutine waits for it
	validator *files.Validator
	feed      Feed
	clock     clock.Clock
	text      string // empty = the file does not exist
}

// write replaces the text, which is then read at once, and once more after the settle time.
func (d *memoryFile) write(text string) {
	d.lock <- struct{}{}
	d.text = text
	<-d.lock
	d.read(false)
}

func (d *memoryFile) read(reread bool) {
	d.lock <- struct{}{}
	defer func() { <-d.lock }()
	for range 2 {
		parts, err := []files.Part{{Path: "list.json", Text: []byte(d.text)}}, error(nil)
		if d.text == "" {
			parts, err = nil, os.ErrNotExist
		}
		r := d.validator.Check(d.clock.Now(), parts, err, reread)
		reread = false
		switch {
		case r.Version != nil:
			if err := d.feed.Apply(*r.Version); err != nil {
				d.validator.Rejected(err)
				d.feed.Unreachable(d.clock.Now())
			} else {
				d.validator.Accepted()
			}
		case r.FailingSince > 0:
			d.feed.Unreachable(r.FailingSince)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// Guards, over random sequences of keys, files and faults, from etcd to the dispatcher, against a list that
// differs from the cluster's a stated time after the faults end, a mixed or empty list, a host that becomes ready
// at an address that it has left, and a request to a host that began to depart more than 500 ms before.
func TestEtcdAndFilesToDispatcher(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 40).Draw(r, "steps")
		f := &testNode{t: t, hosts: map[string]dispatch.Host{}, departedAt: map[string]float64{}, leftAddresses: map[string]bool{}}
		synctest.Test(t, func(t *testing.T) { f.run(t, steps) })
		require.Empty(r, f.violations)
		require.NotZero(r, f.requests)
	})
}

// run executes one sequence of steps.
func (f *testNode) run(t *testing.T, steps []step) {
	f.clock = clock.NewSystem()
	discard := slog.New(slog.DiscardHandler)
	var err error
	f.dispatcher, err = dispatch.New(decide.Settings{Nodes: 1, Zones: []string{"z"}, Kinds: []string{"k"},
		Classes: []decide.Class{{Name: "pay", Effect: decide.Unsafe, Target: 600 * time.Millisecond, Deadline: 2 * time.Second, Value: 1}},
		Limits:  decide.Limits{MaxAttempts: 3}, Rules: decide.Rules{DrainGrace: 500 * time.Millisecond}}, 1, f.clock, discard, nil)
	require.NoError(t, err)
	f.manager, err = New(Settings{Settings: merge.Settings{Sources: []merge.Source{{Name: "etcd", StaleAfter: 5000, MayCorrect: true}, {Name: "files", StaleAfter: 60e3}},
		Guard: removalguard.Settings{Share: 0.5, Window: 3000, Floor: 1}, RereadDelay: 2000, MaxHosts: 100, Zones: []string{"z"}, Kinds: []string{"k"}},
		OnUpdate: f.onUpdate}, f.clock, discard)
	require.NoError(t, err)
	c, err := etcdtest.New(etcdtest.Settings{Members: 2, Clock: f.clock, Memory: true})
	require.NoError(t, err)
	defer c.Close()
	f.truth = func() map[string]string { return c.Values("r/") }
	store := agent.NewStore("etcd")
	source := etcd.New(etcd.Settings{Endpoints: c.Endpoints(), Prefix: "r/", MaxHosts: 100, CallTimeout: 1000, ProgressInterval: 1000,
		SilenceTimeout: 3000, CheckInterval: 10e3, FirstPause: 25, LastPause: 1000, Dial: c.Dial}, f.clock, discard, sink{store, f.clock})
	server := &agent.Server{Store: store, Clock: f.clock, RequestReread: source.RequestReread}
	reread := make(chan struct{}, 1)
	f.manager.SetReread(0, func() {
		select {
		case reread <- struct{}{}:
		default:
		}
	})
	var work sync.WaitGroup
	list := &memoryFile{lock: make(chan struct{}, 1), validator: files.NewValidator(files.Constraints{MaxHosts: 100}, 50, true), feed: f.manager.Feed(1), clock: f.clock}
	f.manager.SetReread(1, func() { work.Go(func() { list.read(true) }) })

	turn, unavailable := 0, new(atomic.Bool)
	put := func(name string) string { // uses a new address each time
		turn++
		return entry(name, fmt.Sprintf("10.0.%d.%d:80", turn/250, turn%250), "Ready")
	}
	c.Write(map[string]string{"r/one": put("one"), "r/a": put("a"), "r/b": put("b"), "r/c": put("c")})
	ctx, cancel := context.WithCancel(t.Context())
	work.Go(func() { source.Run(ctx) })
	work.Go(func() { f.watch(ctx, server, DiscoveryFeed{f.manager.Feed(0), f.clock.Now()}, reread, unavailable) })
	work.Go(func() { f.sendRequests(ctx) })
	defer func() { cancel(); f.manager.Stop(); work.Wait() }()

	index, old, last := 0, "", ""
	clusterAsFile := func() string { // returns the values of the cluster in the format of a file
		index++
		text := ""
		for key, value := range c.Values("r/") {
			if strings.HasPrefix(key, "r/") {
				text += "," + value
			}
		}
		return fmt.Sprintf(`{"index":%d,"endpoints":[%s]}`, index, strings.TrimPrefix(text, ","))
	}
	for _, current := range steps {
		m, key := c.Members[current.member], "r/"+current.name
		switch current.what {
		case "put":
			c.Put(key, put(current.name))
		case "drain":
			if value := c.Values("r/")[key]; value != "" {
				c.Put(key, strings.Replace(value, "Ready", "Terminating", 1))
			}
		case "delete":
			c.Put(key, "")
		case "swap":
			from, to := "one", "two"
			if c.Values("r/")["r/two"] != "" {
				from, to = to, from
			}
			c.Write(map[string]string{"r/" + from: "", "r/" + to: put(to)})
		case "wipe":
			gone := map[string]string{}
			for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
				gone["r/"+name] = ""
			}
			c.Write(gone)
		case "lease":
			c.PutFor(1500, key, put(current.name))
		case "compact":
			c.Compact()
		case "drop":
			m.DropStreams()
		case "cut":
			m.Cut()
		case "down":
			m.Down()
		case "up":
			m.Down()
			_ = m.Up() // cannot fail: the member is in memory
		case "lag":
			m.Lag(false)
		case "catch up":
			m.CatchUp()
		case "hold", "go on":
			m.Hold(current.what == "hold")
		case "repeat":
			m.Repeat(2)
		case "reorder":
			m.Swap(1)
		case "leader", "no leader":
			c.Leader(current.what == "leader")
		case "cancel":
			m.Cancel("no more")
		case "file":
			old = last
			last = clusterAsFile()
			list.write(last)
		case "half a file":
			text := clusterAsFile()
			list.write(text[:len(text)/2])
		case "old file":
			list.write(old)
		case "no file":
			list.write("")
		case "agent away":
			unavailable.Store(!unavailable.Load())
		}
		f.settle(time.Duration(current.ms) * time.Millisecond)
	}
	for _, m := range c.Members {
		if m.IsDown() {
			_ = m.Up() // cannot fail: the member is in memory
		}
		m.CatchUp()
		m.Hold(false)
		m.Swap(0)
	}
	c.Leader(true)
	unavailable.Store(false)
	f.settle(2 * time.Second) // leases expire
	list.write(clusterAsFile())
	f.settle(settleTime)
	want := map[string]string{}
	for key, value := range c.Values("r/") {
		want[strings.TrimPrefix(key, "r/")] = value
	}
	have := map[string]string{}
	for name, h := range f.hosts {
		e := entryformat.FromHost(h)
		have[name] = entry(name, e.Address, e.Status)
	}
	if !maps.Equal(want, have) {
		f.violation("at the end: have %v, want %v: %+v", have, want, f.manager.View())
	}
}

// settle lets time pass and waits until all goroutines are idle.
func (f *testNode) settle(d time.Duration) {
	f.mu.Lock()
	f.settleCalls++ // under the lock: orders this call after earlier accesses
	f.mu.Unlock()
	time.Sleep(d)
	synctest.Wait()
}

// sink connects the etcd source and the store, as in the agent's program.
type sink struct {
	store *agent.Store
	clock clock.Clock
}

func (s sink) Update(epoch string, u etcd.Update) {
	s.store.Apply(agent.Change{Whole: u.Whole, Epoch: epoch, Revision: uint64(u.Revision), Hosts: u.Hosts, Confirm: u.Confirm})
}
func (s sink) UpToDate()             { s.store.MarkAvailable(s.clock.Now()) }
func (s sink) Unavailable(err error) { s.store.MarkUnavailable(err.Error()) }
func (s sink) Reread(epoch string, u etcd.Update) {
	s.Update(epoch, u)
	s.store.MarkReread()
}
