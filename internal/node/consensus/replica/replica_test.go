package replica

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"net"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/loopback"
	"linenwheel.dev/linenwheel/internal/node/consensus/client"
	"linenwheel.dev/linenwheel/internal/node/consensus/protocol"
	"linenwheel.dev/linenwheel/internal/node/statemachine"
)

// startFleet bootstraps n replicas in this process, with an election timeout in ms, and returns the configuration
// of a client. The replicas connect to each other at the address that proxy returns for theirs; nil = directly.
// They stop at the end of the test.
func startFleet(t testing.TB, n int, election float64, proxy func(address string) string) client.Config {
	t.Helper()
	config := client.Config{Fleet: "f", Name: "test", AttemptTimeout: 10 * time.Second}
	addresses := map[string]string{}
	for i := range n {
		address, err := loopback.FreeAddress()
		require.NoError(t, err)
		name := fmt.Sprint("k", i)
		addresses[name] = address
		config.Replicas = append(config.Replicas, client.Replica{Name: name, Address: address})
		if proxy != nil {
			addresses[name] = proxy(addresses[name])
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	var run sync.WaitGroup
	var members []statemachine.Member
	for _, to := range config.Replicas {
		r, err := New(Settings{Fleet: "f", Name: to.Name, Listen: to.Address, Directory: t.TempDir(), Synced: true, Addresses: addresses,
			Heartbeat: election / 10, Election: election, ImageEvery: 4 << 20, Trail: 1000}, slog.New(slog.NewTextHandler(io.Discard, nil)))
		require.NoError(t, err)
		members = append(members, statemachine.Member{ID: r.ID(), Name: to.Name, Address: to.Address})
		run.Go(func() { _ = r.Run(ctx) })
	}
	t.Cleanup(func() { stop(); run.Wait() })
	for _, to := range config.Replicas {
		_, err := client.Call(ctx, config, to, protocol.Request{Kind: protocol.Bootstrap, Members: members, Now: 1})
		require.NoError(t, err)
	}
	return config
}

// delayFirstAnswer returns the address of a proxy to another address. It delays the first answer on each
// connection.
func delayFirstAnswer(t *testing.T, to string, delay time.Duration) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = near.Close() }()
				far, err := net.Dial("tcp", to)
				if err != nil {
					return
				}
				defer func() { _ = far.Close() }()
				go func() {
					defer func() { _ = far.Close() }()
					_, _ = io.Copy(far, near)
				}()
				time.Sleep(delay)
				_, _ = io.Copy(near, far)
			}()
		}
	}()
	return l.Addr().String()
}

// TestElectsALeaderThoughMembersAnswerSlowly guards against replicas that never elect a leader because each one
// stops connecting to the others, which are slow to answer, as soon as it would campaign.
func TestElectsALeaderThoughMembersAnswerSlowly(t *testing.T) {
	const election = 250
	const delay = 3 * election * time.Millisecond
	c := client.New(startFleet(t, 3, election, func(address string) string { return delayFirstAnswer(t, address, delay) }))
	defer c.Close()
	ctx, stop := context.WithTimeout(t.Context(), 5*time.Minute) // only stops a hanging test
	defer stop()
	_, err := c.Do(ctx, statemachine.ComponentRegister, statemachine.Set{Name: "a", Value: "b"})
	require.NoError(t, err)
}

