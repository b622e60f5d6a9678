package circle

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"linenwheel.dev/linenwheel/internal/node/consensus/client"
	"linenwheel.dev/linenwheel/internal/node/consensus/protocol"
	"linenwheel.dev/linenwheel/internal/node/statemachine"
)

// Measured is what a load showed.
type Measured struct {
	Rate              float64 // commands agreed a second
	Median, P99, P999 float64 // ms from the moment a command was due until its reply
	Lost              int     // commands that were not agreed
	Cores             float64 // processor time of a keeper a second, mean
	Memory            float64 // resident, MB, the largest
	Bytes             float64 // that the leader sent to others, a command
}

const (
	loadClients = 8
	loadWorkers = 64 // of each client
)

// grown starts a circle; direct = without wires, so that measured is what keepers do.
func grown(ctx context.Context, o Options, n int, direct bool, extra string) (*Circle, []string, error) {
	dir, err := os.MkdirTemp(o.Dir, "measure")
	if err != nil {
		return nil, nil, err
	}
	names := []string{}
	for i := range n {
		names = append(names, fmt.Sprintf("k%d", i))
	}
	c, err := New(names, Options{Program: o.Program, Dir: dir, Extra: extra, Direct: direct, Quick: true})
	if err == nil {
		err = c.Found(ctx, names)
	}
	if err != nil && c != nil {
		c.Close()
	}
	return c, names, err
}

// Load has commands agreed at a rate, each due at its time whether those before are agreed or not.
func Load(ctx context.Context, o Options, keepers int, synced bool, rate int, length time.Duration) (m Measured, err error) {
	c, names, err := grown(ctx, o, keepers, true, fmt.Sprintf("synced = %v", synced))
	if err != nil {
		return m, err
	}
	defer c.Close()
	before, err := c.used(ctx, names)
	if err != nil {
		return m, err
	}
	due := make(chan time.Time, rate)
	var lost atomic.Int64
	var mu sync.Mutex
	var times []float64
	var work sync.WaitGroup
	for i := range loadClients {
		log := client.New(c.settings(fmt.Sprintf("load%d", i)))
		defer log.Close()
		if _, err := log.Do(ctx, statemachine.ComponentRegister, statemachine.Set{Name: "first", Value: "x"}); err != nil {
			return m, err
		}
		for j := range loadWorkers {
			name, value := fmt.Sprintf("n%d-%d", i, j), fmt.Sprintf("%032d", j)
			work.Go(func() {
				for at := range due {
					one, stop := context.WithTimeout(ctx, 5*time.Second)
					_, err := log.Do(one, statemachine.ComponentRegister, statemachine.Set{Name: name, Value: value})
					stop()
					if err != nil {
						lost.Add(1)
						continue
					}
					took := float64(time.Since(at)) / 1e6
					mu.Lock()
					times = append(times, took)
					mu.Unlock()
				}
			})
		}
	}
	begin := time.Now()
	for i := range int(float64(rate) * length.Seconds()) {
		at := begin.Add(time.Duration(float64(i) / float64(rate) * 1e9))
		time.Sleep(time.Until(at))
		due <- at
	}
	close(due)
	work.Wait()
	took := time.Since(begin).Seconds()
	after, err := c.used(ctx, names)
	if err != nil {
		return m, err
	}
	if len(times) == 0 {
		return m, errors.New("nothing was agreed")
	}
	slices.Sort(times)
	at := func(part float64) float64 { return times[min(len(times)-1, int(part*float64(len(times))))] }
	return Measured{Rate: float64(len(times)) / took, Median: at(0.5), P99: at(0.99), P999: at(0.999), Lost: int(lost.Load()),
		Cores: (after.cpu - before.cpu) / took / float64(keepers), Memory: after.memory,
		Bytes: float64(after.bytes-before.bytes) / float64(len(times))}, nil
}

// used is what keepers have used so far.
type used struct {
	cpu, memory float64
	bytes       uint64
}

func (c *Circle) used(ctx context.Context, names []string) (u used, err error) {
	for _, n := range names {
		p, err := c.find(n).process.Usage()
		if err != nil {
			return u, err
		}
		u.cpu, u.memory = u.cpu+p.CPU, max(u.memory, p.Memory)
		s, err := c.state(ctx, n)
		if err != nil {
			return u, err
		}
		for _, m := range s.Members {
			u.bytes += m.Bytes
		}
	}
	return u, nil
}

