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

// The histories are the same ones each time, unless -rapid.seed asks for others.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "30")
	os.Exit(m.Run())
}

const (
	grace = 500.0
	// settleTime is how long after the last fault the list is that of the cluster: a watch falls silent (3 s), both endpoints
	// are tried (2 s a call, two calls), the longest pause (1 s), and what the guard holds waits (2 s) and is read anew.
	settleTime = 3*time.Second + 8*time.Second + time.Second + 5*time.Second
)

// step is one of a history.
type step struct {
	what, name string
	member, ms int
}

func draw(t *rapid.T) step {
	return step{rapid.SampledFrom([]string{"put", "put", "drain", "delete", "swap", "wipe", "lease", "compact", "drop", "cut", "down", "up", "lag",
		"catch up", "hold", "go on", "repeat", "reorder", "leader", "no leader", "cancel", "file", "file", "half a file", "old file", "no file",
		"agent away"}).Draw(t, "what"),
		rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}).Draw(t, "name"), rapid.IntRange(0, 1).Draw(t, "member"),
		rapid.SampledFrom([]int{0, 1, 40, 700, 4000}).Draw(t, "ms")}
}

func entry(name, address, status string) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":"z","type":"k","status":%q,"weight":1}`, name, address, status)
}

// fleet is a node's list and its pilot, and what is wrong with what they do.
type fleet struct {
	t      *testing.T
	clock  clock.Clock
	pilot  *dispatch.Dispatcher
	keeper *Keeper
	truth  func() map[string]string // what the cluster has

	mu      sync.Mutex
	hosts   map[string]dispatch.Host
	left    map[string]float64 // when a host was told to depart
	gone    map[string]bool    // addresses that were replaced or left
	faults  []string
	relays  int
	settled int
}

// fault must be called with the lock held.
func (f *fleet) fault(format string, args ...any) {
	f.faults = append(f.faults, fmt.Sprintf(format, args...))
}

// give is between the keeper and the pilot.
func (f *fleet) give(kind dispatch.ListKind, list []dispatch.Host) {
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
		h, there := f.hosts[name]
		if _, told := f.left[name]; !told && (!there || h.Status != dispatch.Ready) {
			f.left[name] = now
		}
		if (!there || h.Address != old.Address) && !strings.Contains(truth["r/"+name], old.Address) {
			f.gone[old.Address] = true
		}
	}
	for name, h := range f.hosts {
		if h.Status == dispatch.Ready {
			delete(f.left, name)
		}
		if f.gone[h.Address] && h.Status == dispatch.Ready && !strings.Contains(truth["r/"+name], h.Address) {
			f.fault("%s is back at %s", name, h.Address)
		}
	}
	one, two := f.hosts["one"], f.hosts["two"]
	if len(f.hosts) == 0 || one.Name != "" && two.Name != "" && one.Status == two.Status {
		f.fault("empty or mixed: %v", f.hosts)
	}
	f.mu.Unlock()
	f.pilot.SetHosts(kind, list)
}

