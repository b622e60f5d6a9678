package journal

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"slices"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/node/idempotency"
	"linenwheel.dev/linenwheel/internal/node/wal"
)

var set = Settings{Classes: []string{"post-charge", "cap-alert"}, Tenants: []string{"morava", "vltava"}, SegmentBytes: 600,
	Retention: 1000, MaxQueue: 100}

func call(i int) (c idempotency.Call) {
	c.Key[0], c.Fingerprint[3], c.Class, c.Tenant = byte(i), byte(i), i%2, i%3-1
	return c
}

// memory is a directory in memory whose disk fails where a test wants it to. What was not synced is lost in a crash.
type memory struct {
	files  map[string][]byte
	synced map[string]int // bytes of each that a crash keeps
	room   int            // bytes until the disk is full; a write is cut there
	syncs  int            // until one fails, below 0 = never
}

var errDisk = errors.New("the disk failed")

func newMemory() *memory {
	return &memory{files: map[string][]byte{}, synced: map[string]int{}, room: 1 << 30, syncs: -1}
}

func (m *memory) List() ([]string, error) { return slices.Collect(maps.Keys(m.files)), nil }

func (m *memory) Read(name string) ([]byte, error) {
	if text, ok := m.files[name]; ok {
		return text, nil
	}
	return nil, fs.ErrNotExist
}

func (m *memory) Create(name string) (wal.File, error) {
	if m.files[name] != nil || m.room == 0 {
		return nil, errDisk
	}
	m.files[name] = []byte{}
	return &handle{m, name}, nil
}

func (m *memory) Remove(name string) error { delete(m.files, name); return nil }
func (m *memory) Sync() error              { return nil }

// crash returns what the disk holds after a power failure: of what was not synced, the first `more` bytes.
func (m *memory) crash(more int) *memory {
	after := newMemory()
	for name, text := range m.files {
		after.files[name] = slices.Clone(text[:min(len(text), m.synced[name]+more)])
	}
	return after
}

type handle struct {
	m    *memory
	name string
}

func (h *handle) Write(b []byte) (int, error) {
	n := min(len(b), h.m.room)
	h.m.room -= n
	h.m.files[h.name] = append(h.m.files[h.name], b[:n]...)
	if n < len(b) {
		return n, errDisk
	}
	return n, nil
}

func (h *handle) Sync() error {
	if h.m.syncs == 0 {
		return errDisk
	}
	h.m.syncs--
	h.m.synced[h.name] = len(h.m.files[h.name])
	return nil
}

func (h *handle) Close() error { return nil }

// begin opens a journal in a directory and runs it; stop ends it.
func begin(t *testing.T, f wal.Folder, now float64) (j *Journal, list []idempotency.Entry, found []Finding, stop func()) {
	j, list, found, err := Open(f, set, now)
	require.NoError(t, err)
	over := make(chan struct{})
	go func() { j.Run(); close(over) }()
	return j, list, found, func() { j.Close(); <-over }
}

// makeCalls makes calls that begin and end, and returns those that must be known after a restart.
func makeCalls(j *Journal, calls int) (begun, ended map[idempotency.Key]bool) {
	begun, ended = map[idempotency.Key]bool{}, map[idempotency.Key]bool{}
	for i := range calls {
		c := call(i)
		if t, err := j.Began(float64(i), c); err != nil || t.Wait() != nil {
			continue
		}
		begun[c.Key] = true
		if t, err := j.Ended(float64(i), c, idempotency.OutcomeServed, []byte("body")); err == nil && t.Wait() == nil {
			ended[c.Key] = true
		}
	}
	return begun, ended
}

