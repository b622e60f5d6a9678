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

// Guards against slow leaks: goroutines, descriptors and memory that grow while the agent and a node's sources run. Each
// second streams are dropped, connections cut or a member restarted, and the history is compacted. The environment
// variable LINENWHEEL_SOAK sets the duration, such as 10m; without it the test is skipped.
func TestSoak(t *testing.T) {
	duration, err := time.ParseDuration(os.Getenv("LINENWHEEL_SOAK"))
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
	endpoints := c.Endpoints()
	require.NoError(t, os.WriteFile(path, fmt.Appendf(nil, "[log]\nlevel = \"error\"\n[inventory]\ntrust = [\"etcd\"]\n[inventory.etcd]\nagent = %q\nprefix = \"r/\"\n"+
		"endpoints = [%q, %q, %q]\n[inventory.guard]\nshare = 1.0\nfloor = 0\n", addr, endpoints[0], endpoints[1], endpoints[2]), 0o600))
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
	listed := func() map[string]string {
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
	fds, goroutines, start, changes := 0, 0, time.Now(), 0
	for second := 0; time.Since(start) < duration; second++ {
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
		if second == 20 { // retained data has reached its steady size
			runtime.GC()
			runtime.ReadMemStats(&first)
			fds, goroutines = descriptors(), runtime.NumGoroutine()
		}
	}
	for end := time.Now().Add(2 * time.Minute); !maps.Equal(listed(), c.Values("r/")); time.Sleep(10 * time.Millisecond) {
		require.True(t, time.Now().Before(end), "the node's list differs from the cluster's")
	}
	runtime.GC()
	runtime.ReadMemStats(&last)
	t.Logf("%d changes, %d steps; live heap %.1f MB after 20 s, %.1f MB at the end; descriptors %d and %d, goroutines %d and %d",
		changes, steps, float64(first.HeapAlloc)/1e6, float64(last.HeapAlloc)/1e6, fds, descriptors(), goroutines, runtime.NumGoroutine())
	require.Less(t, last.HeapAlloc, first.HeapAlloc+8e6)
	require.LessOrEqual(t, descriptors(), fds+10)
	cancel()
	work.Wait()
}
