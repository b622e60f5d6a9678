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

// TestMain fixes the seed, so that every run draws the same sequences unless -rapid.seed is given.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

var constraints = Constraints{Zones: []string{"z"}, Kinds: []string{"k"}, MaxHosts: 4}

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

// Guards against an invalid file that is accepted, and against an error that does not name the problem.
func TestParse(t *testing.T) {
	want := &List{Index: 7, Confirmed: true, Verified: true, Hosts: []dispatch.Host{{Name: "a", Address: "10.0.0.1:80", Zone: "z",
		Kind: "k", Cell: 3, Status: dispatch.Draining, Weight: 1, Since: 5}}}
	l, err := Parse("l.json", []byte(`{"index":7,"confirm":7,"count":1,"snapshot":true,"endpoints":[{"name":"a","address":"10.0.0.1:80",
		"zone":"z","type":"k","group":3,"status":"Terminating","since_ms":5}]}`), constraints)
	require.NoError(t, err)
	assert.Equal(t, want, l)
	l, err = Parse("l.toml", []byte(seal("index = 7\nconfirm = 7\n[[endpoints]]\nname = \"a\"\naddress = \"10.0.0.1:80\"\nzone = \"z\"\n"+
		"type = \"k\"\ngroup = 3\nstatus = \"Terminating\"\nsince_ms = 5\nweight = 1.0\n")), constraints)
	require.NoError(t, err)
	assert.Equal(t, want, l)
	valid := text("", "a", "b")
	for invalid, reason := range map[string]string{
		"": "endpoints is missing", "endpoints = 1": "line 1, column 13", "indx = 1\nendpoints = []": "line 1, column 1",
		valid + "name = \"c": "line 11, column 9", "count = 3\n" + valid: "count is 3, but there are 2",
		"index = 4\nconfirm = 3\n" + valid: "confirm is 3, but index is 4", "snapshot = false\n" + valid: "changes only",
		text("", "a", "b", "a"): `endpoint 3, "a": endpoint 1 has the same name`, text("", "ax", "ay"): "same address",
		text("", "a", "b", "c", "d", "e"): "at most 4", strings.Replace(valid, `"z"`, `"y"`, 1): `zone "y" is not known`,
		strings.Replace(valid, `"k"`, `"j"`, 1): `type "j" is not known`, strings.Replace(valid, ":80", "", 1): "address",
		valid + "status = \"Gone\"": "leave the entry out", valid + "status = \"up\"": `unknown status "up"`,
		valid + "weight = nan": "out of range", valid + "since_ms = -1": "out of range",
		strings.Replace(seal(valid), "10.0.0", "10.0.1", 1): "but the file has", "checksum = \"12\"\n" + valid: "sixteen",
		"checksum = \"0000000000000000\" # 0000000000000000\n" + valid: "twice",
	} {
		_, err := Parse("l.toml", []byte(invalid), constraints)
		assert.ErrorContains(t, err, reason, invalid)
	}
	for _, invalid := range []string{`{"endpoints":[]} {}`, `{"endpoints":[],"x":1}`, `{"endpoints":null}`, `{"endpoints":[{"name":"a"`} {
		_, err := Parse("l.json", []byte(invalid), constraints)
		assert.Error(t, err, invalid)
	}
}

// Guards against an incomplete version that is accepted while a file is written piece by piece, whenever it is
// read; against a complete version that is not accepted; and against a delay for a file with a checksum.
func TestPartialWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewValidator(constraints, 50, true)
		now, complete, index := 1e12, map[string]bool{}, 0
		for range rapid.IntRange(1, 6).Draw(t, "versions") {
			index++
			names := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 1, 4, rapid.ID[string]).Draw(t, "names")
			version, verified := text(fmt.Sprintf("index = %d\n", index), names...), rapid.Bool().Draw(t, "sealed")
			if verified {
				version = seal(version)
			}
			complete[version] = true
			for at := 0; at < len(version); {
				at = min(len(version), at+rapid.IntRange(1, 300).Draw(t, "bytes"))
				now += float64(rapid.IntRange(1, 49).Draw(t, "ms"))
				r := s.Check(now, []Part{{"l.toml", []byte(version[:at])}}, nil, false)
				require.NoError(t, r.Err)
				if r.Version != nil {
					require.True(t, complete[version[:at]])
					require.Len(t, r.Version.Hosts, len(names))
					s.Accepted()
				}
				require.Equal(t, verified && at == len(version), r.Version != nil)
			}
			if !verified {
				now += 50
				require.NotNil(t, s.Check(now, []Part{{"l.toml", []byte(version)}}, nil, false).Version)
				s.Accepted()
			}
		}
	})
}

