package files

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/node/dispatch"
	"linenwheel.dev/linenwheel/internal/node/endpoints/merge"
)

// The histories are the same ones each time, unless -rapid.seed asks for others.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

var known = Known{Zones: []string{"z"}, Kinds: []string{"k"}, Most: 4}

func text(head string, names ...string) string {
	for _, name := range names {
		head += fmt.Sprintf("[[endpoints]]\nname = %q\naddress = \"10.0.0.%d:80\"\nzone = \"z\"\ntype = \"k\"\n", name, name[0])
	}
	return head
}

func seal(text string) string {
	zeros := strings.Repeat("0", 16)
	text = "checksum = \"" + zeros + "\"\n" + text
	return strings.Replace(text, zeros, Checksum([]byte(text), zeros), 1)
}

// Guards against a file that is taken although anything is wrong with it, and against a refusal that does not say what.
func TestParse(t *testing.T) {
	want := &List{Index: 7, Meant: true, Sealed: true, Hosts: []dispatch.Host{{Name: "a", Address: "10.0.0.1:80", Zone: "z",
		Kind: "k", Cell: 3, Status: dispatch.Draining, Weight: 1, Since: 5}}}
	l, err := Parse("l.json", []byte(`{"index":7,"confirm":7,"count":1,"snapshot":true,"endpoints":[{"name":"a","address":"10.0.0.1:80",
		"zone":"z","type":"k","group":3,"status":"Terminating","since_ms":5}]}`), known)
	require.NoError(t, err)
	assert.Equal(t, want, l)
	l, err = Parse("l.toml", []byte(seal("index = 7\nconfirm = 7\n[[endpoints]]\nname = \"a\"\naddress = \"10.0.0.1:80\"\nzone = \"z\"\n"+
		"type = \"k\"\ngroup = 3\nstatus = \"Terminating\"\nsince_ms = 5\nweight = 1.0\n")), known)
	require.NoError(t, err)
	assert.Equal(t, want, l)
	good := text("", "a", "b")
	for bad, reason := range map[string]string{
		"": "endpoints is missing", "endpoints = 1": "line 1, column 13", "indx = 1\nendpoints = []": "line 1, column 1",
		good + "name = \"c": "line 11, column 9", "count = 3\n" + good: "count is 3, but there are 2",
		"index = 4\nconfirm = 3\n" + good: "confirm is 3, but index is 4", "snapshot = false\n" + good: "changes only",
		text("", "a", "b", "a"): `endpoint 3, "a": endpoint 1 has the same name`, text("", "ax", "ay"): "same address",
		text("", "a", "b", "c", "d", "e"): "at most 4", strings.Replace(good, `"z"`, `"y"`, 1): `zone "y" is not known`,
		strings.Replace(good, `"k"`, `"j"`, 1): `type "j" is not known`, strings.Replace(good, ":80", "", 1): "address",
		good + "status = \"Gone\"": "leave the entry out", good + "status = \"up\"": `unknown status "up"`,
		good + "weight = nan": "out of range", good + "since_ms = -1": "out of range",
		strings.Replace(seal(good), "10.0.0", "10.0.1", 1): "but the file has", "checksum = \"12\"\n" + good: "sixteen",
		"checksum = \"0000000000000000\" # 0000000000000000\n" + good: "twice",
	} {
		_, err := Parse("l.toml", []byte(bad), known)
		assert.ErrorContains(t, err, reason, bad)
	}
	for _, bad := range []string{`{"endpoints":[]} {}`, `{"endpoints":[],"x":1}`, `{"endpoints":null}`, `{"endpoints":[{"name":"a"`} {
		_, err := Parse("l.json", []byte(bad), known)
		assert.Error(t, err, bad)
	}
}

// Guards against a version that was never whole being taken while it is written piece by piece, whatever moment it is read
// at; against one that is not taken once it is whole; and, with a checksum, against a wait.
func TestHalfWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewShelf(known, 50, true)
		now, whole, index := 1e12, map[string]bool{}, 0
		for range rapid.IntRange(1, 6).Draw(t, "versions") {
			index++
			names := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 1, 4, rapid.ID[string]).Draw(t, "names")
			version, sealed := text(fmt.Sprintf("index = %d\n", index), names...), rapid.Bool().Draw(t, "sealed")
			if sealed {
				version = seal(version)
			}
			whole[version] = true
			for at := 0; at < len(version); {
				at = min(len(version), at+rapid.IntRange(1, 300).Draw(t, "bytes"))
				now += float64(rapid.IntRange(1, 49).Draw(t, "ms"))
				r := s.Read(now, []Part{{"l.toml", []byte(version[:at])}}, nil, false)
				require.NoError(t, r.Err)
				if r.Version != nil {
					require.True(t, whole[version[:at]])
					require.Len(t, r.Version.Hosts, len(names))
					s.Taken()
				}
				require.Equal(t, sealed && at == len(version), r.Version != nil)
			}
			if !sealed {
				now += 50
				require.NotNil(t, s.Read(now, []Part{{"l.toml", []byte(version)}}, nil, false).Version)
				s.Taken()
			}
		}
	})
}

