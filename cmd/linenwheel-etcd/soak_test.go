package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/loopback"
	"linenwheel.dev/linenwheel/internal/node/config"
	"linenwheel.dev/linenwheel/internal/node/dispatch"
	"linenwheel.dev/linenwheel/lab/etcdtest"
	"linenwheel.dev/linenwheel/node"
)

// Guards against what only time shows: goroutines, descriptors and memory that grow while the agent and a node's sources go
// on, with streams dropped, connections cut, members restarted and the history compacted each second. It takes as long as
// LINENWHEEL_SOAK says, such as 10m, and does not run without.
func TestSoak(t *testing.T) {
	length, err := time.ParseDuration(os.Getenv("LINENWHEEL_SOAK"))
	if err != nil {
		t.Skip("LINENWHEEL_SOAK is not set")
	}
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	c, err := etcdtest.New(etcdtest.Settings{Members: 3, Clock: clock.NewSystem()})
	require.NoError(t, err)
	defer c.Close()
	addr, err := loopback.FreeAddress()
	require.NoError(t, err)
	dir := t.TempDir()
	path := filepath.Join(dir, "o.toml")
	ends := c.Endpoints()
	require.NoError(t, os.WriteFile(path, fmt.Appendf(nil, "[log]\nlevel = \"error\"\n[inventory]\ntrust = [\"etcd\"]\n[inventory.etcd]\nagent = %q\nprefix = \"r/\"\n"+
		"endpoints = [%q, %q, %q]\n[inventory.guard]\nshare = 1.0\nfloor = 0\n", addr, ends[0], ends[1], ends[2]), 0o600))
	ctx, cancel := context.WithCancel(t.Context())
	var work sync.WaitGroup
	work.Go(func() {
		run(ctx, []string{"-options", path}, func(string) string { return "" }, io.Discard, io.Discard, nil)
	})
	conf := &config.Config{Name: "n", Discovery: "127.0.0.1:1"}
	conf.Settings.Zones, conf.Settings.Kinds = []string{"z"}, []string{"k"}
	o, err := node.LoadOptions("", conf)
	require.NoError(t, err)
	o.Inventory.Trust, o.Inventory.Etcd.Agent, o.Inventory.Guard.Share, o.Inventory.Guard.Floor = []string{"etcd"}, addr, 1, 0
	steps := 0
	src, err := node.NewSources(conf, &o, slog.New(slog.DiscardHandler), func(dispatch.ListKind, []dispatch.Host) { steps++ })
	require.NoError(t, err)
	work.Go(func() { src.Run(ctx) })
	has := func() map[string]string {
		all := map[string]string{}
		for _, h := range src.Hosts() {
			all["r/"+h.Name] = fmt.Sprintf(`{"name":%q,"address":%q,"zone":"z","type":"k","status":"Ready","weight":1}`, h.Name, h.Address)
		}
		return all
	}
	var first, last runtime.MemStats
	descriptors := func() int {
		list, _ := os.ReadDir("/proc/self/fd")
		return len(list)
	}
	fds, goroutines, begun, changes := 0, 0, time.Now(), 0
	for second := 0; time.Since(begun) < length; second++ {
		for range 50 {
			changes++
			name := fmt.Sprintf("r/h%d", changes%500)
			value := fmt.Sprintf(`{"name":"h%d","address":"10.0.%d.%d:80","zone":"z","type":"k","status":"Ready","weight":1}`, changes%500,
				changes/200%250, changes%200)
			if changes%7 == 0 {
				value = ""
			}
			c.Put(name, value)
			time.Sleep(20 * time.Millisecond)
		}
		m := c.Members[second%3]
		switch second % 4 {
		case 0, 2:
			m.DropStreams()
		case 1:
			m.Cut()
		case 3:
			m.Down()
			require.NoError(t, m.Up())
		}
		c.Compact()
		if second == 20 { // what is kept has come to its size
			runtime.GC()
			runtime.ReadMemStats(&first)
			fds, goroutines = descriptors(), runtime.NumGoroutine()
		}
	}
	for end := time.Now().Add(2 * time.Minute); !maps.Equal(has(), c.Values("r/")); time.Sleep(10 * time.Millisecond) {
		require.True(t, time.Now().Before(end), "the list is not that of the cluster")
	}
	runtime.GC()
	runtime.ReadMemStats(&last)
	t.Logf("%d changes, %d steps; alive on the heap %.1f MB after 20 s, %.1f MB at the end; descriptors %d and %d, goroutines %d and %d",
		changes, steps, float64(first.HeapAlloc)/1e6, float64(last.HeapAlloc)/1e6, fds, descriptors(), goroutines, runtime.NumGoroutine())
	require.Less(t, last.HeapAlloc, first.HeapAlloc+8e6)
	require.LessOrEqual(t, descriptors(), fds+10)
	cancel()
	work.Wait()
}
