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

// The histories are the same ones each time, unless -rapid.seed asks for others.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "40")
	os.Exit(m.Run())
}

func entry(name, address string) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":"z","type":"k","status":"Ready","weight":1}`, name, address)
}

// heardSink keeps what a sink hears.
type heardSink struct {
	mu      sync.Mutex
	faults  []string
	hosts   map[string]string // addresses
	epoch   string
	rev     int64
	here    bool
	looks   int
	alive   int
	settled int
	wholes  int
	odd     int
	words   []string
	after   func()
}

func (s *heardSink) Update(epoch string, u Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if epoch == s.epoch && u.Revision < s.rev {
		s.faults = append(s.faults, "a revision went back")
	}
	s.epoch, s.rev = epoch, u.Revision
	if u.Whole {
		clear(s.hosts)
		s.wholes++
	}
	for _, h := range u.Hosts {
		if s.hosts[h.Name] = h.Address; h.Status == dispatch.Removed {
			delete(s.hosts, h.Name)
		}
	}
	s.odd += len(u.Unusable)
	if u.Confirm > 0 {
		s.words = append(s.words, fmt.Sprint("confirmed ", u.Confirm))
	}
	if s.after != nil {
		s.after()
	}
}
func (s *heardSink) UpToDate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.here = true
	s.alive++
}
func (s *heardSink) Unavailable(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.here = false
	s.words = append(s.words, err.Error())
}
func (s *heardSink) Reread(epoch string, u Update) {
	s.Update(epoch, u)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.looks++
}

// settle lets time go by, and all that it brings.
func (s *heardSink) settle(d time.Duration) {
	s.mu.Lock()
	s.settled++ // after what was looked at before
	s.mu.Unlock()
	time.Sleep(d)
	synctest.Wait()
}

// play runs a source against a cluster in memory, in a bubble whose time stands while anything goes on.
func play(t *testing.T, members int, sink *heardSink, f func(c *etcdtest.Cluster, src *Source, sink *heardSink, set Settings)) {
	playFrom(t, members, sink, func(*etcdtest.Cluster) {}, f)
}

// playFrom is play with a cluster that is prepared before the source starts: what is written later meets the source's first list.
func playFrom(t *testing.T, members int, sink *heardSink, prepare func(*etcdtest.Cluster),
	f func(c *etcdtest.Cluster, src *Source, sink *heardSink, set Settings)) {
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

func truth(c *etcdtest.Cluster) map[string]string {
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

// settleTime is how long after the last fault the list is that of the cluster, whatever went before: silence is noticed, each
// endpoint is tried once, and the longest pause goes by.
const settleTime = 3*time.Second + 2*2*time.Second + time.Second

// step is one of a history.
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

// Guards, over random histories of changes and faults, against a list that is not the cluster's soon after the faults end, a
// revision that goes back, a change that is seen in part, and a host that comes back though it was deleted. Each history is played
// twice: with a source that finds the first host in its first list, and with one that lists nothing and is told of it by its watch.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(draw), 1, 30).Draw(r, "steps")
		for _, listsNothing := range []bool{false, true} {
			sink := &heardSink{}
			playHistory(t, sink, steps, listsNothing)
			require.Empty(r, sink.faults, "the first list is empty: %v", listsNothing)
		}
	})
}

// playHistory plays the steps of a history. What the sink hears that must not be is in its faults.
func playHistory(t *testing.T, sink *heardSink, steps []step, listsNothing bool) {
	// A watch that tells the changes in another order tells of later hosts before the first one, where that was not listed.
	mayMissFirst := listsNothing && slices.ContainsFunc(steps, func(s step) bool { return s.what == "reorder" })
	var have []string
	left := map[string]bool{}
	sink.after = func() {
		one, two := sink.hosts["one"] != "", sink.hosts["two"] != ""
		mayMissFirst = mayMissFirst && !one && !two
		if len(sink.hosts) > 0 && one == two && !mayMissFirst {
			sink.faults = append(sink.faults, fmt.Sprint("half of a change: ", sink.hosts))
		}
		now := slices.Collect(maps.Values(sink.hosts))
		for _, address := range have {
			left[address] = !slices.Contains(now, address)
		}
		for _, address := range now {
			if left[address] {
				sink.faults = append(sink.faults, "revived: "+address)
			}
		}
		have = now
	}
	turn := 0
	put := func(name string) string { // each time at another address
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
	playFrom(t, 2, sink, prepare, func(c *etcdtest.Cluster, _ *Source, sink *heardSink, _ Settings) {
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
				if truth(c)["two"] != "" {
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
				_ = m.Up() // in memory
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
				_ = m.Up() // in memory
			}
			m.CatchUp()
			m.Hold(false)
			m.Swap(0)
			m.Ahead(0)
		}
		c.Leader(true)
		sink.settle(2 * time.Second) // leases end
		c.Put("r/last", entry("last", "10.9.9.9:80"))
		sink.settle(settleTime)
		if want := truth(c); !sink.here || !maps.Equal(want, sink.hosts) {
			sink.faults = append(sink.faults, fmt.Sprint("at the end: ", sink.hosts, " for ", want, sink.here, sink.words))
		}
	})
}