// Guards against an older file that is taken again, against a confirmation that goes on counting, against a file that goes
// unnoticed, and against faults that are told again and again.
func TestShelf(t *testing.T) {
	s := NewShelf(known, 50, false)
	now := 1e12
	read := func(look bool, texts ...string) string {
		var parts []Part
		for i, text := range texts {
			if text != "" {
				parts = append(parts, Part{fmt.Sprintf("%d.toml", i), []byte(text)})
			}
		}
		first := s.Read(now, parts, nil, look)
		assert.True(t, first.Version == nil || first.Version.Reread, "a file is gone, or proves nothing")
		now += 50
		switch r := s.Read(now, parts, nil, look); {
		case r.Version != nil:
			s.Taken()
			return fmt.Sprint(len(r.Version.Hosts), r.Version.Confirmed, r.Version.Reread)
		case r.Err != nil:
			return r.Err.Error()
		case r.Since > 0:
			return "bad"
		}
		return "same"
	}
	one, two := text("index = 5\n", "a"), text("", "b")
	for _, step := range []struct {
		one, two string
		look     bool
		want     string
	}{
		{one, two, false, "2 false false"}, {one, two, false, "same"}, {one, two, true, "2 false true"},
		{text("index = 4\n"), two, false, "0.toml: endpoints is missing"}, {text("index = 4\n", "a"), two, false, "0.toml: index went back from 5 to 4"},
		{text("index = 4\n", "a"), two, false, "bad"}, {text("index = 5\n", "c"), two, false, "0.toml: other content at index 5"},
		{text("", "a"), two, false, "0.toml: has no index, after 5"}, {one, text("", "a"), false, "1.toml: the name a stands in 0.toml too"},
		{one, two, false, "same"}, {text("index = 6\nconfirm = 6\n", "a", "c"), two, false, "3 true false"},
		{text("index = 6\nconfirm = 6\n", "a", "c"), text("", "d"), false, "3 false false"}, {"", text("", "d"), false, "1 false false"},
		{text("index = 7\n", "a"), text("index = 1\nconfirm = 1\n", "c"), false, "2 false false"}, {"", text("index = 1\nconfirm = 1\n", "c"), false, "1 false false"},
		{one, text("index = 1\nconfirm = 1\n", "c"), false, "0.toml: index went back from 7 to 5"}, {text("index = 8\n", "a", "b", "c"), text("index = 2\n", "d", "e"), false, "5 endpoints in all, at most 4 can be taken"},
	} {
		assert.Equal(t, step.want, read(step.look, step.one, step.two), step.one+step.two)
	}
	assert.Equal(t, "1 false false", read(false, "", text("index = 2\n", "b")))
	assert.NotNil(t, s.Read(now, []Part{{"1.toml", []byte(seal(text("index = 3\n", "b")))}}, nil, false).Version, "0.toml was gone before")
	s.Taken()
	r := s.Read(now, nil, os.ErrNotExist, true)
	assert.Equal(t, now+50, r.Again, "it may be back in a moment")
	assert.Error(t, s.Read(now+50, nil, os.ErrNotExist, false).Err)
	assert.Equal(t, now, s.Read(now+60, nil, os.ErrNotExist, false).Since)
	assert.True(t, s.Read(now+60, []Part{{"1.toml", []byte(seal(text("index = 3\n", "b")))}}, nil, false).Version.Reread, "not forgotten")
}

