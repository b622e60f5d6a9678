package etcd

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"maps"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"pgregory.net/rapid"

	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/node/dispatch"
	"linenwheel.dev/linenwheel/lab/etcdtest"
)

// The random histories are the same in each run, unless -rapid.seed asks for others.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "40")
	os.Exit(m.Run())
}

func entry(name, address string) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":"z","type":"k","status":"Ready","weight":1}`, name, address)
}

// recordingSink records what a sink receives.
type recordingSink struct {
	mu          sync.Mutex
	faults      []string
	hosts       map[string]string // addresses by name
	epoch       string
	rev         int64
	available   bool
	rereads     int
	upToDate    int
	settled     int
	fullLists   int
	unusable    int
	messages    []string
	afterUpdate func()
}

func (s *recordingSink) Update(epoch string, u Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if epoch == s.epoch && u.Revision < s.rev {
		s.faults = append(s.faults, "a revision went back")
	}
	s.epoch, s.rev = epoch, u.Revision
	if u.Whole {
		clear(s.hosts)
		s.fullLists++
	}
	for _, h := range u.Hosts {
		if s.hosts[h.Name] = h.Address; h.Status == dispatch.Removed {
			delete(s.hosts, h.Name)
		}
	}
	s.unusable += len(u.Unusable)
	if u.Confirm > 0 {
		s.messages = append(s.messages, fmt.Sprint("confirmed ", u.Confirm))
	}
	if s.afterUpdate != nil {
		s.afterUpdate()
	}
}
func (s *recordingSink) UpToDate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.available = true
	s.upToDate++
}
func (s *recordingSink) Unavailable(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.available = false
	s.messages = append(s.messages, err.Error())
}
func (s *recordingSink) Reread(epoch string, u Update) {
	s.Update(epoch, u)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rereads++
}

// settle lets time pass, and everything that happens in it.
func (s *recordingSink) settle(d time.Duration) {
	s.mu.Lock()
	s.settled++ // orders the sink's writes after the reads of the test
	s.mu.Unlock()
	time.Sleep(d)
	synctest.Wait()
}

// runSource runs a source with a cluster in memory, in a synctest bubble whose time stands still while anything is
// running.
func runSource(t *testing.T, members int, sink *recordingSink, f func(c *etcdtest.Cluster, src *Source, sink *recordingSink, set Settings)) {
	runSourceFrom(t, members, sink, func(*etcdtest.Cluster) {}, f)
}

// runSourceFrom is runSource with a cluster that is prepared before the source starts, so that its first list has
// the keys.
func runSourceFrom(t *testing.T, members int, sink *recordingSink, prepare func(*etcdtest.Cluster),
	f func(c *etcdtest.Cluster, src *Source, sink *recordingSink, set Settings)) {
	synctest.Test(t, func(t *testing.T) {
		clk := clock.NewSystem()
		c, err := etcdtest.New(etcdtest.Settings{Members: members, Clock: clk, Memory: true})
		require.NoError(t, err)
		defer c.Close()
		prepare(c)
		set := Settings{Endpoints: c.Endpoints(), Prefix: "r/", MaxHosts: 100, CallTimeout: 1000, ProgressInterval: 1000, SilenceTimeout: 3000, CheckInterval: 10e3,
			FirstPause: 25, LastPause: 1000, Dial: c.Dial}
		sink.hosts = map[string]string{}
		src := New(set, clk, slog.New(slog.DiscardHandler), sink)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { src.Run(ctx); close(ended) }()
		defer func() { cancel(); <-ended }()
		f(c, src, sink, set)
	})
}

func clusterHosts(c *etcdtest.Cluster) map[string]string {
	all := map[string]string{}
	for key, value := range c.Values("r/") {
		var name, address string
		_, _ = fmt.Sscanf(value, `{"name":%q,"address":%q`, &name, &address)
		if key == "r/"+name {
			all[name] = address
		}
	}
	return all
}

// settleTime is how long after the last fault the list must equal the cluster's, whatever happened before: the
// silence of a watch is noticed, each endpoint is tried once, and the longest pause passes.
const settleTime = 3*time.Second + 2*2*time.Second + time.Second

// step is one step of a history.
type step struct {
	what, name string
	member, ms int
}

