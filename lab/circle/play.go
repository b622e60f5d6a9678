package circle

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"linenwheel.dev/linenwheel/internal/node/consensus/client"
	"linenwheel.dev/linenwheel/internal/node/consensus/protocol"
	"linenwheel.dev/linenwheel/internal/node/consensus/transport"
	"linenwheel.dev/linenwheel/internal/node/statemachine"
	"linenwheel.dev/linenwheel/lab/circle/judge"
)

// Schedule is a play: clients that ask, and faults that come.
type Schedule struct {
	Name    string   `toml:"name"`
	About   string   `toml:"about"`
	Keepers int      `toml:"keepers"` // that are founded
	Spare   int      `toml:"spare"`   // machines beside them, for members that join
	Clients int      `toml:"clients"`
	Asks    int      `toml:"asks"`  // of each client, and more until the last fault has come
	Extra   []string `toml:"extra"` // lines of the keepers' table peers
	Faults  []Fault  `toml:"fault"`
	Met     []string `toml:"met"` // states that must have been met, else the play tested nothing
	Seed    uint64   `toml:"seed"`
	Before  bool     `toml:"before"` // the first members run the release before
}

// Fault is one, at a place in the play.
type Fault struct {
	After  int    `toml:"after"` // it comes once so many asks were told
	Kind   string `toml:"kind"`
	On     string `toml:"on"`     // leader, follower, all, or a keeper's name; empty = drawn
	For    int    `toml:"for"`    // ms until it ends
	Beside bool   `toml:"beside"` // it comes while those before still hold, else once they have ended
}

// Kinds are those of faults.
var Kinds = map[string]func(*play, Fault, []string) error{
	"kill":    (*play).kill,
	"end":     (*play).end,
	"stop":    (*play).stop,
	"burn":    (*play).burn,
	"wipe":    (*play).wipe,
	"orphan":  (*play).orphan,
	"before":  changeRelease(true),
	"after":   changeRelease(false),
	"older":   (*play).older,
	"returns": (*play).returns,
	"forsake": (*play).forsake,
	"fill":    (*play).fill,
	"add":     (*play).addOne,
	"remove":  (*play).removeOne,
	"stray":   (*play).stray,
	"cut":     trouble(true, true, Trouble{Refuse: true}),
	"cut-out": trouble(true, false, Trouble{Refuse: true}),
	"cut-in":  trouble(false, true, Trouble{Refuse: true}),
	"stall":   trouble(true, true, Trouble{Stall: true}),
	"half":    trouble(true, false, Trouble{Stall: true}),
	"delay":   trouble(true, true, Trouble{Delay: 40}),
	"jitter":  trouble(true, true, Trouble{Delay: 5, Jitter: 80}),
	"slow":    trouble(true, true, Trouble{Rate: 20000}),
	"loss":    trouble(true, true, Trouble{Loss: 0.15}),
	"tear":    trouble(true, true, Trouble{Tear: true}),
}

// Result is what became of a play.
type Result struct {
	Broken []string       `json:"broken"` // what the judge found; none = sound
	Counts map[string]int `json:"counts"`
	Asked  int            `json:"asked"`
	Told   int            `json:"told"`
	States []string       `json:"states,omitempty"` // of a broken play: how each keeper was at its end
}

// play is one under way.
type play struct {
	*Circle
	s       *Schedule
	ctx     context.Context
	luck    *rand.Rand
	voters  []string
	begin   time.Time
	told    atomic.Int64
	wake    chan struct{}
	over    chan struct{}     // closed when the faults have ended
	endings chan func() error // of faults, carried out by the one goroutine that makes them
	pending int
	lost    map[string]bool // keepers that are away for the moment, or for good
	broken  []string
	mu      sync.Mutex
	history []judge.Ask
}