// Guards against a list of two versions: a folder whose files change hands at once, by a link, while it is read.
func TestLinkSwappedWhileRead(t *testing.T) {
	dir := t.TempDir()
	swap := func(i int) { // to a version's own folder, as service managers do
		v := fmt.Sprint("v", i)
		_ = os.Mkdir(filepath.Join(dir, v), 0o700)
		for _, f := range []string{"a.toml", "b.toml"} {
			_ = os.WriteFile(filepath.Join(dir, v, f), []byte(v), 0o600)
		}
		_ = os.Symlink(v, filepath.Join(dir, "..new"))
		_ = os.Rename(filepath.Join(dir, "..new"), filepath.Join(dir, "..data"))
	}
	swap(0)
	for _, f := range []string{"a.toml", "b.toml"} {
		require.NoError(t, os.Symlink(filepath.Join("..data", f), filepath.Join(dir, f)))
	}
	var swaps sync.WaitGroup
	swaps.Go(func() {
		for i := range 200 {
			swap(i + 1)
		}
	})
	for last := false; !last; {
		parts, err := Read(dir, 1<<10)
		if !errors.Is(err, errChanged) {
			require.NoError(t, err)
			require.Len(t, parts, 2)
			require.Equal(t, parts[0].Text, parts[1].Text)
			last = string(parts[0].Text) == "v200"
		}
	}
	swaps.Wait()
	assert.Equal(t, []string{dir, filepath.Join(dir, "v200")}, Folders(filepath.Join(dir, "a.toml")))
	_, err := Read(dir, 3)
	assert.ErrorContains(t, err, "over 3 bytes")
	assert.Equal(t, []string{dir}, Folders(filepath.Join(dir, "none", "x.toml")))
}

// told passes on what a sink is told.
type told chan string

func (c told) Take(versions ...merge.Version) error {
	v := versions[0]
	names := ""
	for _, h := range v.Hosts {
		names += h.Name
	}
	if v.Reread {
		names += "?"
	}
	c <- names
	if names == "x" {
		return errors.New("no")
	}
	return nil
}
func (c told) Present(float64) { c <- "same" }
func (c told) Away(float64)    { c <- "away" }

// Guards against a way of writing a list that goes unnoticed: a rename, a link that is swapped, a folder that is made
// later, a file that goes and comes, one that is written in place; and against a second look that is never told.
func TestEveryWayOfWriting(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "conf", "list.toml")
	c, sink := clock.NewManual(1e12), make(told, 100)
	w := &Watcher{Path: path, Single: true, Known: Known{Most: 4}, Most: 1 << 20, Settle: 50, Limits: Limits{Poll: 1e11}, Clock: c,
		Log: slog.New(slog.DiscardHandler), Sink: sink}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { w.Run(ctx); close(ended) }()
	await := func(want string) {
		for end := time.After(time.Minute); ; {
			select {
			case got := <-sink:
				if got == want {
					return
				}
				require.Contains(t, []string{"same", "away"}, got)
			case <-time.After(time.Millisecond): // the wait for a file that may still be written to
				c.Advance(50)
			case <-end:
				require.Fail(t, "not told", want)
			}
		}
	}
	write := func(at, list string) {
		require.NoError(t, os.WriteFile(at, []byte(list), 0o600))
	}
	await("away")
	require.NoError(t, os.Mkdir(filepath.Dir(path), 0o700))
	write(path+".new", text("", "a"))
	require.NoError(t, os.Rename(path+".new", path))
	await("a")
	write(path, text("", "a", "b"))
	await("ab")
	w.Look()
	await("ab?")
	require.NoError(t, os.Remove(path))
	await("away")
	for i, names := range []string{"c", "d"} {
		v := filepath.Join(dir, fmt.Sprintf("v%d", i))
		require.NoError(t, os.Mkdir(v, 0o700))
		write(filepath.Join(v, "list.toml"), seal(text("", names)))
		require.NoError(t, os.Symlink(v, filepath.Join(dir, "next")))
		require.NoError(t, os.Rename(filepath.Join(dir, "next"), filepath.Join(dir, "current")))
		if i == 0 {
			require.NoError(t, os.Symlink("../current/list.toml", path))
		}
		await(names)
	}
	require.NoError(t, os.RemoveAll(filepath.Join(dir, "conf")))
	await("away")
	require.NoError(t, os.Mkdir(filepath.Dir(path), 0o700))
	w.Limit(Limits{Poll: 5000})
	write(path, seal(text("", "x")))
	await("x")
	for range 4 { // what was refused is not told again with each look
		await("away")
	}
	w.Look()
	write(path, text("", "a"))
	require.NoError(t, os.Link(path, filepath.Join(dir, "behind")))
	await("a?")
	write(filepath.Join(dir, "behind"), text("", "b")) // of which the folder has no notice
	await("b")
	cancel()
	<-ended
}