// Losses are the ways to lose a leader that Gaps knows.
var Losses = []string{"a kill", "a cut", "a planned stop"}

// Gaps takes leaders away, and gives for each the time in ms from then until the first command that was asked after it was
// agreed. Commands are asked one after the other by each of four clients.
func Gaps(ctx context.Context, o Options, how string, runs int) (list []float64, err error) {
	c, names, err := grown(ctx, o, 3, how != "a cut", "")
	if err != nil {
		return nil, err
	}
	defer c.Close()
	type told struct{ asked, told time.Time }
	done := make(chan struct{})
	var work sync.WaitGroup
	var mu sync.Mutex
	var all []told
	for i := range 4 {
		log := client.New(c.settings(fmt.Sprintf("gap%d", i)))
		defer log.Close()
		work.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				asked := time.Now()
				if _, err := log.Do(ctx, statemachine.ComponentRegister, statemachine.Set{Name: "gap", Value: "x"}); err == nil {
					mu.Lock()
					all = append(all, told{asked, time.Now()})
					mu.Unlock()
				}
			}
		})
	}
	defer func() { close(done); work.Wait() }()
	for range runs {
		time.Sleep(time.Duration(200+rand.IntN(100)) * time.Millisecond) // between runs, so that a run begins at any time of a heartbeat
		lead, err := c.lead(ctx)
		if err != nil {
			return nil, err
		}
		at := time.Now()
		switch how {
		case "a kill":
			c.Kill(lead.Name)
		case "a cut":
			c.Trouble(lead.Name, true, true, Trouble{Refuse: true})
		default:
			c.End(lead.Name)
		}
		first := time.Time{}
		for first.IsZero() {
			if ctx.Err() != nil {
				return nil, errors.New("nobody leads any more")
			}
			time.Sleep(5 * time.Millisecond)
			mu.Lock()
			for _, t := range all {
				if t.asked.After(at) && (first.IsZero() || t.told.Before(first)) {
					first = t.told
				}
			}
			mu.Unlock()
		}
		list = append(list, float64(first.Sub(at))/1e6)
		c.Trouble(lead.Name, true, true, Trouble{})
		if err := c.Start(lead.Name); err != nil {
			return nil, err
		}
		for _, n := range names {
			if _, err := c.until(ctx, n, func(s *protocol.State) bool { return s.Leader != "" }); err != nil {
				return nil, err
			}
		}
	}
	return list, nil
}

// Lateness is how a keeper comes up to date.
type Lateness struct {
	Away     float64 // s
	Entries  int     // agreed meanwhile
	CatchUp  float64 // ms from its start until it held them
	Replaced float64 // ms from the order to replace it until an empty one voted
	Start    float64 // ms from its start until it knew who leads
}

// Late keeps a keeper away for a time under load, and then replaces it by an empty one.
func Late(ctx context.Context, o Options, away time.Duration, rate int) (l Lateness, err error) {
	c, _, err := grown(ctx, o, 3, true, "")
	if err != nil {
		return l, err
	}
	defer c.Close()
	lead, err := c.lead(ctx)
	if err != nil {
		return l, err
	}
	victim := "k0"
	if lead.Name == victim {
		victim = "k1"
	}
	c.Kill(victim)
	log := client.New(c.settings("late"))
	defer log.Close()
	due := make(chan int)
	var work sync.WaitGroup
	for range loadWorkers {
		work.Go(func() {
			for i := range due {
				_, _ = log.Do(ctx, statemachine.ComponentRegister, statemachine.Set{Name: fmt.Sprint("n", i%500), Value: fmt.Sprintf("%0100d", i)}) // counted below
			}
		})
	}
	begin := time.Now()
	for i := 0; time.Since(begin) < away; i++ {
		time.Sleep(time.Until(begin.Add(time.Duration(i) * time.Second / time.Duration(rate))))
		due <- i
	}
	close(due)
	work.Wait()
	now, err := c.lead(ctx)
	if err != nil {
		return l, err
	}
	l.Away, l.Entries = away.Seconds(), int(now.Applied-lead.Applied)
	at := time.Now()
	if err := c.Start(victim); err != nil {
		return l, err
	}
	if _, err := c.until(ctx, victim, func(s *protocol.State) bool { return s.Leader != "" }); err != nil {
		return l, err
	}
	l.Start = float64(time.Since(at)) / 1e6
	if _, err := c.until(ctx, victim, func(s *protocol.State) bool { return s.Applied >= now.Applied }); err != nil {
		return l, err
	}
	l.CatchUp = float64(time.Since(at)) / 1e6
	c.Kill(victim)
	if err := c.Wipe(victim); err != nil {
		return l, err
	}
	if err := c.Start(victim); err != nil {
		return l, err
	}
	at = time.Now()
	err = c.Replace(ctx, victim)
	l.Replaced = float64(time.Since(at)) / 1e6
	return l, err
}