// Guards against an older file that is accepted again, against a confirmation that stays in effect, against a
// deleted file that goes unnoticed, and against an error that is reported more than once.
func TestValidator(t *testing.T) {
	s := NewValidator(constraints, 50, false)
	now := 1e12
	check := func(reread bool, texts ...string) string {
		var parts []Part
		for i, text := range texts {
			if text != "" {
				parts = append(parts, Part{fmt.Sprintf("%d.toml", i), []byte(text)})
			}
		}
		first := s.Check(now, parts, nil, reread)
		assert.True(t, first.Version == nil || first.Version.Reread, "only a re-read may be returned before the settle time: a file is missing or unverified")
		now += 50
		switch r := s.Check(now, parts, nil, reread); {
		case r.Version != nil:
			s.Accepted()
			return fmt.Sprint(len(r.Version.Hosts), r.Version.Confirmed, r.Version.Reread)
		case r.Err != nil:
			return r.Err.Error()
		case r.FailingSince > 0:
			return "bad"
		}
		return "same"
	}
	one, two := text("index = 5\n", "a"), text("", "b")
	for _, step := range []struct {
		one, two string
		reread   bool
		want     string
	}{
		{one, two, false, "2 false false"}, {one, two, false, "same"}, {one, two, true, "2 false true"},
		{text("index = 4\n"), two, false, "0.toml: endpoints is missing"}, {text("index = 4\n", "a"), two, false, "0.toml: index went back from 5 to 4"},
		{text("index = 4\n", "a"), two, false, "bad"}, {text("index = 5\n", "c"), two, false, "0.toml: different content at the same index 5"},
		{text("", "a"), two, false, "0.toml: has no index, but the accepted version had index 5"}, {one, text("", "a"), false, "1.toml: the name a is also in 0.toml"},
		{one, two, false, "same"}, {text("index = 6\nconfirm = 6\n", "a", "c"), two, false, "3 true false"},
		{text("index = 6\nconfirm = 6\n", "a", "c"), text("", "d"), false, "3 false false"}, {"", text("", "d"), false, "1 false false"},
		{text("index = 7\n", "a"), text("index = 1\nconfirm = 1\n", "c"), false, "2 false false"}, {"", text("index = 1\nconfirm = 1\n", "c"), false, "1 false false"},
		{one, text("index = 1\nconfirm = 1\n", "c"), false, "0.toml: index went back from 7 to 5"}, {text("index = 8\n", "a", "b", "c"), text("index = 2\n", "d", "e"), false, "5 endpoints in all, at most 4 are allowed"},
	} {
		assert.Equal(t, step.want, check(step.reread, step.one, step.two), step.one+step.two)
	}
	assert.Equal(t, "1 false false", check(false, "", text("index = 2\n", "b")))
	assert.NotNil(t, s.Check(now, []Part{{"1.toml", []byte(seal(text("index = 3\n", "b")))}}, nil, false).Version, "0.toml was missing before")
	s.Accepted()
	r := s.Check(now, nil, os.ErrNotExist, true)
	assert.Equal(t, now+50, r.ReadAgainAt, "the file may reappear within the settle time")
	assert.Error(t, s.Check(now+50, nil, os.ErrNotExist, false).Err)
	assert.Equal(t, now, s.Check(now+60, nil, os.ErrNotExist, false).FailingSince)
	assert.True(t, s.Check(now+60, []Part{{"1.toml", []byte(seal(text("index = 3\n", "b")))}}, nil, false).Version.Reread, "the re-read is still due")
}

// Guards against a list that mixes two versions: all files of a folder are replaced at once, by a symbolic link,
// while they are read.
func TestSymlinkSwapDuringRead(t *testing.T) {
	dir := t.TempDir()
	swap := func(i int) { // points the link to the version's own folder, as service managers do
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
	assert.Equal(t, []string{dir, filepath.Join(dir, "v200")}, WatchDirs(filepath.Join(dir, "a.toml")))
	_, err := Read(dir, 3)
	assert.ErrorContains(t, err, "over 3 bytes")
	assert.Equal(t, []string{dir}, WatchDirs(filepath.Join(dir, "none", "x.toml")))
}

// recordingSink sends a description of each call on a channel.
type recordingSink chan string

func (s recordingSink) Apply(versions ...merge.Version) error {
	v := versions[0]
	names := ""
	for _, h := range v.Hosts {
		names += h.Name
	}
	if v.Reread {
		names += "?"
	}
	s <- names
	if names == "x" {
		return errors.New("no")
	}
	return nil
}
func (s recordingSink) NoChange(float64)    { s <- "same" }
func (s recordingSink) Unreachable(float64) { s <- "away" }

// Guards against a change of the list that goes unnoticed: a rename, a swapped symbolic link, a folder that is
// created later, a file that is deleted and created again, one that is written in place; and against a re-read
// that is not reported.
func TestWatcherNoticesEveryChange(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "conf", "list.toml")
	c, sink := clock.NewManual(1e12), make(recordingSink, 100)
	w := &Watcher{Path: path, Single: true, Constraints: Constraints{MaxHosts: 4}, MaxBytes: 1 << 20, Settle: 50, Limits: Limits{PollInterval: 1e11}, Clock: c,
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
			case <-time.After(time.Millisecond): // lets the settle time pass
				c.Advance(50)
			case <-end:
				require.Fail(t, "not reported", want)
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
	w.RequestReread()
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
	w.SetLimits(Limits{PollInterval: 5000})
	write(path, seal(text("", "x")))
	await("x")
	for range 4 { // a rejected version is not reported again at each read
		await("away")
	}
	w.RequestReread()
	write(path, text("", "a"))
	require.NoError(t, os.Link(path, filepath.Join(dir, "behind")))
	await("a?")
	write(filepath.Join(dir, "behind"), text("", "b")) // causes no notification in the folder
	await("b")
	cancel()
	<-ended
}
