package replica

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/node/consensus/client"
	"linenwheel.dev/linenwheel/internal/node/consensus/protocol"
	"linenwheel.dev/linenwheel/internal/node/statemachine"
)

// fleet runs founded keepers in this process that miss a leader after so many ms, and reach each other over what way gives for an
// address, nil = straight; it ends with the test.
func fleet(t testing.TB, n int, election float64, way func(address string) string) client.Config {
	set := client.Config{Fleet: "f", Name: "test", AttemptTimeout: 10 * time.Second}
	addresses := map[string]string{}
	for i := range n {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.9:0", 128+os.Getpid()>>8&63, os.Getpid()&255)) // where no other takes the port
		require.NoError(t, err)
		name := fmt.Sprint("k", i)
		addresses[name] = l.Addr().String()
		set.Replicas = append(set.Replicas, client.Replica{Name: name, Address: addresses[name]})
		require.NoError(t, l.Close())
		if way != nil {
			addresses[name] = way(addresses[name])
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	var run sync.WaitGroup
	var members []statemachine.Member
	for _, to := range set.Replicas {
		k, err := New(Settings{Fleet: "f", Name: to.Name, Listen: to.Address, Directory: t.TempDir(), Synced: true, Addresses: addresses,
			Heartbeat: election / 10, Election: election, ImageEvery: 4 << 20, Trail: 1000}, slog.New(slog.NewTextHandler(io.Discard, nil)))
		require.NoError(t, err)
		members = append(members, statemachine.Member{ID: k.ID(), Name: to.Name, Address: to.Address})
		run.Go(func() { _ = k.Run(ctx) })
	}
	t.Cleanup(func() { stop(); run.Wait() })
	for _, to := range set.Replicas {
		_, err := client.Call(ctx, set, to, protocol.Request{Want: protocol.Found, Members: members, Now: 1})
		require.NoError(t, err)
	}
	return set
}

// slowly gives an address at which what the keeper at another one first says on a connection comes late.
func slowly(t *testing.T, to string, late time.Duration) string {
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
				defer near.Close()
				far, err := net.Dial("tcp", to)
				if err != nil {
					return
				}
				defer far.Close()
				go func() {
					defer far.Close()
					_, _ = io.Copy(far, near)
				}()
				time.Sleep(late)
				_, _ = io.Copy(near, far)
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against keepers that never have a leader because each gives up connecting to the others, which are slow to answer, as
// soon as it would ask for votes.
func TestSlowToAnswer(t *testing.T) {
	const election = 250
	const late = 3 * election * time.Millisecond
	c := client.New(fleet(t, 3, election, func(address string) string { return slowly(t, address, late) }))
	defer c.Close()
	ctx, stop := context.WithTimeout(t.Context(), 5*time.Minute) // it only ends what hangs
	defer stop()
	_, err := c.Do(ctx, statemachine.ComponentRegister, statemachine.Set{Name: "a", Value: "b"})
	require.NoError(t, err)
}

// BenchmarkDo is a command agreed by three keepers in one process that sync, asked by many at once.
func BenchmarkDo(b *testing.B) {
	c := client.New(fleet(b, 3, 250, nil))
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

// Guards against a keeper whose memory or disk grows with a log that never stops: of 48 MiB of commands no more than an
// image, the entries since and two files may be left.
func TestLogThatNeverStops(t *testing.T) {
	dir := filepath.Dir(t.TempDir()) // of this test
	c := client.New(fleet(t, 1, 1500, nil))
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
		if errors.Is(err, fs.ErrNotExist) { // of an image that another took the place of
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

// Guards against a fleet that is without a leader, until the others miss it, when operators take out the keeper that leads.
func TestLeaderTakenOut(t *testing.T) {
	set := fleet(t, 3, 1500, nil)
	c := client.New(set)
	defer c.Close()
	_, err := c.Do(t.Context(), statemachine.ComponentRegister, statemachine.Set{Name: "a", Value: "b"})
	require.NoError(t, err)
	leads := func() (client.Replica, *protocol.State) {
		for {
			for _, k := range set.Replicas {
				if a, err := client.Call(t.Context(), set, k, protocol.Request{Want: protocol.Status}); err == nil && a.State.Role == "leader" {
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
	at, first := leads()
	old := statemachine.Member{ID: first.ID, Name: at.Name, Address: at.Address}
	_, err = client.Call(t.Context(), set, at, protocol.Request{Want: protocol.Remove, Members: []statemachine.Member{old}})
	require.Error(t, err, "it is to be asked again")
	next := first
	for next.ID == first.ID {
		_, next = leads()
	}
	require.Equal(t, statemachine.Voter, role(next, first.ID), "another leads before it is out")
	require.NoError(t, c.Change(t.Context(), protocol.Remove, old))
	for role(next, first.ID) != statemachine.Removed {
		_, next = leads()
	}
}

// Guards against a vote for a newcomer that takes connections and never says a word: with one more keeper down, those that are left would be
// no majority of the voters. The second comes right after the leader has looked who is silent, as long as can be before it looks again.
func TestSilentNewcomer(t *testing.T) {
	set := fleet(t, 3, 250, nil)
	c := client.New(set)
	defer c.Close()
	_, err := c.Do(t.Context(), statemachine.ComponentRegister, statemachine.Set{Name: "a", Value: "b"})
	require.NoError(t, err)
	for id := range uint64(2) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer l.Close() // the kernel takes what connects, nobody reads it
		m := statemachine.Member{ID: 1 + id, Name: fmt.Sprint("silent", id), Address: l.Addr().String()}
		for silent := false; !silent; { // until the leader has noticed
			require.NoError(t, c.Change(t.Context(), protocol.Learn, m)) // an order may be lost with a leader
			for _, k := range set.Replicas {
				a, err := client.Call(t.Context(), set, k, protocol.Request{Want: protocol.Status})
				require.NoError(t, err)
				for _, have := range a.State.Members {
					if have.ID == m.ID {
						require.Equal(t, statemachine.Learner, have.Role)
						silent = silent || a.State.Role == "leader" && !have.Heard
					}
				}
			}
		}
	}
}
