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

// fileText returns version i of a list of four hosts and their addresses. One address changes with each version,
// so that the four addresses identify it.
func fileText(i int) (text string, hosts []string) {
	for n := range 4 {
		at := fmt.Sprintf("10.%d.%d.%d:80", n+1, (i+3-n)/4/250, (i+3-n)/4%250)
		hosts = append(hosts, at)
		text += fmt.Sprintf("[[endpoints]]\nname = \"h%d\"\naddress = %q\nzone = \"z\"\ntype = \"k\"\n", n, at)
	}
	return fmt.Sprintf("index = %d\ncount = 4\n", i+1) + text, hosts
}

// Guards against a request that sees a mixed or empty list, or an invalid, partial or old version, while a thousand
// versions, valid and invalid ones, are written in quick succession, by renames and in place.
func TestRequestsDuringListUpdates(t *testing.T) {
	const versions = 1000
	path, c, discard := filepath.Join(t.TempDir(), "list.toml"), clock.NewSystem(), slog.New(slog.DiscardHandler)
	d, err := dispatch.New(decide.Settings{Nodes: 1, Zones: []string{"z"}, Kinds: []string{"k"},
		Classes: []decide.Class{{Name: "pay", Effect: decide.Unsafe, Target: 600 * time.Millisecond, Deadline: 2 * time.Second, Value: 1}},
		Limits:  decide.Limits{MaxAttempts: 3}, Rules: decide.Rules{DrainGrace: 500 * time.Millisecond}}, 1, c, discard, nil)
	require.NoError(t, err)
	// Version numbers by joined addresses, and the addresses of all versions.
	valid, addresses := map[string]int{}, map[string]bool{}
	for i := range versions {
		_, hosts := fileText(i)
		valid[strings.Join(hosts, " ")] = i
		for _, h := range hosts {
			addresses[h] = true
		}
	}
	var mu sync.Mutex
	var failures []string
	last, applied := -1, 0
	m, err := New(Settings{Settings: merge.Settings{Sources: []merge.Source{{Name: "files", StaleAfter: 1e6, ExpectedEpoch: path}},
		Guard: removalguard.Settings{Share: 1}, RereadDelay: 1000, MaxHosts: 9, Zones: []string{"z"}, Kinds: []string{"k"}},
		OnUpdate: func(kind dispatch.ListKind, list []dispatch.Host) { d.SetHosts(kind, list) }}, c, discard)
	require.NoError(t, err)
	w := &files.Watcher{Path: path, Single: true, Constraints: files.Constraints{Zones: []string{"z"}, Kinds: []string{"k"}, MaxHosts: 9}, MaxBytes: 1 << 20,
		Settle: 5, Limits: files.Limits{PollInterval: 1000}, Clock: c, Log: discard, Sink: m.Feed(0)}
	ctx, cancel := context.WithCancel(t.Context())
	var work, requests sync.WaitGroup
	var requestCount, rejected atomic.Int64
	// The dispatcher's list must be exactly one valid version at any time.
	checkList := func() {
		var hosts []string
		for _, h := range d.View().Hosts {
			hosts = append(hosts, h.Address)
		}
		mu.Lock()
		defer mu.Unlock()
		joined := strings.Join(hosts, " ")
		if i, ok := valid[joined]; !ok {
			failures = append(failures, "a list that was never written: "+joined)
		} else if i > last {
			last = i
			applied++
		}
	}
	text, _ := fileText(0)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	work.Go(func() { w.Run(ctx) })
	for len(d.View().Hosts) == 0 {
		time.Sleep(time.Millisecond)
	}
	for range 4 {
		requests.Go(func() {
			for ctx.Err() == nil {
				q := d.Open(dispatch.Request{Tenant: -1, Deadline: c.Now() + 900})
				requestCount.Add(1)
				v := q.Next()
				checkList()
				switch v.Kind {
				case dispatch.Send:
					q.Report(v.AttemptIndex, dispatch.Served, nil)
					if !addresses[v.Address] {
						mu.Lock()
						failures = append(failures, "a request to "+v.Address)
						mu.Unlock()
					}
				case dispatch.Reject:
					rejected.Add(1)
				}
			}
		})
	}
	for i := 1; i < versions; i++ {
		text, _ := fileText(i)
		switch i % 5 {
		case 1: // truncated, in place, and left like that until the next version
			require.NoError(t, os.WriteFile(path, []byte(text[:i%len(text)]), 0o600))
		case 2: // written in two halves
			f, err := os.OpenFile(path, os.O_WRONLY|os.O_TRUNC, 0)
			require.NoError(t, err)
			_, _ = f.WriteString(text[:len(text)/2])
			_, _ = f.WriteString(text[len(text)/2:])
			require.NoError(t, f.Close())
		case 3: // invalid in one of several ways
			invalid := []string{"", strings.Replace(text, "h1", "h2", 1), strings.Replace(text, `"z"`, `"y"`, 1), "index = 1\nendpoints = []\n",
				strings.Replace(text, fmt.Sprintf("index = %d", i+1), "index = 1", 1), text + "x"}[i/5%6]
			require.NoError(t, os.WriteFile(path+".new", []byte(invalid), 0o600))
			require.NoError(t, os.Rename(path+".new", path))
		default:
			require.NoError(t, os.WriteFile(path+".new", []byte(text), 0o600))
			require.NoError(t, os.Rename(path+".new", path))
		}
		if i%10 == 0 {
			time.Sleep(5 * time.Millisecond) // so that some of the invalid ones stay for long enough to be rejected
		}
	}
	for end := time.Now().Add(time.Minute); ; {
		checkList()
		mu.Lock()
		done := last == versions-1
		mu.Unlock()
		if done {
			break
		}
		require.True(t, time.Now().Before(end), "the last version was not applied")
		time.Sleep(time.Millisecond)
	}
	cancel()
	requests.Wait()
	work.Wait()
	m.Stop()
	assert.Empty(t, failures)
	assert.Zero(t, rejected.Load(), "of %d requests", requestCount.Load())
	t.Logf("%d versions written, %d of them seen in use by %d requests", versions, applied, requestCount.Load())
}