// Play plays a schedule to its end, or until ctx ends, which is a fault.
func Play(ctx context.Context, s *Schedule, o Options) (Result, error) {
	var names []string
	for i := range s.Keepers + s.Spare {
		names = append(names, fmt.Sprintf("k%d", i))
	}
	o.Extra = strings.Join(append(slices.Clone(s.Extra), o.Extra), "\n")
	c, err := New(names, o)
	if err != nil {
		return Result{}, err
	}
	defer c.Close()
	p := &play{Circle: c, s: s, ctx: ctx, luck: rand.New(rand.NewPCG(s.Seed, 5)), voters: names[:s.Keepers], begin: time.Now(),
		wake: make(chan struct{}, 1), over: make(chan struct{}), endings: make(chan func() error, 64), lost: map[string]bool{}}
	for _, n := range p.voters {
		c.Release(n, s.Before)
	}
	if err := c.Found(ctx, p.voters); err != nil {
		return Result{States: c.states()}, err
	}
	var clients sync.WaitGroup
	for i := range s.Clients {
		clients.Go(func() { p.ask(i) })
	}
	if err := p.faults(); err != nil {
		p.fault("%v", err)
	}
	close(p.over)
	clients.Wait()
	p.settle()
	faults := judge.Judge(p.history)
	p.broken = append(p.broken, faults[:min(len(faults), mostBroken)]...)
	r := Result{Broken: p.broken, Counts: c.counts.n, Asked: len(p.history), Told: int(p.told.Load())}
	for _, kind := range s.Met {
		if r.Counts[kind] == 0 {
			r.Broken = append(r.Broken, fmt.Sprintf("%q was never met: the play tested nothing", kind))
		}
	}
	if len(r.Broken) > 0 {
		r.States = c.states()
	}
	return r, nil
}

// mostBroken is how much of what went wrong is told.
const mostBroken = 20

func (p *play) fault(format string, v ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.broken) >= mostBroken {
		return
	}
	p.broken = append(p.broken, fmt.Sprintf("%.3f s: ", time.Since(p.begin).Seconds())+fmt.Sprintf(format, v...))
}

func (p *play) now() float64 { return float64(time.Since(p.begin)) / 1e6 }

// ask is one client: it asks until it has asked enough and the faults are over.
func (p *play) ask(number int) {
	log := client.New(p.settings(fmt.Sprintf("c%d", number)))
	defer log.Close()
	luck := rand.New(rand.NewPCG(p.s.Seed, uint64(number)))
	seen := map[string]uint64{}
	for i := 0; p.ctx.Err() == nil; i++ {
		select {
		case <-p.over:
			if i >= p.s.Asks {
				return
			}
		default:
		}
		a := judge.Ask{Client: number, Name: fmt.Sprintf("r%d-%d", luck.IntN(3), i/30%300), Called: p.now(), Told: math.Inf(1)}
		ctx, stop := context.WithTimeout(p.ctx, 4*time.Second)
		var r statemachine.Reply
		var err error
		if a.Read = luck.IntN(3) == 0; a.Read {
			r, err = log.Read(ctx, statemachine.ComponentRegister, statemachine.Get{Name: a.Name})
		} else {
			a.Value = fmt.Sprintf("c%d-%d", number, i)
			set := statemachine.Set{Name: a.Name, Value: a.Value}
			if a.Based = luck.IntN(3) == 0; a.Based {
				a.Was = seen[a.Name]
				set.ExpectedNumber = &a.Was
			}
			r, err = log.Do(ctx, statemachine.ComponentRegister, set)
		}
		stop()
		var v statemachine.Value
		switch {
		case errors.Is(err, client.ErrNoQuorum):
			p.counts.add("met: an ask that nobody took")
			continue // it changed nothing, and told nothing
		case err != nil:
			p.counts.add("met: an ask of which nothing is known")
		default:
			if err := json.Unmarshal(r.Body, &v); err != nil {
				p.fault("a body that cannot be read: %s", r.Body)
			}
			a.Told, a.Number, a.Clash = p.now(), v.Number, r.Code == statemachine.Conflict
			if seen[a.Name] = v.Number; a.Read {
				a.Value = v.Value
			} else if r.Code != statemachine.OK && !a.Clash {
				p.fault("%s: %s", r.Code, r.Text)
			}
			p.told.Add(1)
			select {
			case p.wake <- struct{}{}:
			default:
			}
		}
		p.mu.Lock()
		p.history = append(p.history, a)
		p.mu.Unlock()
	}
}