// Guards against an acknowledged beginning that is unknown after the disk was full at any byte, a sync failed, or the
// power failed with any part of what was not synced; and against a start that fails for that.
func TestEveryTruncationKeepsWhatWasSynced(t *testing.T) {
	const calls = 12
	complete := newMemory()
	j, _, _, stop := begin(t, complete, 0)
	makeCalls(j, calls)
	stop()
	size := 0
	for _, text := range complete.files {
		size += len(text)
	}
	require.Greater(t, len(complete.files), 2, "it spans several segments")
	check := func(m *memory, what string) {
		j, _, _, stop := begin(t, m, 0)
		begun, ended := makeCalls(j, calls)
		stop()
		for _, lost := range []int{0, 1, 17, 1 << 20} {
			list, _, err := Read(m.crash(lost), set, float64(calls))
			require.NoError(t, err)
			known := map[idempotency.Key]idempotency.Entry{}
			for _, k := range list {
				known[k.Key] = k
			}
			for name := range begun {
				k, ok := known[name]
				require.True(t, ok, "%s, %d bytes more: %v is unknown", what, lost, name)
				require.Equal(t, call(int(name[0])), k.Call)
				require.False(t, ended[name] && (k.Running || !k.Served || string(k.Body.([]byte)) != "body"), what)
			}
			after := m.crash(lost)
			j, again, _, stop := begin(t, after, float64(calls))
			require.Equal(t, list, again)
			ticket, err := j.Began(float64(calls), call(50))
			require.NoError(t, err)
			require.NoError(t, ticket.Wait(), "it continues after %s", what)
			stop()
		}
	}
	for room := range size + 1 {
		m := newMemory()
		m.room = room
		check(m, fmt.Sprintf("a disk full at byte %d", room))
	}
	for syncs := range 2*calls + 1 {
		m := newMemory()
		m.syncs = syncs
		check(m, fmt.Sprintf("a failed sync after %d", syncs))
	}
}

// Guards against a disk that recovers and is not used again, and against a failed batch that a later one makes
// durable.
func TestJournalContinuesAfterDiskFailure(t *testing.T) {
	m := newMemory()
	m.syncs = 0
	j, _, _, stop := begin(t, m, 0)
	first, err := j.Began(0, call(1))
	require.NoError(t, err)
	require.ErrorIs(t, first.Wait(), errDisk)
	require.ErrorIs(t, j.Failure(), errDisk)
	m.syncs = -1
	second, err := j.Began(0, call(2))
	require.NoError(t, err)
	require.NoError(t, second.Wait())
	require.NoError(t, j.Failure())
	require.ErrorIs(t, first.Wait(), errDisk)
	stop()
	_, err = j.Began(0, call(3))
	require.ErrorIs(t, err, ErrClosed)
	list, _, err := Read(m.crash(0), set, 0)
	require.NoError(t, err)
	require.Len(t, list, 1)
}

// Guards against damage that is read as a record, against a file of another release or program that is read or
// changed, and against classes and tenants that are confused when the settings have changed their order.
func TestForeignAndDamagedFilesAreReported(t *testing.T) {
	m := newMemory()
	j, _, _, stop := begin(t, m, 0)
	makeCalls(j, 3)
	stop()
	good := slices.Clone(m.files[segmentFormat.Name(1)])
	for i := range good {
		bad := slices.Clone(good)
		bad[i] ^= 0x40
		f := newMemory()
		f.files[segmentFormat.Name(1)] = bad
		list, found, err := Read(f, set, 3)
		require.NoError(t, err)
		require.Len(t, found, 1, "byte %d", i)
		require.LessOrEqual(t, len(list), 3)
	}
	text, err := json.Marshal(header{Version: Version + 1})
	require.NoError(t, err)
	m.files[segmentFormat.Name(2)] = wal.Append([]byte(segmentFormat.Magic), func(b []byte) []byte { return append(b, text...) })
	m.files["notes.txt"], m.files["repeats-1.log"] = []byte("x"), []byte("y")
	other := set
	other.Classes, other.Tenants = []string{"cap-alert", "new"}, []string{"vltava"}
	list, found, err := Read(m, other, 3)
	require.NoError(t, err)
	require.Len(t, found, 1)
	require.ErrorIs(t, found[0].Err, ErrVersion)
	require.Len(t, list, 1, "the class post-charge is gone")
	assert.Equal(t, 0, list[0].Class)
	assert.Equal(t, -1, list[0].Tenant, "the tenant morava is gone")
	list, _, err = Read(m, set, 3+set.Retention+0.5)
	require.NoError(t, err)
	assert.Empty(t, list, "too old")
	j, _, _, stop = begin(t, m, 3+3*set.Retention)
	defer stop()
	ticket, err := j.Began(3+3*set.Retention, call(9))
	require.NoError(t, err)
	require.NoError(t, ticket.Wait())
	assert.Equal(t, "x", string(m.files["notes.txt"]))
}

