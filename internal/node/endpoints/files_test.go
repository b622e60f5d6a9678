package endpoints

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/decide"
	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/node/dispatch"
	"linenwheel.dev/linenwheel/internal/node/endpoints/files"
	"linenwheel.dev/linenwheel/internal/node/endpoints/merge"
	"linenwheel.dev/linenwheel/internal/node/endpoints/removalguard"
)

// fileText is version i of a list: four hosts, at addresses that only this version has, of which one changes each time.
func fileText(i int) (text string, hosts []string) {
	for n := range 4 {
		at := fmt.Sprintf("10.%d.%d.%d:80", n+1, (i+3-n)/4/250, (i+3-n)/4%250)
		hosts = append(hosts, at)
		text += fmt.Sprintf("[[endpoints]]\nname = \"h%d\"\naddress = %q\nzone = \"z\"\ntype = \"k\"\n", n, at)
	}
	return fmt.Sprintf("index = %d\ncount = 4\n", i+1) + text, hosts
}

// Guards against a request that sees a mixed or empty list, or one of a version that was bad, partial or old, while a thousand
// versions are written in quick succession, good ones among others, by renames and in place.
func TestManyVersionsWhileRequestsRun(t *testing.T) {
	const versions = 1000
	path, c, discard := filepath.Join(t.TempDir(), "list.toml"), clock.NewSystem(), slog.New(slog.DiscardHandler)
	p, err := dispatch.New(decide.Settings{Nodes: 1, Zones: []string{"z"}, Kinds: []string{"k"},
		Classes: []decide.Class{{Name: "pay", Effect: decide.Unsafe, Target: 600 * time.Millisecond, Deadline: 2 * time.Second, Value: 1}},
		Limits:  decide.Limits{MaxAttempts: 3}, Rules: decide.Rules{DrainGrace: 500 * time.Millisecond}}, 1, c, discard, nil)
	require.NoError(t, err)
	good, known := map[string]int{}, map[string]bool{} // versions by what they hold, and all of their addresses
	for i := range versions {
		_, hosts := fileText(i)
		good[strings.Join(hosts, " ")] = i
		for _, h := range hosts {
			known[h] = true
		}
	}
	var mu sync.Mutex
	var faults []string
	last, taken := -1, 0
	k, err := New(Settings{Settings: merge.Settings{Sources: []merge.Source{{Name: "files", StaleAfter: 1e6, ExpectedEpoch: path}},
		Guard: removalguard.Settings{Share: 1}, RereadDelay: 1000, MaxHosts: 9, Zones: []string{"z"}, Kinds: []string{"k"}},
		Give: func(kind dispatch.ListKind, list []dispatch.Host) { p.SetHosts(kind, list) }}, c, discard)
	require.NoError(t, err)
	w := &files.Watcher{Path: path, Single: true, Known: files.Known{Zones: []string{"z"}, Kinds: []string{"k"}, Most: 9}, Most: 1 << 20,
		Settle: 5, Limits: files.Limits{Poll: 1000}, Clock: c, Log: discard, Sink: k.Feed(0)}
	ctx, cancel := context.WithCancel(t.Context())
	var work, asking sync.WaitGroup
	var asked, refused atomic.Int64
	// What the pilot has at any moment is exactly one good version, and no older one than before.
	look := func() {
		var hosts []string
		for _, h := range p.View().Hosts {
			hosts = append(hosts, h.Address)
		}
		mu.Lock()
		defer mu.Unlock()
		one := strings.Join(hosts, " ")
		if i, ok := good[one]; !ok {
			faults = append(faults, "a list that was never written: "+one)
		} else if i > last {
			last = i
			taken++
		}
	}
	text, _ := fileText(0)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	work.Go(func() { w.Run(ctx) })
	for len(p.View().Hosts) == 0 {
		time.Sleep(time.Millisecond)
	}
	for range 4 {
		asking.Go(func() {
			for ctx.Err() == nil {
				q := p.Open(dispatch.Request{Tenant: -1, Deadline: c.Now() + 900})
				asked.Add(1)
				v := q.Next()
				look()
				switch v.Kind {
				case dispatch.Send:
					q.Report(v.AttemptIndex, dispatch.Served, nil)
					if !known[v.Address] {
						mu.Lock()
						faults = append(faults, "a relay to "+v.Address)
						mu.Unlock()
					}
				case dispatch.Reject:
					refused.Add(1)
				}
			}
		})
	}
	for i := 1; i < versions; i++ {
		text, _ := fileText(i)
		switch i % 5 {
		case 1: // cut off at some place, in place, and left so for a moment
			require.NoError(t, os.WriteFile(path, []byte(text[:i%len(text)]), 0o600))
		case 2: // half of it, then the rest
			f, err := os.OpenFile(path, os.O_WRONLY|os.O_TRUNC, 0)
			require.NoError(t, err)
			_, _ = f.WriteString(text[:len(text)/2])
			_, _ = f.WriteString(text[len(text)/2:])
			require.NoError(t, f.Close())
		case 3: // bad in one of several ways
			bad := []string{"", strings.Replace(text, "h1", "h2", 1), strings.Replace(text, `"z"`, `"y"`, 1), "index = 1\nendpoints = []\n",
				strings.Replace(text, fmt.Sprintf("index = %d", i+1), "index = 1", 1), text + "x"}[i/5%6]
			require.NoError(t, os.WriteFile(path+".new", []byte(bad), 0o600))
			require.NoError(t, os.Rename(path+".new", path))
		default:
			require.NoError(t, os.WriteFile(path+".new", []byte(text), 0o600))
			require.NoError(t, os.Rename(path+".new", path))
		}
		if i%10 == 0 {
			time.Sleep(5 * time.Millisecond) // so that some of the bad ones stand for long enough to be refused
		}
	}
	for end := time.Now().Add(time.Minute); ; {
		look()
		mu.Lock()
		done := last == versions-1
		mu.Unlock()
		if done {
			break
		}
		require.True(t, time.Now().Before(end), "the last version is not taken")
		time.Sleep(time.Millisecond)
	}
	cancel()
	asking.Wait()
	work.Wait()
	k.Stop()
	assert.Empty(t, faults)
	assert.Zero(t, refused.Load(), "of %d requests", asked.Load())
	t.Logf("%d versions written, %d of them seen in force by %d requests", versions, taken, asked.Load())
}