// faults makes them, each at its place, and waits until all have ended.
func (p *play) faults() error {
	for i, f := range p.s.Faults {
		for int(p.told.Load()) < f.After || p.pending > 0 && !f.Beside {
			select {
			case <-p.wake:
			case end := <-p.endings:
				if err := p.ended(end); err != nil {
					return err
				}
			case <-p.ctx.Done():
				return fmt.Errorf("fault %d (%s) waits for %d asks to be told, %d were, and for %d faults to end", i+1, f.Kind, f.After,
					p.told.Load(), p.pending)
			}
		}
		make := Kinds[f.Kind]
		if make == nil {
			return fmt.Errorf("fault %d: there is no kind %q", i+1, f.Kind)
		}
		names, err := p.victims(f.On)
		if err != nil {
			return fmt.Errorf("fault %d (%s): %w", i+1, f.Kind, err)
		}
		p.counts.add("fault: " + f.Kind)
		if err := make(p, f, names); err != nil {
			return fmt.Errorf("fault %d (%s on %v): %w", i+1, f.Kind, names, err)
		}
	}
	for p.pending > 0 {
		select {
		case end := <-p.endings:
			if err := p.ended(end); err != nil {
				return err
			}
		case <-p.ctx.Done():
			return errors.New("faults do not end")
		}
	}
	return nil
}

func (p *play) ended(end func() error) error {
	p.pending--
	return end()
}

// later has a fault end after its time.
func (p *play) later(f Fault, end func() error) {
	p.pending++
	time.AfterFunc(time.Duration(max(f.For, 1))*time.Millisecond, func() { p.endings <- end })
}

// victims are the keepers that a fault strikes.
func (p *play) victims(on string) ([]string, error) {
	switch on {
	case "all":
		return slices.Clone(p.voters), nil
	case "", "leader", "follower":
		lead, err := p.lead(p.ctx)
		if err != nil {
			return nil, err
		}
		if on == "leader" || on == "" && p.luck.IntN(2) == 0 {
			p.counts.add("met: a fault of the leader")
			return []string{lead.Name}, nil
		}
		rest := slices.DeleteFunc(slices.Clone(p.voters), func(n string) bool { return n == lead.Name || p.lost[n] })
		if len(rest) == 0 {
			return nil, errors.New("no keeper follows")
		}
		return []string{rest[p.luck.IntN(len(rest))]}, nil
	}
	if p.find(on) == nil {
		return nil, fmt.Errorf("there is no keeper %q", on)
	}
	return []string{on}, nil
}

func (p *play) kill(f Fault, names []string) error {
	for _, n := range names {
		p.Kill(n)
		p.lost[n] = true
	}
	p.later(f, func() error { return p.back(names) })
	return nil
}

func (p *play) end(f Fault, names []string) error {
	for _, n := range names {
		p.End(n)
		p.lost[n] = true
	}
	p.later(f, func() error { return p.back(names) })
	return nil
}

// changeRelease has keepers end and come back with the release before, or with this one.
func changeRelease(before bool) func(*play, Fault, []string) error {
	return func(p *play, f Fault, names []string) error {
		for _, n := range names {
			p.Release(n, before)
		}
		return p.end(f, names)
	}
}

func (p *play) back(names []string) error {
	for _, n := range names {
		delete(p.lost, n)
		if err := p.Start(n); err != nil {
			return err
		}
	}
	return nil
}

func (p *play) stop(f Fault, names []string) error {
	for _, n := range names {
		p.Pause(n, true)
		p.lost[n] = true
	}
	p.later(f, func() error {
		for _, n := range names {
			p.Pause(n, false)
			delete(p.lost, n)
		}
		return nil
	})
	return nil
}

// burn ends a keeper and deletes its folder; then an empty one takes its place.
func (p *play) burn(f Fault, names []string) error {
	for _, n := range names {
		p.Kill(n)
		p.lost[n] = true
		if err := p.Wipe(n); err != nil {
			return err
		}
	}
	p.later(f, func() error {
		if err := p.back(names); err != nil {
			return err
		}
		for _, n := range names {
			if err := p.Replace(p.ctx, n); err != nil {
				return err
			}
		}
		return nil
	})
	return nil
}

// wipe ends keepers at once and deletes the folder of one: it comes back with the others, empty, and gets its vote by being replaced.
func (p *play) wipe(f Fault, names []string) error {
	empty := names[p.luck.IntN(len(names))]
	for _, n := range names {
		p.Kill(n)
		p.lost[n] = true
	}
	if err := p.Wipe(empty); err != nil {
		return err
	}
	p.later(f, func() error {
		if err := p.back(names); err != nil {
			return err
		}
		return p.Replace(p.ctx, empty)
	})
	return nil
}