func draw(t *rapid.T) step {
	return step{rapid.SampledFrom([]string{"put", "put", "delete", "swap", "lease", "other", "compact", "drop", "cut", "down", "up", "lag",
		"stale", "catch up", "hold", "go on", "repeat", "reorder", "ahead", "leader", "no leader", "tokens", "notice", "cancel"}).Draw(t, "what"),
		rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name"), rapid.IntRange(0, 1).Draw(t, "member"),
		rapid.SampledFrom([]int{0, 1, 40, 700, 4000}).Draw(t, "ms")}
}

// Guards, over random histories of changes and faults, against a list that does not equal the cluster's soon after
// the faults end, a revision that goes back, a change that is seen in part, and a host that comes back although it
// was deleted. Each history runs twice: with a source that finds the first host in its first list, and with one
// whose first list is empty and that gets the host from its watch.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(draw), 1, 30).Draw(r, "steps")
		for _, listsNothing := range []bool{false, true} {
			sink := &recordingSink{}
			runHistory(t, sink, steps, listsNothing)
			require.Empty(r, sink.faults, "the first list is empty: %v", listsNothing)
		}
	})
}

// runHistory runs the steps of a history. Violations are recorded in the sink's faults.
func runHistory(t *testing.T, sink *recordingSink, steps []step, listsNothing bool) {
	// A watch that reorders changes may report later hosts before the first one, if that was not in the list.
	mayMissFirst := listsNothing && slices.ContainsFunc(steps, func(s step) bool { return s.what == "reorder" })
	var have []string
	left := map[string]bool{}
	sink.afterUpdate = func() {
		one, two := sink.hosts["one"] != "", sink.hosts["two"] != ""
		mayMissFirst = mayMissFirst && !one && !two
		if len(sink.hosts) > 0 && one == two && !mayMissFirst {
			sink.faults = append(sink.faults, fmt.Sprint("change seen in part: ", sink.hosts))
		}
		now := slices.Collect(maps.Values(sink.hosts))
		for _, address := range have {
			left[address] = !slices.Contains(now, address)
		}
		for _, address := range now {
			if left[address] {
				sink.faults = append(sink.faults, "removed host came back: "+address)
			}
		}
		have = now
	}
	turn := 0
	put := func(name string) string { // at another address each time
		turn++
		return entry(name, fmt.Sprintf("10.0.%d.%d:80", turn/250, turn%250))
	}
	begin := func(c *etcdtest.Cluster) {
		c.Write(map[string]string{"r/one": put("one"), "other": "x"})
		c.Members[0].Pieces(1)
	}
	prepare := begin
	if listsNothing {
		prepare = func(*etcdtest.Cluster) {}
	}
	runSourceFrom(t, 2, sink, prepare, func(c *etcdtest.Cluster, _ *Source, sink *recordingSink, _ Settings) {
		if listsNothing {
			sink.settle(0)
			begin(c)
		}
		for _, one := range steps {
			m, name := c.Members[one.member], one.name
			switch what := one.what; what {
			case "put":
				c.Put("r/"+name, put(name))
			case "delete":
				c.Put("r/"+name, "")
			case "swap":
				from, to := "one", "two"
				if clusterHosts(c)["two"] != "" {
					from, to = to, from
				}
				c.Write(map[string]string{"r/" + from: "", "r/" + to: put(to)})
			case "lease":
				c.PutFor(1500, "r/"+name, put(name))
			case "other":
				c.Put("other", "y")
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
				_ = m.Up() // it cannot fail in memory
			case "lag", "stale":
				m.Lag(what == "stale")
			case "catch up":
				m.CatchUp()
			case "hold", "go on":
				m.Hold(what == "hold")
			case "repeat":
				m.Repeat(2)
			case "reorder":
				m.Swap(1)
			case "ahead":
				m.Ahead(50)
			case "leader", "no leader":
				c.Leader(what == "leader")
			case "tokens":
				c.ForgetTokens()
			case "notice":
				m.Notice()
			case "cancel":
				m.Cancel("no more")
			}
			sink.settle(time.Duration(one.ms) * time.Millisecond)
		}
		for _, m := range c.Members {
			if m.IsDown() {
				_ = m.Up() // it cannot fail in memory
			}
			m.CatchUp()
			m.Hold(false)
			m.Swap(0)
			m.Ahead(0)
		}
		c.Leader(true)
		sink.settle(2 * time.Second) // leases expire
		c.Put("r/last", entry("last", "10.9.9.9:80"))
		sink.settle(settleTime)
		if want := clusterHosts(c); !sink.available || !maps.Equal(want, sink.hosts) {
			sink.faults = append(sink.faults, fmt.Sprint("at the end: ", sink.hosts, " for ", want, sink.available, sink.messages))
		}
	})
}