// Guards against a source that stays without the first host where its watch tells of a later change first, and that host was not in
// its list: the change that is told late shows that something was missed, and the list is read anew.
func TestFirstChangeToldLateIsListed(t *testing.T) {
	play(t, 1, &heardSink{}, func(c *etcdtest.Cluster, _ *Source, sink *heardSink, _ Settings) {
		sink.settle(0)
		c.Members[0].Swap(1)
		c.Put("r/one", entry("one", "10.0.0.1:80"))
		sink.settle(0)
		assert.Empty(t, sink.hosts, "it is held back until there is another one")
		c.Put("r/last", entry("last", "10.0.0.2:80"))
		sink.settle(settleTime)
		assert.Equal(t, truth(c), sink.hosts)
		assert.Equal(t, 2, sink.wholes, "listed again")
		assert.Contains(t, fmt.Sprint(sink.words), ErrMissedChange.Error())
		assert.True(t, sink.here)
	})
}

// Guards against a list that is read anew where it need not be, a compaction, a removal in the gap, a quiet watch or a dead
// one that goes unnoticed, a call that waits for ever, and a second look that is not one.
func TestResumes(t *testing.T) {
	play(t, 2, &heardSink{}, func(c *etcdtest.Cluster, src *Source, sink *heardSink, _ Settings) {
		settle := sink.settle
		for i := range 5000 {
			c.Put(fmt.Sprintf("q/%d", i), "of no use")
		}
		for _, name := range []string{"a", "b"} {
			c.Put("r/"+name, entry(name, "10.0.0.1:80"))
		}
		settle(time.Second)
		assert.Equal(t, 1, sink.wholes)
		c.Members[0].Down()
		c.Put("r/a", "")
		settle(0)
		require.NoError(t, c.Members[0].Up())
		assert.Equal(t, truth(c), sink.hosts)
		assert.Equal(t, 1, sink.wholes, "resumed")
		c.Members[1].Hold(true) // the endpoint of the second turn
		c.Put("r/b", "")
		c.Compact()
		c.Members[1].DropStreams()
		c.Members[1].Hold(false)
		settle(time.Second)
		assert.Equal(t, map[string]string{}, sink.hosts, "removed in the gap")
		assert.Equal(t, 2, sink.wholes, "listed again")
		c.Members[0].Hold(true)
		c.Members[1].Hold(true)
		c.Put("r/b", entry("b", "10.0.0.1:80"))
		settle(0)
		c.Compact()
		c.Members[0].Hold(false)
		c.Members[1].Hold(false)
		settle(time.Second)
		assert.Equal(t, truth(c), sink.hosts)
		assert.Equal(t, []string{"the history since then was compacted: up to 5006"}, sink.words[len(sink.words)-1:])
		for _, m := range c.Members {
			m.Cancel("no more")
		}
		c.Put("r/b", "")
		settle(time.Second)
		assert.Equal(t, truth(c), sink.hosts)
		before := sink.alive
		settle(time.Minute)
		assert.True(t, sink.here, "quiet")
		assert.Greater(t, sink.alive, before+58)
		rev := src.tracker.Revision()
		c.Put("q/0", "still of no use")
		settle(2 * time.Second)
		assert.Equal(t, rev+1, src.tracker.Revision(), "the resume point follows, or the next compaction would cost a list")
		for _, m := range c.Members {
			m.Hold(true)
		}
		c.Leader(false)
		settle(5 * time.Second)
		assert.False(t, sink.here)
		assert.Contains(t, fmt.Sprint(sink.words), "no leader")
		c.Leader(true)
		settle(5 * time.Second)
		assert.Contains(t, fmt.Sprint(sink.words), errSilent.Error(), "held back by both")
		for _, m := range c.Members {
			m.Hold(false)
			m.Lag(false)
		}
		c.Put("r/c", entry("c", "10.0.0.1:80"))
		settle(15 * time.Second)
		assert.Contains(t, fmt.Sprint(sink.words), errLate.Error(), "waiting for what is agreed")
		for _, m := range c.Members {
			m.CatchUp()
		}
		settle(5 * time.Second)
		assert.Equal(t, truth(c), sink.hosts)
		ranges := c.Members[0].Ranges() + c.Members[1].Ranges()
		c.Put("q/1", "elsewhere")
		settle(0)
		c.Compact()
		src.RequestReread()
		settle(time.Millisecond)
		assert.Zero(t, sink.looks, "the revision seen was compacted")
		assert.LessOrEqual(t, c.Members[0].Ranges()+c.Members[1].Ranges(), ranges+2, "not again and again")
		settle(2 * time.Second)
		assert.Equal(t, 1, sink.looks, sink.words[len(sink.words)-3:])
		ranges = c.Members[0].Ranges() + c.Members[1].Ranges() - 1
		assert.Equal(t, ranges+1, c.Members[0].Ranges()+c.Members[1].Ranges(), "it was read")
		c.Members[0].DropStreams()
		c.Members[1].DropStreams()
		src.RequestReread()
		settle(2 * time.Second)
		assert.Equal(t, 2, sink.looks, "though the stream had broken")
		ranges = c.Members[0].Ranges() + c.Members[1].Ranges() - 1
		settle(25 * time.Second)
		assert.InDelta(t, ranges+3, c.Members[0].Ranges()+c.Members[1].Ranges(), 1, "checked every ten seconds")
	})
}