// orphan has a keeper taken in, and kills the leader that took the order while the change is under way: the newcomer stands still, so
// that it cannot be over.
func (p *play) orphan(f Fault, names []string) error {
	n := names[0]
	if err := p.Start(n); err != nil {
		return err
	}
	fresh, err := p.until(p.ctx, n, func(*protocol.State) bool { return true })
	if err != nil {
		return err
	}
	p.Pause(n, true)
	defer p.Pause(n, false)
	m := statemachine.Member{ID: fresh.ID, Name: n, Address: p.find(n).address}
	for {
		lead, err := p.lead(p.ctx)
		if err != nil {
			return fmt.Errorf("%s is not taken in: %w", n, err)
		}
		have := slices.IndexFunc(lead.Members, func(have protocol.Member) bool { return have.ID == m.ID })
		switch {
		case have < 0:
			_, _ = client.Call(p.ctx, p.settings("rig"), client.Replica{Name: lead.Name, Address: p.find(lead.Name).address},
				protocol.Request{Kind: protocol.AddLearner, Members: []statemachine.Member{m}}) // it is tried again
		case lead.Members[have].Role != statemachine.Learner: // to wait on would be for ever
			return fmt.Errorf("%s stands still and has learnt nothing, and its role is %q", n, lead.Members[have].Role)
		default:
			p.counts.add("met: a leader that died with a change of members under way")
			p.Kill(lead.Name)
			p.lost[lead.Name] = true
			p.later(f, func() error {
				if err := p.back([]string{lead.Name}); err != nil {
					return err
				}
				return p.votes(n)
			})
			return nil
		}
	}
}

// older has a keeper live from an older copy of its folder, and an empty one takes its place.
func (p *play) older(f Fault, names []string) error {
	if err := p.Older(p.ctx, names[0]); err != nil {
		return err
	}
	return p.burn(f, names)
}

// returns has a machine come back with its disk that was only away when an empty one took its place and its name: it must be turned
// away, and the one in its place goes on.
func (p *play) returns(_ Fault, names []string) error {
	n := names[0]
	p.End(n)
	if err := errors.Join(p.Copy(n), p.Wipe(n), p.back(names)); err != nil {
		return err
	}
	if err := p.Replace(p.ctx, n); err != nil {
		return err
	}
	p.End(n)
	dir := p.find(n).dir
	if err := errors.Join(os.Rename(dir, dir+".fresh"), p.Restore(n), p.back(names)); err != nil {
		return err
	}
	select {
	case <-p.find(n).process.Done():
		p.counts.add("met: a replaced machine that came back and was turned away")
	case <-p.ctx.Done():
		return errors.New("a replaced machine that comes back is not turned away")
	}
	return errors.Join(os.RemoveAll(dir), os.Rename(dir+".fresh", dir), p.back(names))
}

// forsake cuts a keeper off, has it taken out meanwhile, and lets it hear the others again while it still runs: it must end by itself.
func (p *play) forsake(_ Fault, names []string) error {
	n := names[0]
	p.Trouble(n, true, true, Trouble{Refuse: true})
	if err := p.Remove(p.ctx, n); err != nil {
		return err
	}
	p.voters = slices.DeleteFunc(slices.Clone(p.voters), func(v string) bool { return v == n })
	p.Trouble(n, true, true, Trouble{})
	select {
	case <-p.find(n).process.Done():
		p.counts.add("met: a keeper that was taken out while it was cut off, and ended")
	case <-p.ctx.Done():
		return errors.New("a keeper that was taken out while it was cut off goes on")
	}
	return nil
}

// starts is how often a member has started, as far as is agreed.
func starts(s *protocol.State, id uint64) uint64 {
	for _, m := range s.Members {
		if m.ID == id {
			return m.Starts
		}
	}
	return 0
}

// fill lets a keeper's disk be full: it must end loudly, and comes back when there is room.
func (p *play) fill(f Fault, names []string) error {
	n := names[0]
	if err := p.Fill(n); err != nil {
		return err
	}
	select {
	case <-p.find(n).process.Done():
	case <-p.ctx.Done():
		return errors.New("a keeper whose disk is full goes on")
	}
	log, err := os.ReadFile(filepath.Join(p.o.Dir, n+".log"))
	if err != nil {
		return err
	}
	// Its own log may have reached the same limit: then its status alone tells that it ended by its own will.
	if !strings.Contains(string(log), "disk write failed: replica stops and no longer votes") && p.find(n).process.Exit().Code != 1 {
		return errors.New("a keeper whose disk is full does not say so")
	}
	p.counts.add("met: a keeper that left for its disk")
	p.lost[n] = true
	p.later(f, func() error { return p.back(names) })
	return nil
}