// Guards against a source that stays without the first host when its watch reports a later change first and the
// host was not in the list: the late change shows that one was missed, and the list is read again.
func TestLateFirstChangeTriggersList(t *testing.T) {
	runSource(t, 1, &recordingSink{}, func(c *etcdtest.Cluster, _ *Source, sink *recordingSink, _ Settings) {
		sink.settle(0)
		c.Members[0].Swap(1)
		c.Put("r/one", entry("one", "10.0.0.1:80"))
		sink.settle(0)
		assert.Empty(t, sink.hosts, "the change is held back until the next one")
		c.Put("r/last", entry("last", "10.0.0.2:80"))
		sink.settle(settleTime)
		assert.Equal(t, clusterHosts(c), sink.hosts)
		assert.Equal(t, 2, sink.fullLists, "listed again")
		assert.Contains(t, fmt.Sprint(sink.messages), ErrMissedChange.Error())
		assert.True(t, sink.available)
	})
}

// Guards against a list that is read again without need, a compaction, a removal during an interruption, a quiet
// watch that is taken for broken or a broken one that goes unnoticed, a call without a timeout, and a re-read
// that does not read.
func TestResume(t *testing.T) {
	runSource(t, 2, &recordingSink{}, func(c *etcdtest.Cluster, src *Source, sink *recordingSink, _ Settings) {
		settle := sink.settle
		for i := range 5000 {
			c.Put(fmt.Sprintf("q/%d", i), "unrelated")
		}
		for _, name := range []string{"a", "b"} {
			c.Put("r/"+name, entry(name, "10.0.0.1:80"))
		}
		settle(time.Second)
		assert.Equal(t, 1, sink.fullLists)
		c.Members[0].Down()
		c.Put("r/a", "")
		settle(0)
		require.NoError(t, c.Members[0].Up())
		assert.Equal(t, clusterHosts(c), sink.hosts)
		assert.Equal(t, 1, sink.fullLists, "resumed")
		c.Members[1].Hold(true) // the endpoint that is tried next
		c.Put("r/b", "")
		c.Compact()
		c.Members[1].DropStreams()
		c.Members[1].Hold(false)
		settle(time.Second)
		assert.Equal(t, map[string]string{}, sink.hosts, "removed during the interruption")
		assert.Equal(t, 2, sink.fullLists, "listed again")
		c.Members[0].Hold(true)
		c.Members[1].Hold(true)
		c.Put("r/b", entry("b", "10.0.0.1:80"))
		settle(0)
		c.Compact()
		c.Members[0].Hold(false)
		c.Members[1].Hold(false)
		settle(time.Second)
		assert.Equal(t, clusterHosts(c), sink.hosts)
		assert.Equal(t, []string{"the history since then was compacted: up to 5006"}, sink.messages[len(sink.messages)-1:])
		for _, m := range c.Members {
			m.Cancel("no more")
		}
		c.Put("r/b", "")
		settle(time.Second)
		assert.Equal(t, clusterHosts(c), sink.hosts)
		before := sink.upToDate
		settle(time.Minute)
		assert.True(t, sink.available, "quiet")
		assert.Greater(t, sink.upToDate, before+58)
		rev := src.tracker.Revision()
		c.Put("q/0", "still unrelated")
		settle(2 * time.Second)
		assert.Equal(t, rev+1, src.tracker.Revision(), "the resume point follows; otherwise the next compaction would require a list")
		for _, m := range c.Members {
			m.Hold(true)
		}
		c.Leader(false)
		settle(5 * time.Second)
		assert.False(t, sink.available)
		assert.Contains(t, fmt.Sprint(sink.messages), "no leader")
		c.Leader(true)
		settle(5 * time.Second)
		assert.Contains(t, fmt.Sprint(sink.messages), errSilentWatch.Error(), "held back by both")
		for _, m := range c.Members {
			m.Hold(false)
			m.Lag(false)
		}
		c.Put("r/c", entry("c", "10.0.0.1:80"))
		settle(15 * time.Second)
		assert.Contains(t, fmt.Sprint(sink.messages), errTimeout.Error(), "waiting for a quorum read")
		for _, m := range c.Members {
			m.CatchUp()
		}
		settle(5 * time.Second)
		assert.Equal(t, clusterHosts(c), sink.hosts)
		ranges := c.Members[0].Ranges() + c.Members[1].Ranges()
		c.Put("q/1", "elsewhere")
		settle(0)
		c.Compact()
		src.RequestReread()
		settle(time.Millisecond)
		assert.Zero(t, sink.rereads, "the last revision seen was compacted")
		assert.LessOrEqual(t, c.Members[0].Ranges()+c.Members[1].Ranges(), ranges+2, "no busy loop")
		settle(2 * time.Second)
		assert.Equal(t, 1, sink.rereads, sink.messages[len(sink.messages)-3:])
		ranges = c.Members[0].Ranges() + c.Members[1].Ranges() - 1
		assert.Equal(t, ranges+1, c.Members[0].Ranges()+c.Members[1].Ranges(), "it was read")
		c.Members[0].DropStreams()
		c.Members[1].DropStreams()
		src.RequestReread()
		settle(2 * time.Second)
		assert.Equal(t, 2, sink.rereads, "although the stream had broken")
		ranges = c.Members[0].Ranges() + c.Members[1].Ranges() - 1
		settle(25 * time.Second)
		assert.InDelta(t, ranges+3, c.Members[0].Ranges()+c.Members[1].Ranges(), 1, "checked every ten seconds")
	})
}