// Burden is what keepers carry.
type Burden struct {
	Names    int
	Seconds  float64 // that they took
	Memory   float64 // resident, MB, the largest keeper
	Disk     float64 // MB, of that one
	Longest  float64 // ms that one command took at the most, images being made meanwhile
	Endless  int     // further commands that leave nothing behind
	MemoryBy []float64
}

// Carry has names of charges taken and ended with answers of 200 bytes, and then commands go on that leave nothing behind: memory must
// not grow with them.
func Carry(ctx context.Context, o Options, names, endless int) (b Burden, err error) {
	c, keepers, err := grown(ctx, o, 3, true, "synced = false")
	if err != nil {
		return b, err
	}
	defer c.Close()
	b.Names, b.Endless = names, endless
	began := time.Now()
	var longest atomic.Int64
	do := func(n int, each func(log *client.Client, i int) error) error {
		var next, failed atomic.Int64
		var work sync.WaitGroup
		for j := range loadClients {
			log := client.New(c.settings(fmt.Sprint("carry", j)))
			defer log.Close()
			for range loadWorkers {
				work.Go(func() {
					for i := next.Add(1); i <= int64(n) && ctx.Err() == nil; i = next.Add(1) {
						at := time.Now()
						if each(log, int(i)) != nil {
							failed.Add(1)
						}
						raise(&longest, int64(time.Since(at)))
					}
				})
			}
		}
		work.Wait()
		if failed.Load() > 0 {
			return fmt.Errorf("%d of %d commands were not agreed", failed.Load(), n)
		}
		return ctx.Err()
	}
	body := make([]byte, 200)
	err = do(names, func(log *client.Client, i int) error {
		name := make([]byte, 16)
		binary.BigEndian.PutUint64(name, uint64(i))
		one, stop := context.WithTimeout(ctx, 10*time.Second)
		defer stop()
		if _, err := log.Do(one, statemachine.ComponentCalls, statemachine.ClaimCommand(statemachine.Claim{Name: name, Fingerprint: name, Tenant: fmt.Sprint(i % 20),
			AnsweredWindow: 3.6e6, InDoubtWindow: 3.6e6, RunTimeout: 60000, Node: "n", Incarnation: 1, Token: uint64(i)})); err != nil {
			return err
		}
		_, err := log.Do(one, statemachine.ComponentCalls, statemachine.CompletionCommand(statemachine.Completion{Name: name, Token: uint64(i), Outcome: statemachine.OutcomeServed, Body: body}))
		return err
	})
	b.Seconds, b.Longest = time.Since(began).Seconds(), float64(longest.Load())/1e6
	if err != nil {
		return b, err
	}
	weigh := func() error {
		u, err := c.used(ctx, keepers)
		b.MemoryBy = append(b.MemoryBy, u.memory)
		return err
	}
	if err := weigh(); err != nil {
		return b, err
	}
	b.Memory = b.MemoryBy[0]
	for _, k := range c.keepers {
		size, err := bytesIn(k.dir)
		if err != nil {
			return b, err
		}
		b.Disk = max(b.Disk, float64(size)/(1<<20))
	}
	for range 4 {
		err := do(endless/4, func(log *client.Client, i int) error {
			one, stop := context.WithTimeout(ctx, 10*time.Second)
			defer stop()
			_, err := log.Do(one, statemachine.ComponentRegister, statemachine.Set{Name: fmt.Sprint("e", i%100), Value: "x"})
			return err
		})
		if err == nil {
			err = weigh()
		}
		if err != nil {
			return b, err
		}
	}
	return b, nil
}

// raise sets the highest value so far.
func raise(highest *atomic.Int64, v int64) {
	for was := highest.Load(); v > was && !highest.CompareAndSwap(was, v); was = highest.Load() {
	}
}

// bytesIn is the size of all files in a folder.
func bytesIn(dir string) (size int64, err error) {
	err = filepath.WalkDir(dir, func(_ string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		info, err := d.Info()
		if err == nil {
			size += info.Size()
		}
		return nil // a file that has just gone is no matter
	})
	return size, err
}