// addOne has a spare machine join.
func (p *play) addOne(_ Fault, names []string) error {
	n := names[0]
	if err := p.Start(n); err != nil {
		return err
	}
	return p.votes(n)
}

// votes waits until a keeper that joins votes.
func (p *play) votes(n string) error {
	if err := p.Replace(p.ctx, n); err != nil {
		return err
	}
	p.voters = append(slices.Clone(p.voters), n)
	p.counts.add("met: one more keeper that votes")
	return nil
}

// removeOne takes a keeper out; it must end by itself once the others turn it away.
func (p *play) removeOne(_ Fault, names []string) error {
	n := names[0]
	if err := p.Remove(p.ctx, n); err != nil {
		return err
	}
	p.End(n) // whether it has noticed or not
	p.voters = slices.DeleteFunc(slices.Clone(p.voters), func(v string) bool { return v == n })
	p.counts.add("met: a keeper that was taken out")
	return nil
}

// stray is somebody who connects and is no keeper of the fleet: one of another fleet, one that claims a frame of 2 GB, one that
// claims to be a keeper that it is not, one that says nothing to the end.
func (p *play) stray(_ Fault, names []string) error {
	address := p.find(names[0]).address
	if _, err := p.until(p.ctx, names[0], func(*protocol.State) bool { return true }); err != nil { // it may have been started just now
		return err
	}
	for _, hello := range []transport.Hello{{Fleet: "other", Name: "x", ID: 5}, {Fleet: fleet, Name: "x", ID: 5},
		{Fleet: fleet, Name: "c", To: "somebody"}} {
		c, _, err := transport.Dial(address, hello, patience)
		if !errors.Is(err, transport.ErrRefused) {
			if c != nil {
				_ = c.Close()
			}
			return fmt.Errorf("%+v is not turned away: %w", hello, err)
		}
		p.counts.add("met: a stranger that was turned away")
	}
	return p.huge(address)
}

// trouble makes a kind of fault of wires. It does not end before it has met a message, where that is counted.
func trouble(out, in bool, t Trouble) func(*play, Fault, []string) error {
	return func(p *play, f Fault, names []string) error {
		before := p.Counts()[t.meets()]
		for _, n := range names {
			p.Trouble(n, out, in, t)
		}
		p.later(f, func() error {
			for t.meets() != "" && p.Counts()[t.meets()] == before {
				select {
				case <-p.ctx.Done():
					return fmt.Errorf("%s never met anything", f.Kind)
				case <-time.After(lookEvery):
				}
			}
			for _, n := range names {
				p.Trouble(n, out, in, Trouble{})
			}
			return nil
		})
		return nil
	}
}

// settle waits until all keepers have come to the same entry, and compares what they hold there.
func (p *play) settle() {
	for {
		lead, err := p.lead(p.ctx)
		if err != nil {
			p.fault("after the faults: %v", err)
			return
		}
		var held []statemachine.Reply
		for _, n := range p.voters {
			if _, err := p.until(p.ctx, n, func(s *protocol.State) bool { return s.Applied >= lead.Applied && s.Leader != "" }); err != nil {
				p.fault("after the faults: %v", err)
				return
			}
			a, err := client.Call(p.ctx, p.look(), client.Replica{Name: n, Address: p.find(n).address},
				protocol.Request{Kind: protocol.LocalRegister})
			if err != nil { // it is slow to answer: the look is made again
				p.counts.add("met: a keeper that was slow to answer")
				break
			}
			held = append(held, *a.Reply)
		}
		if len(held) < len(p.voters) && p.ctx.Err() == nil {
			continue
		}
		if slices.ContainsFunc(held, func(r statemachine.Reply) bool { return r.Index != held[0].Index }) {
			continue // something was agreed meanwhile
		}
		for i, r := range held {
			if string(r.Body) != string(held[0].Body) {
				p.fault("%s and %s hold different things at entry %d", p.voters[0], p.voters[i], r.Index)
			}
		}
		break
	}
	for _, n := range p.voters {
		if s, err := p.state(p.ctx, n); err == nil {
			p.counts.mu.Lock()
			p.counts.n["met: images made"] += int(s.Images)
			p.counts.mu.Unlock()
		}
	}
}