// ask has a request served every few milliseconds, until ctx ends, and looks whom it goes to.
func (f *fleet) ask(ctx context.Context) {
	for ctx.Err() == nil {
		now := f.clock.Now()
		q := f.pilot.Open(dispatch.Request{Tenant: -1, Deadline: now + 900})
		if v := q.Next(); v.Kind == dispatch.Send {
			f.mu.Lock()
			f.relays++
			if at, told := f.left[v.Host]; told && now > at+grace+1 {
				f.fault("a relay to %s, %.0f ms after it was told to depart", v.Host, now-at)
			}
			f.mu.Unlock()
			q.Report(v.AttemptIndex, dispatch.Served, nil)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// watch asks the agent as a node's watch does, but for the sockets.
func (f *fleet) watch(ctx context.Context, server *agent.Server, to Asked, look <-chan struct{}, away *atomic.Bool) {
	index, epoch, known := int64(0), "", false
	for ctx.Err() == nil {
		path, looking := "/discovery/hosts", false
		select {
		case <-look:
			path, looking = path+"?look=1", true
		default:
			if known {
				path += fmt.Sprintf("?index=%d&epoch=%s&wait=1000", index, epoch)
			}
		}
		got := httptest.NewRecorder()
		server.Handler().ServeHTTP(got, httptest.NewRequestWithContext(ctx, "GET", path, nil))
		l, _, err := discovery.Decode(got.Body.Bytes())
		if err == nil && got.Code == 200 && !away.Load() {
			l.Look, l.Whole = looking, l.Whole || !known
			if l.Whole || len(l.Hosts) > 0 {
				err = to.Apply(l)
			} else {
				to.Unchanged(l)
			}
		}
		if known = err == nil && got.Code == 200 && !away.Load(); !known {
			to.CallFailed(f.clock.Now())
			time.Sleep(100 * time.Millisecond)
			continue
		}
		index, epoch = l.Index, l.Origin.Epoch
	}
}

// folder is a file of a list, without a disk.
type folder struct {
	lock  chan struct{} // of one place: who waits for it lets time go by
	shelf *files.Shelf
	feed  Feed
	clock clock.Clock
	text  string // empty = there is none
}

// write replaces the text; the watch then looks at once, and once more when that is wanted.
func (d *folder) write(text string) {
	d.lock <- struct{}{}
	d.text = text
	<-d.lock
	d.read(false)
}

func (d *folder) read(look bool) {
	d.lock <- struct{}{}
	defer func() { <-d.lock }()
	for range 2 {
		parts, err := []files.Part{{Path: "list.json", Text: []byte(d.text)}}, error(nil)
		if d.text == "" {
			parts, err = nil, os.ErrNotExist
		}
		r := d.shelf.Read(d.clock.Now(), parts, err, look)
		look = false
		switch {
		case r.Version != nil:
			if err := d.feed.Take(*r.Version); err != nil {
				d.shelf.Refused(err)
				d.feed.Away(d.clock.Now())
			} else {
				d.shelf.Taken()
			}
		case r.Since > 0:
			d.feed.Away(r.Since)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// Guards, over random histories of keys, files and faults, from etcd to the pilot, against a list that is not the cluster's a
// stated time after the faults end, one that is mixed or empty, a host that comes back at an address that it has left, and a
// relay to one that was told to depart more than 500 ms before.
func TestFromEtcdAndFilesToThePilot(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(draw), 1, 40).Draw(r, "steps")
		f := &fleet{t: t, hosts: map[string]dispatch.Host{}, left: map[string]float64{}, gone: map[string]bool{}}
		synctest.Test(t, func(t *testing.T) { f.play(t, steps) })
		require.Empty(r, f.faults)
		require.NotZero(r, f.relays)
	})
}

// play is one history.
func (f *fleet) play(t *testing.T, steps []step) {
	f.clock = clock.NewSystem()
	discard := slog.New(slog.DiscardHandler)
	var err error
	f.pilot, err = dispatch.New(decide.Settings{Nodes: 1, Zones: []string{"z"}, Kinds: []string{"k"},
		Classes: []decide.Class{{Name: "pay", Effect: decide.Unsafe, Target: 600 * time.Millisecond, Deadline: 2 * time.Second, Value: 1}},
		Limits:  decide.Limits{MaxAttempts: 3}, Rules: decide.Rules{DrainGrace: 500 * time.Millisecond}}, 1, f.clock, discard, nil)
	require.NoError(t, err)
	f.keeper, err = New(Settings{Settings: merge.Settings{Sources: []merge.Source{{Name: "etcd", StaleAfter: 5000, MayCorrect: true}, {Name: "files", StaleAfter: 60e3}},
		Guard: removalguard.Settings{Share: 0.5, Window: 3000, Floor: 1}, RereadDelay: 2000, MaxHosts: 100, Zones: []string{"z"}, Kinds: []string{"k"}},
		Give: f.give}, f.clock, discard)
	require.NoError(t, err)
	c, err := etcdtest.New(etcdtest.Settings{Members: 2, Clock: f.clock, Memory: true})
	require.NoError(t, err)
	defer c.Close()
	f.truth = func() map[string]string { return c.Values("r/") }
	book := agent.NewBook("etcd")
	source := etcd.New(etcd.Settings{Endpoints: c.Endpoints(), Prefix: "r/", MaxHosts: 100, CallTimeout: 1000,
		ProgressInterval: 1000, SilenceTimeout: 3000, CheckInterval: 10e3, FirstPause: 25, LastPause: 1000, Dial: c.Dial}, f.clock, discard, sink{book, f.clock})
	server := &agent.Server{Book: book, Clock: f.clock, Look: source.RequestReread}
	look := make(chan struct{}, 1)
	f.keeper.Asks(0, func() {
		select {
		case look <- struct{}{}:
		default:
		}
	})
	var work sync.WaitGroup
	list := &folder{lock: make(chan struct{}, 1), shelf: files.NewShelf(files.Known{Most: 100}, 50, true), feed: f.keeper.Feed(1), clock: f.clock}
	f.keeper.Asks(1, func() { work.Go(func() { list.read(true) }) })

	turn, away := 0, new(atomic.Bool)
	put := func(name string) string { // each time at another address
		turn++
		return entry(name, fmt.Sprintf("10.0.%d.%d:80", turn/250, turn%250), "Ready")
	}
	c.Write(map[string]string{"r/one": put("one"), "r/a": put("a"), "r/b": put("b"), "r/c": put("c")})
	ctx, cancel := context.WithCancel(t.Context())
	work.Go(func() { source.Run(ctx) })
	work.Go(func() { f.watch(ctx, server, Asked{f.keeper.Feed(0), f.clock.Now()}, look, away) })
	work.Go(func() { f.ask(ctx) })
	defer func() { cancel(); f.keeper.Stop(); work.Wait() }()

	index, old, last := 0, "", ""
	written := func() string { // what the cluster has, as a file
		index++
		text := ""
		for key, value := range c.Values("r/") {
			if strings.HasPrefix(key, "r/") {
				text += "," + value
			}
		}
		return fmt.Sprintf(`{"index":%d,"endpoints":[%s]}`, index, strings.TrimPrefix(text, ","))
	}
	for _, one := range steps {
		m, key := c.Members[one.member], "r/"+one.name
		switch one.what {
		case "put":
			c.Put(key, put(one.name))
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
			c.PutFor(1500, key, put(one.name))
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
			_ = m.Up() // in memory
		case "lag":
			m.Lag(false)
		case "catch up":
			m.CatchUp()
		case "hold", "go on":
			m.Hold(one.what == "hold")
		case "repeat":
			m.Repeat(2)
		case "reorder":
			m.Swap(1)
		case "leader", "no leader":
			c.Leader(one.what == "leader")
		case "cancel":
			m.Cancel("no more")
		case "file":
			old = last
			last = written()
			list.write(last)
		case "half a file":
			text := written()
			list.write(text[:len(text)/2])
		case "old file":
			list.write(old)
		case "no file":
			list.write("")
		case "agent away":
			away.Store(!away.Load())
		}
		f.settle(time.Duration(one.ms) * time.Millisecond)
	}
	for _, m := range c.Members {
		if m.IsDown() {
			_ = m.Up() // in memory
		}
		m.CatchUp()
		m.Hold(false)
		m.Swap(0)
	}
	c.Leader(true)
	away.Store(false)
	f.settle(2 * time.Second) // leases end
	list.write(written())
	f.settle(settleTime)
	want := map[string]string{}
	for key, value := range c.Values("r/") {
		want[strings.TrimPrefix(key, "r/")] = value
	}
	have := map[string]string{}
	for name, h := range f.hosts {
		e := entryformat.Of(h)
		have[name] = entry(name, e.Address, e.Status)
	}
	if !maps.Equal(want, have) {
		f.fault("at the end %v for %v: %+v", have, want, f.keeper.View())
	}
}

// settle lets time go by, and all that it brings.
func (f *fleet) settle(d time.Duration) {
	f.mu.Lock()
	f.settled++ // after what was looked at before
	f.mu.Unlock()
	time.Sleep(d)
	synctest.Wait()
}

// sink is what stands between source and book in the agent's program.
type sink struct {
	book  *agent.Book
	clock clock.Clock
}

func (s sink) Update(epoch string, u etcd.Update) {
	s.book.Take(agent.Change{Whole: u.Whole, Epoch: epoch, Revision: uint64(u.Revision), Hosts: u.Hosts, Confirm: u.Confirm})
}
func (s sink) UpToDate()             { s.book.Alive(s.clock.Now()) }
func (s sink) Unavailable(err error) { s.book.Gone(err.Error()) }
func (s sink) Reread(epoch string, u etcd.Update) {
	s.Update(epoch, u)
	s.book.Looked()
}