// Guards against accepting another history: a backup with fewer revisions, one that has grown beyond what was
// seen, one with an id of its own, one member that was restored alone. None of it is accepted until the operator
// names it.
func TestForeignHistories(t *testing.T) {
	for _, grown := range []int{0, 1, 9} {
		for _, renamed := range []bool{false, true} {
			runSource(t, 1, &recordingSink{}, func(c *etcdtest.Cluster, src *Source, sink *recordingSink, set Settings) {
				settle := func() { sink.settle(5 * time.Second) }
				c.Put("r/a", entry("a", "10.0.0.1:80"))
				backup := c.Snapshot()
				for i := range 5 {
					c.Put("r/a", entry("a", fmt.Sprintf("10.0.0.%d:80", i+2)))
				}
				settle()
				c.Leader(false)
				c.Leader(true) // one term more than the restored cluster will have
				settle()
				want := maps.Clone(sink.hosts)
				c.Restore(backup, renamed)
				for i := range grown {
					c.Put("r/b", entry("b", fmt.Sprintf("10.0.1.%d:80", i)))
				}
				settle()
				assert.Equal(t, want, sink.hosts)
				assert.False(t, sink.available)
				set.History = "c1/2"
				if renamed {
					set.History = "c2"
				}
				src.SetSettings(set)
				settle()
				assert.Equal(t, clusterHosts(c), sink.hosts)
				assert.Equal(t, set.History, sink.epoch)
			})
		}
	}
	runSource(t, 2, &recordingSink{}, func(c *etcdtest.Cluster, _ *Source, sink *recordingSink, _ Settings) {
		c.Put("r/a", entry("a", "10.0.0.1:80"))
		sink.settle(time.Second)
		c.Members[1].Lag(true)
		c.Put("r/a", "")
		sink.settle(time.Second)
		c.Members[0].Down()
		sink.settle(10 * time.Second)
		assert.Empty(t, sink.hosts, "only the lagging member is left")
		assert.False(t, sink.available)
		require.NoError(t, c.Members[0].Up())
		sink.settle(5 * time.Second)
		assert.True(t, sink.available)
	})
	// An unchanged term hides nothing either: keys from before the last check cannot have changed.
	tr := NewTracker("r/", 9, 0)
	head := func(rev int64) *etcdserverpb.ResponseHeader {
		return &etcdserverpb.ResponseHeader{ClusterId: 1, Revision: rev, RaftTerm: 2}
	}
	kv := func(name string, mod int64) *mvccpb.KeyValue {
		return &mvccpb.KeyValue{Key: []byte("r/" + name), Value: []byte(entry(name, "10.0.0.1:80")), ModRevision: mod}
	}
	_, err := tr.ApplyList(head(9), 9, []*mvccpb.KeyValue{kv("a", 8)})
	require.NoError(t, err)
	_, err = tr.ApplyList(head(20), 20, []*mvccpb.KeyValue{kv("a", 7)})
	assert.ErrorIs(t, err, ErrForeignHistory)
	_, err = tr.ApplyList(&etcdserverpb.ResponseHeader{ClusterId: 2, Revision: 20, RaftTerm: 9}, 20, nil)
	assert.ErrorIs(t, err, ErrForeignHistory)
	_, err = tr.ApplyList(&etcdserverpb.ResponseHeader{ClusterId: 1, Revision: 20, RaftTerm: 1}, 20, nil)
	assert.ErrorIs(t, err, ErrBehind)
	check := tr.BeginCheck()
	assert.ErrorIs(t, tr.FinishCheck(check, head(20), []*mvccpb.KeyValue{kv("a", 8), kv("b", 3)}), ErrForeignHistory)
	assert.ErrorIs(t, tr.FinishCheck(check, head(20), nil), ErrMissedChange)
	assert.ErrorIs(t, tr.FinishCheck(check, head(8), []*mvccpb.KeyValue{kv("a", 8)}), ErrBehind)
	assert.NoError(t, tr.FinishCheck(check, head(20), []*mvccpb.KeyValue{kv("a", 8)}))
	for _, bad := range []*mvccpb.Event{{Kv: kv("b", 21)}, {Kv: &mvccpb.KeyValue{Key: []byte("q"), ModRevision: 10}}, {}} {
		_, err = tr.ApplyEvents(head(20), []*mvccpb.Event{bad})
		assert.ErrorIs(t, err, ErrProtocol)
	}
	_, err = tr.ApplyEvents(head(20), []*mvccpb.Event{{Kv: kv("b", 11)}, {Kv: kv("c", 10)}})
	assert.ErrorIs(t, err, ErrProtocol)
	assert.Equal(t, int64(9), tr.Revision())
	// An event that comes twice is no change, one that comes late was missed.
	tell := func(rev int64, events ...*mvccpb.Event) error {
		_, err := tr.ApplyEvents(head(rev), events)
		return err
	}
	gone := func(name string, mod int64) *mvccpb.Event {
		return &mvccpb.Event{Type: mvccpb.Event_DELETE, Kv: &mvccpb.KeyValue{Key: []byte("r/" + name), ModRevision: mod}}
	}
	require.NoError(t, tell(11, &mvccpb.Event{Kv: kv("b", 11)}))
	require.NoError(t, tell(13, gone("a", 12), &mvccpb.Event{Kv: kv("c", 13)}))
	require.NoError(t, tell(11, &mvccpb.Event{Kv: kv("b", 11)}))
	assert.Equal(t, int64(13), tr.Revision())
	require.NoError(t, tell(13, gone("a", 12), gone("c", 12), &mvccpb.Event{Kv: kv("c", 13)}))
	assert.ErrorIs(t, tell(13, &mvccpb.Event{Kv: kv("b", 12)}), ErrMissedChange)
	assert.ErrorIs(t, tell(13, &mvccpb.Event{Kv: kv("d", 12)}), ErrMissedChange)
	assert.ErrorIs(t, tell(13, gone("b", 12)), ErrMissedChange)
	require.NoError(t, tell(13, &mvccpb.Event{Kv: kv("a", 8)}), "a change from before the list")
	_, err = tr.ApplyList(head(20), 20, []*mvccpb.KeyValue{kv("b", 11), kv("d", 10)})
	require.NoError(t, err, "a change between the list and now may have been missed")
	require.NoError(t, tell(21, &mvccpb.Event{Kv: kv("e", 21)}))
	assert.NoError(t, tr.FinishCheck(tr.BeginCheck(), head(21), []*mvccpb.KeyValue{kv("b", 11), kv("d", 10), kv("e", 21)}))
	_, err = tr.ApplyList(head(22), 22, []*mvccpb.KeyValue{kv("b", 11), kv("f", 21)})
	assert.ErrorIs(t, err, ErrForeignHistory, "the check has proved it")
}