// Guards against what another history shows: a backup with fewer revisions, one that has grown beyond what was seen, one with
// a name of its own, one member that was restored by itself. None of it is taken until the operator says so.
func TestOtherHistories(t *testing.T) {
	for _, grown := range []int{0, 1, 9} {
		for _, renamed := range []bool{false, true} {
			play(t, 1, &heardSink{}, func(c *etcdtest.Cluster, src *Source, sink *heardSink, set Settings) {
				settle := func() { sink.settle(5 * time.Second) }
				c.Put("r/a", entry("a", "10.0.0.1:80"))
				backup := c.Snapshot()
				for i := range 5 {
					c.Put("r/a", entry("a", fmt.Sprintf("10.0.0.%d:80", i+2)))
				}
				settle()
				c.Leader(false)
				c.Leader(true) // a term more than the backup's cluster will have
				settle()
				want := maps.Clone(sink.hosts)
				c.Restore(backup, renamed)
				for i := range grown {
					c.Put("r/b", entry("b", fmt.Sprintf("10.0.1.%d:80", i)))
				}
				settle()
				assert.Equal(t, want, sink.hosts)
				assert.False(t, sink.here)
				set.History = "c1/2"
				if renamed {
					set.History = "c2"
				}
				src.SetSettings(set)
				settle()
				assert.Equal(t, truth(c), sink.hosts)
				assert.Equal(t, set.History, sink.epoch)
			})
		}
	}
	play(t, 2, &heardSink{}, func(c *etcdtest.Cluster, _ *Source, sink *heardSink, _ Settings) {
		c.Put("r/a", entry("a", "10.0.0.1:80"))
		sink.settle(time.Second)
		c.Members[1].Lag(true)
		c.Put("r/a", "")
		sink.settle(time.Second)
		c.Members[0].Down()
		sink.settle(10 * time.Second)
		assert.Empty(t, sink.hosts, "only the member that is behind is left")
		assert.False(t, sink.here)
		require.NoError(t, c.Members[0].Up())
		sink.settle(5 * time.Second)
		assert.True(t, sink.here)
	})
	// A term that stays the same hides nothing either: what stood before the last check cannot have changed.
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
	// What comes twice is no change, what comes late was missed.
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
	require.NoError(t, tell(13, &mvccpb.Event{Kv: kv("a", 8)}), "what was before the list")
	_, err = tr.ApplyList(head(20), 20, []*mvccpb.KeyValue{kv("b", 11), kv("d", 10)})
	require.NoError(t, err, "a change between the list and now may have been missed")
	require.NoError(t, tell(21, &mvccpb.Event{Kv: kv("e", 21)}))
	assert.NoError(t, tr.FinishCheck(tr.BeginCheck(), head(21), []*mvccpb.KeyValue{kv("b", 11), kv("d", 10), kv("e", 21)}))
	_, err = tr.ApplyList(head(22), 22, []*mvccpb.KeyValue{kv("b", 11), kv("f", 21)})
	assert.ErrorIs(t, err, ErrForeignHistory, "the check has proved it")
}