// Guards against segments that are kept for ever or removed while they are of use, and against an unreported
// read-only disk.
func TestJournalOnRealDisk(t *testing.T) {
	dir := wal.Disk{Path: t.TempDir()}
	j, _, _, stop := begin(t, dir, 0)
	for i := range 200 {
		ticket, err := j.Began(float64(i)*100, call(i))
		require.NoError(t, err)
		require.NoError(t, ticket.Wait())
	}
	stop()
	names, err := dir.List()
	require.NoError(t, err)
	assert.LessOrEqual(t, len(names), 4, "10 calls are of use, 6 of which fill a segment")
	list, found, err := Read(dir, set, 19900)
	require.NoError(t, err)
	require.Empty(t, found)
	assert.Len(t, list, 11)
	_, err = dir.Create(names[0])
	require.ErrorIs(t, err, fs.ErrExist)
	_, _, _, err = Open(wal.Disk{Path: dir.Path + "/none"}, set, 0)
	require.ErrorIs(t, err, os.ErrNotExist)
}

// Guards against unbounded records while the disk does not respond.
func TestQueueIsBounded(t *testing.T) {
	j, _, _, err := Open(newMemory(), set, 0)
	require.NoError(t, err)
	for i := range set.MaxQueue {
		_, err := j.Began(0, call(i))
		require.NoError(t, err)
	}
	_, err = j.Began(0, call(1))
	require.ErrorIs(t, err, ErrFull)
}

// BenchmarkBegan measures one beginning of a call that is recorded and synced on the machine's disk, for one
// caller and for many concurrent ones.
func BenchmarkBegan(b *testing.B) {
	for _, many := range []int{1, 128} {
		b.Run(fmt.Sprint(many), func(b *testing.B) {
			big := set
			big.SegmentBytes, big.MaxQueue = 8<<20, 1<<20
			j, _, _, err := Open(wal.Disk{Path: b.TempDir()}, big, 0)
			require.NoError(b, err)
			over := make(chan struct{})
			go func() { j.Run(); close(over) }()
			work := make(chan int)
			var wait sync.WaitGroup
			for range many {
				wait.Go(func() {
					for i := range work {
						ticket, err := j.Began(1, call(i))
						if err != nil || ticket.Wait() != nil {
							b.Error(err)
						}
					}
				})
			}
			for i := 0; b.Loop(); i++ {
				work <- i
			}
			close(work)
			wait.Wait()
			j.Close()
			<-over
		})
	}
}

// Guards against windows that a restart shortens, or loses with a class that is not listed any more; against
// segments that are removed while their records are within their windows; and against records of the previous
// release, which have no windows.
func TestWindowsSurviveARestart(t *testing.T) {
	m := newMemory()
	j, _, _, stop := begin(t, m, 0)
	long := call(0)
	long.Windows = &idempotency.Windows{Answered: 5000, Doubt: 70}
	for _, c := range []idempotency.Call{long, call(2)} {
		_, err := j.Began(1, c)
		require.NoError(t, err)
		_, err = j.Ended(2, c, idempotency.OutcomeServed, []byte("body"))
		require.NoError(t, err)
	}
	stop()
	for at, names := range map[float64]int{900: 2, 1500: 1, 4900: 1, 5100: 0} {
		list, found, err := Read(m, set, at)
		require.NoError(t, err)
		assert.Empty(t, found)
		require.Len(t, list, names, "at %g", at)
		if names == 1 {
			assert.Equal(t, long, list[0].Call)
			assert.Equal(t, "body", string(list[0].Body.([]byte)))
		}
	}
	j, _, _, stop = begin(t, m, 1500)
	for i := range 30 {
		ticket, err := j.Began(1500+100*float64(i), call(10+i))
		require.NoError(t, err)
		require.NoError(t, ticket.Wait())
	}
	_, err := j.Began(4900, call(9))
	require.NoError(t, err)
	stop()
	list, _, err := Read(m, set, 4900)
	require.NoError(t, err)
	assert.True(t, slices.ContainsFunc(list, func(k idempotency.Entry) bool { return k.Key == long.Key }))
	n, err := Compact(m, 1, 4900)
	require.NoError(t, err)
	assert.Equal(t, 2, n)
	list, _, err = Read(m, set, 4900)
	require.NoError(t, err)
	require.NotEmpty(t, list)
	assert.Equal(t, long, list[0].Call)
}
