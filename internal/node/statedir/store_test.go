package statedir

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "linenwheel.dev/linenwheel/internal/rapidseed" // fixes the seed of rapid
)

var sample = State{Node: "n1", PID: 7, Started: 1, Saved: 2, Open: 3, Knowledge: []byte(`{"a":1}`)}

// Guards against a file that is truncated, damaged, of another version or of another program being read as a state.
func TestDecode(t *testing.T) {
	text, err := Encode(sample)
	require.NoError(t, err)
	got, err := Decode(text)
	require.NoError(t, err)
	require.Equal(t, sample, got)
	rapid.Check(t, func(r *rapid.T) {
		bad := append([]byte(nil), text...)
		if at := rapid.IntRange(0, len(bad)-1).Draw(r, "at"); rapid.Bool().Draw(r, "cut") {
			bad = bad[:at]
		} else {
			bad[at] ^= 1 << rapid.IntRange(0, 7).Draw(r, "bit")
		}
		if got, err := Decode(bad); err == nil { // the flipped bit changed a digit of the checksum to upper case
			require.Equal(r, sample, got)
		}
	})
	for text, want := range map[string]string{
		"":                                  "it is torn",
		"linenwh":                           "it is torn",
		"{}":                                "it is not a state of a node",
		"linenwheel state 9 2 00\n{}":       "it is of form 9, and 1 to 1 are read",
		"linenwheel state x\n{}":            "its first line cannot be read",
		"linenwheel state 1 3 00\n{}":       "it is torn",
		"linenwheel state 1 2 00\n{}":       "its checksum is wrong",
		"linenwheel state 1 18446 00\n{}":   "it is torn",
		"linenwheel state 1 -2 00\n" + "{}": "it is torn",
	} {
		_, err := Decode([]byte(text))
		assert.ErrorContains(t, err, want, text)
	}
}

// TestChild runs in a process of its own, which writes a state and ends in the way that STORE_TEST names.
func TestChild(t *testing.T) {
	dir, how, _ := strings.Cut(os.Getenv("STORE_TEST"), "|")
	if dir == "" {
		t.Skip("run by TestEnds")
	}
	s, last, err := Open(dir, "n1")
	require.NoError(t, err)
	fmt.Println("last:", last != nil && last.End == End(how), last)
	state := sample
	require.NoError(t, s.Write(state))
	state.End = Clean
	switch how {
	case "crash":
		go func() { panic("out of\nwits") }()
		select {}
	case "clean":
		require.NoError(t, s.Write(state))
	default:
		fmt.Println("waiting")
		select {}
	}
}

// Guards against an end that is reported as a different one, two processes that write to the same directory, and the
// use of another node's state. The child processes are real.
func TestEnds(t *testing.T) {
	dir := t.TempDir()
	child := func(how string) *exec.Cmd {
		c := exec.Command(os.Args[0], "-test.run=^TestChild$")
		c.Env = append(os.Environ(), "STORE_TEST="+dir+"|"+how)
		return c
	}
	end := func() (End, string) {
		s, last, err := Open(dir, "n1")
		require.NoError(t, err)
		defer s.Release()
		if last == nil {
			return "none", ""
		}
		assert.Equal(t, string(sample.Knowledge), string(last.Knowledge))
		return last.End, last.Crash
	}
	requireEnd := func(want End) {
		e, crash := end()
		assert.Equal(t, [2]string{string(want), ""}, [2]string{string(e), crash})
	}
	requireEnd("none")
	require.NoError(t, child("clean").Run())
	requireEnd(Clean)
	require.Error(t, child("crash").Run())
	s, last, err := Open(dir, "n1")
	require.NoError(t, err)
	assert.Equal(t, Crashed, last.End)
	assert.Contains(t, last.Crash, "panic: out of\n\twits")
	s.Release()
	killed := child("wait")
	out, err := killed.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, killed.Start())
	for lines := bufio.NewScanner(out); lines.Scan() && lines.Text() != "waiting"; {
	}
	_, _, err = Open(dir, "n1")
	require.ErrorIs(t, err, ErrBusy)
	require.NoError(t, killed.Process.Kill())
	_ = killed.Wait()
	requireEnd(Killed)
	path := filepath.Join(dir, "state")
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	other, _ := Encode(State{Node: "n1", Boot: "before", Knowledge: sample.Knowledge})
	require.NoError(t, os.WriteFile(path, other, 0o600))
	requireEnd(HostDown)
	for _, bad := range []string{string(text[:len(text)-1]), strings.Replace(string(text), "state", "xtate", 1)} {
		require.NoError(t, os.WriteFile(path, []byte(bad), 0o600))
		s, last, err := Open(dir, "n1")
		require.ErrorContains(t, err, path+" is ignored: it is")
		assert.Nil(t, last)
		s.Release()
	}
	require.NoError(t, os.WriteFile(path, other, 0o600))
	s, last, err = Open(dir, "n2")
	require.ErrorContains(t, err, `it is of node "n1"`)
	assert.Nil(t, last)
	require.NoError(t, s.Write(sample))
	s.Release()
	require.NoError(t, s.Write(State{}), "without the lock nothing is written")
	_, last, err = Open(dir, "n1")
	require.NoError(t, err)
	assert.Equal(t, sample.PID, last.PID)
}
