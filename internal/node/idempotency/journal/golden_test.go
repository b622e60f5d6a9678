package journal

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/golden"
	"linenwheel.dev/linenwheel/internal/node/idempotency"
	"linenwheel.dev/linenwheel/internal/node/wal"
)

// history writes records of all kinds to a journal: calls that end in each way, with and without an answer, one
// that still runs, with windows of their own and without.
func history(t *testing.T, j *Journal) {
	for i := range 8 {
		c := call(i + 1)
		if i%2 == 1 {
			c.Windows = &idempotency.Windows{Answered: 500 + float64(i), Doubt: 800}
		}
		at := 100 * float64(i)
		ticket, err := j.Began(at, c)
		require.NoError(t, err)
		require.NoError(t, ticket.Wait())
		ends := []idempotency.Outcome{idempotency.OutcomeServed, idempotency.OutcomeServed, idempotency.OutcomeNotExecuted, idempotency.OutcomeInDoubt}
		if i >= 6 {
			continue // these calls are still running
		}
		var body []byte
		if i == 0 || i == 5 {
			body = []byte("an answer")
		}
		ticket, err = j.Ended(at+50, c, ends[i%4], body)
		require.NoError(t, err)
		require.NoError(t, ticket.Wait())
	}
}

// known returns the entries in the golden directory at 800 ms, in the order in which they ended.
func known() (list []idempotency.Entry) {
	windows := func(a float64) *idempotency.Windows { return &idempotency.Windows{Answered: a, Doubt: 800} }
	of := func(i int, w *idempotency.Windows, age float64, running, served bool, body string) {
		c := call(i)
		c.Windows = w
		k := idempotency.Entry{Call: c, Running: running, Served: served, Age: age}
		if body != "" {
			k.Body, k.Size = []byte(body), len(body)
		}
		list = append(list, k)
	}
	of(1, nil, 750, false, true, "an answer")
	of(2, windows(501), 650, false, true, "")
	of(4, windows(503), 450, false, false, "")
	of(5, nil, 350, false, true, "")
	of(6, windows(505), 250, false, true, "an answer")
	of(7, nil, 200, true, false, "")
	of(8, windows(507), 100, true, false, "")
	return list
}

// Guards against a journal format that this build reads or writes differently from an earlier build of the same
// release.
func TestReadsAndWritesTheJournalOfAnEarlierBuild(t *testing.T) {
	dir := t.TempDir()
	disk := wal.Disk{Path: dir}
	require.NoError(t, disk.Make())
	j, _, _, stop := begin(t, disk, 0)
	history(t, j)
	stop()
	names, err := disk.List()
	require.NoError(t, err)
	require.Greater(t, len(names), 1, "there is more than one segment")
	for _, name := range names {
		text, err := os.ReadFile(filepath.Join(dir, name))
		require.NoError(t, err)
		golden.Check(t, filepath.Join("journal", name), text)
	}
	kept, err := os.ReadDir(filepath.Join("testdata", "golden", "journal"))
	require.NoError(t, err)
	require.Len(t, kept, len(names), "the same segments")

	copied := t.TempDir()
	require.NoError(t, os.CopyFS(copied, os.DirFS(filepath.Join("testdata", "golden", "journal"))))
	_, list, found, stop := begin(t, wal.Disk{Path: copied}, 800)
	stop()
	require.Empty(t, found)
	require.Equal(t, known(), list)
}

// Guards against a header whose JSON has changed.
func TestEncodedTypesKeepTheirForm(t *testing.T) { golden.JSON[header](t, "header") }