// Guards against a list that ends with the first answer, or that is of several revisions.
func TestManyKeys(t *testing.T) {
	play(t, 1, &heardSink{}, func(c *etcdtest.Cluster, src *Source, sink *heardSink, set Settings) {
		all := map[string]string{}
		for i := range 2 * pageSize {
			all[fmt.Sprintf("r/%04d", i)] = entry(fmt.Sprintf("%04d", i), "10.0.0.1:80")
		}
		between := fmt.Sprintf("%04d!", pageSize-1) // the next behind the first page
		all["r/"+between] = entry(between, "10.0.0.1:80")
		c.Write(all)
		c.Members[0].Between(func() {
			c.Write(map[string]string{"r/0000": "", "r/9999": entry("9999", "10.0.0.1:80")})
			sink.after = func() {
				if sink.hosts["9999"] != "" && sink.hosts["0000"] != "" {
					sink.faults = append(sink.faults, "of several revisions")
				}
			}
		})
		set.MaxHosts = 5000
		src.SetSettings(set)
		sink.settle(3 * time.Second)
		assert.Len(t, sink.hosts, 2*pageSize+1)
		assert.True(t, sink.here)
		assert.Empty(t, sink.faults)
	})
}

// Guards against a value that costs its host or others, a key that is taken for another host, a confirmation that is lost or
// told twice, a fleet over the limit, and a token that holds for ever or is asked for without end.
func TestValuesAndUsers(t *testing.T) {
	play(t, 1, &heardSink{}, func(c *etcdtest.Cluster, src *Source, sink *heardSink, set Settings) {
		settle := func() { sink.settle(3 * time.Second) }
		c.Write(map[string]string{"r/a": entry("a", "10.0.0.1:80"), "r/b": entry("b", "10.0.0.2:80"), "r/c": "{", "r/d": entry("x", "10.0.0.4:80")})
		settle()
		want := map[string]string{"a": "10.0.0.1:80", "b": "10.0.0.2:80"}
		assert.Equal(t, want, sink.hosts)
		assert.Equal(t, 2, sink.odd)
		c.Write(map[string]string{"r/a": "{", "r/b": entry("b", "here"), "r/@confirm": "12"})
		settle()
		assert.Equal(t, want, sink.hosts)
		assert.Equal(t, 4, sink.odd)
		c.Compact()
		c.Members[0].DropStreams()
		c.Put("r/a", "")
		settle()
		assert.Equal(t, map[string]string{"b": "10.0.0.2:80"}, sink.hosts)
		c.Protect("node", "secret")
		c.Members[0].DropStreams()
		settle()
		assert.False(t, sink.here)
		assert.Contains(t, sink.words[len(sink.words)-1], "user name is empty")
		set.User, set.Password, set.MaxHosts = "node", "secret", 3
		src.SetSettings(set)
		settle()
		assert.True(t, sink.here)
		words := len(sink.words)
		for range 2 {
			c.ForgetTokens()
			sink.settle(12 * time.Second) // until the next check
		}
		assert.True(t, sink.here)
		assert.Equal(t, words, len(sink.words), "a token that has run out costs nothing")
		c.Write(map[string]string{"r/e": entry("e", "10.0.0.5:80"), "r/f": entry("f", "10.0.0.6:80")})
		settle()
		assert.False(t, sink.here)
		assert.Contains(t, sink.words[len(sink.words)-1], "too many keys")
		assert.Equal(t, "confirmed 12", sink.words[0])
		c.Write(map[string]string{"r/e": "", "r/c": ""})
		settle()
		assert.True(t, sink.here)
		assert.Equal(t, map[string]string{"f": "10.0.0.6:80"}, sink.hosts, "what b was is forgotten with the settings")
	})
}