// BenchmarkDo measures concurrent commands that are committed by three replicas in one process, which sync their
// disks.
func BenchmarkDo(b *testing.B) {
	c := client.New(startFleet(b, 3, 250, nil))
	defer c.Close()
	work := make(chan int)
	var wait sync.WaitGroup
	for range 64 {
		wait.Go(func() {
			for i := range work {
				if _, err := c.Do(context.Background(), statemachine.ComponentRegister, statemachine.Set{Name: fmt.Sprint(i % 100), Value: "x"}); err != nil {
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
}

// TestCompactionBoundsMemoryAndDisk guards against a replica whose memory or disk usage grows with the log: after
// 48 MiB of commands, at most an image, the entries since then and two files may be left.
func TestCompactionBoundsMemoryAndDisk(t *testing.T) {
	dir := filepath.Dir(t.TempDir()) // parent of all directories of this test
	c := client.New(startFleet(t, 1, 1500, nil))
	defer c.Close()
	ctx, stop := context.WithTimeout(t.Context(), 5*time.Minute)
	defer stop()
	var wait sync.WaitGroup
	for i := range 64 {
		wait.Go(func() {
			for j := range 192 {
				_, err := c.Do(ctx, statemachine.ComponentRegister, statemachine.Set{Name: fmt.Sprint(i), Value: strings.Repeat(fmt.Sprint(j%10), 4<<10)})
				if !assert.NoError(t, err) {
					return
				}
			}
		})
	}
	wait.Wait()
	size := int64(0)
	require.NoError(t, filepath.WalkDir(dir, func(_ string, e fs.DirEntry, err error) error {
		if err != nil || e.IsDir() {
			return err
		}
		info, err := e.Info()
		if errors.Is(err, fs.ErrNotExist) { // an image that has been replaced meanwhile
			return nil
		}
		size += info.Size()
		return err
	}))
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	t.Logf("%d bytes on the disk, %d in memory", size, memory.HeapAlloc)
	assert.Less(t, size, int64(32<<20))
	assert.Less(t, memory.HeapAlloc, uint64(32<<20))
}

// TestRemovingTheLeaderTransfersLeadershipFirst guards against a fleet that has no leader for an election timeout
// when operators remove the leader.
func TestRemovingTheLeaderTransfersLeadershipFirst(t *testing.T) {
	config := startFleet(t, 3, 1500, nil)
	c := client.New(config)
	defer c.Close()
	_, err := c.Do(t.Context(), statemachine.ComponentRegister, statemachine.Set{Name: "a", Value: "b"})
	require.NoError(t, err)
	findLeader := func() (client.Replica, *protocol.State) {
		for {
			for _, k := range config.Replicas {
				if a, err := client.Call(t.Context(), config, k, protocol.Request{Kind: protocol.Status}); err == nil && a.State.Role == "leader" {
					return k, a.State
				}
			}
		}
	}
	role := func(s *protocol.State, id uint64) statemachine.Role {
		for _, m := range s.Members {
			if m.ID == id {
				return m.Role
			}
		}
		return ""
	}
	at, first := findLeader()
	leaving := statemachine.Member{ID: first.ID, Name: at.Name, Address: at.Address}
	_, err = client.Call(t.Context(), config, at, protocol.Request{Kind: protocol.Remove, Members: []statemachine.Member{leaving}})
	require.Error(t, err, "the request must be retried")
	next := first
	for next.ID == first.ID {
		_, next = findLeader()
	}
	require.Equal(t, statemachine.Voter, role(next, first.ID), "another member is the leader before the first one is removed")
	require.NoError(t, c.Change(t.Context(), protocol.Remove, leaving))
	for role(next, first.ID) != statemachine.Removed {
		_, next = findLeader()
	}
}

// TestUnresponsiveLearnerIsNotPromoted guards against making a voter of a new member that accepts connections but
// never sends a message: with one more member down, the others would not be a majority of the voters. The second
// such member is added directly after the leader has checked which members are active, so that the longest
// possible time passes before it checks again.
func TestUnresponsiveLearnerIsNotPromoted(t *testing.T) {
	config := startFleet(t, 3, 250, nil)
	c := client.New(config)
	defer c.Close()
	_, err := c.Do(t.Context(), statemachine.ComponentRegister, statemachine.Set{Name: "a", Value: "b"})
	require.NoError(t, err)
	for id := range uint64(2) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer func() { _ = l.Close() }() // the kernel accepts connections, but nothing reads from them
		m := statemachine.Member{ID: 1 + id, Name: fmt.Sprint("silent", id), Address: l.Addr().String()}
		for unresponsive := false; !unresponsive; { // until the leader reports it as inactive
			require.NoError(t, c.Change(t.Context(), protocol.AddLearner, m)) // the change may be lost when the leader changes
			for _, k := range config.Replicas {
				a, err := client.Call(t.Context(), config, k, protocol.Request{Kind: protocol.Status})
				require.NoError(t, err)
				for _, listed := range a.State.Members {
					if listed.ID == m.ID {
						require.Equal(t, statemachine.Learner, listed.Role)
						unresponsive = unresponsive || a.State.Role == "leader" && !listed.Heard
					}
				}
			}
		}
	}
}