// Guards against a list that ends with the first page, or that mixes several revisions.
func TestManyKeys(t *testing.T) {
	runSource(t, 1, &recordingSink{}, func(c *etcdtest.Cluster, src *Source, sink *recordingSink, set Settings) {
		all := map[string]string{}
		for i := range 2 * pageSize {
			all[fmt.Sprintf("r/%04d", i)] = entry(fmt.Sprintf("%04d", i), "10.0.0.1:80")
		}
		between := fmt.Sprintf("%04d!", pageSize-1) // sorts right after the first page
		all["r/"+between] = entry(between, "10.0.0.1:80")
		c.Write(all)
		c.Members[0].Between(func() {
			c.Write(map[string]string{"r/0000": "", "r/9999": entry("9999", "10.0.0.1:80")})
			sink.afterUpdate = func() {
				if sink.hosts["9999"] != "" && sink.hosts["0000"] != "" {
					sink.faults = append(sink.faults, "mixes several revisions")
				}
			}
		})
		set.MaxHosts = 5000
		src.SetSettings(set)
		sink.settle(3 * time.Second)
		assert.Len(t, sink.hosts, 2*pageSize+1)
		assert.True(t, sink.available)
		assert.Empty(t, sink.faults)
	})
}

// Guards against an unusable value that removes its host or others, a key that is taken for another host, a
// confirmation that is lost or delivered twice, a fleet over the limit, and a token that is kept after it has
// expired or requested without end.
func TestValuesAndUsers(t *testing.T) {
	runSource(t, 1, &recordingSink{}, func(c *etcdtest.Cluster, src *Source, sink *recordingSink, set Settings) {
		settle := func() { sink.settle(3 * time.Second) }
		c.Write(map[string]string{"r/a": entry("a", "10.0.0.1:80"), "r/b": entry("b", "10.0.0.2:80"), "r/c": "{", "r/d": entry("x", "10.0.0.4:80")})
		settle()
		want := map[string]string{"a": "10.0.0.1:80", "b": "10.0.0.2:80"}
		assert.Equal(t, want, sink.hosts)
		assert.Equal(t, 2, sink.unusable)
		c.Write(map[string]string{"r/a": "{", "r/b": entry("b", "here"), "r/@confirm": "12"})
		settle()
		assert.Equal(t, want, sink.hosts)
		assert.Equal(t, 4, sink.unusable)
		c.Compact()
		c.Members[0].DropStreams()
		c.Put("r/a", "")
		settle()
		assert.Equal(t, map[string]string{"b": "10.0.0.2:80"}, sink.hosts)
		c.Protect("node", "secret")
		c.Members[0].DropStreams()
		settle()
		assert.False(t, sink.available)
		assert.Contains(t, sink.messages[len(sink.messages)-1], "user name is empty")
		set.User, set.Password, set.MaxHosts = "node", "secret", 3
		src.SetSettings(set)
		settle()
		assert.True(t, sink.available)
		words := len(sink.messages)
		for range 2 {
			c.ForgetTokens()
			sink.settle(12 * time.Second) // until the next check
		}
		assert.True(t, sink.available)
		assert.Equal(t, words, len(sink.messages), "a token that has run out costs nothing")
		c.Write(map[string]string{"r/e": entry("e", "10.0.0.5:80"), "r/f": entry("f", "10.0.0.6:80")})
		settle()
		assert.False(t, sink.available)
		assert.Contains(t, sink.messages[len(sink.messages)-1], "too many keys")
		assert.Equal(t, "confirmed 12", sink.messages[0])
		c.Write(map[string]string{"r/e": "", "r/c": ""})
		settle()
		assert.True(t, sink.available)
		assert.Equal(t, map[string]string{"f": "10.0.0.6:80"}, sink.hosts, "the earlier state of b is forgotten with the old settings")
	})
}
