// Package policies plays changes of a fleet's policy on real processes: nodes that judge by the agreed policy, keepers, clients
// of two tenants, and faults. Each document admits one tenant and refuses the other, the odd numbers morava, the even ones
// vltava, so that each answer shows from outside which kind of number it was judged by.
package policies

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"linenwheel.dev/linenwheel/internal/node/consensus/client"
	"linenwheel.dev/linenwheel/internal/node/rollout"
	"linenwheel.dev/linenwheel/internal/node/statemachine"
	"linenwheel.dev/linenwheel/lab/circle"
	"linenwheel.dev/linenwheel/lab/site"
)

// Settings describe a play.
type Settings struct {
	Node    string // the node's program,
	Keeper  string // and the keeper's
	Dir     string
	Nodes   int
	Keepers int
	Clients int               // of each node, which ask one call after the other
	Rate    float64           // calls a second of all clients together, timed from when they are due; 0 = one after the other
	Calm    time.Duration     // before the first change, timed by itself
	Changes int               // that must come to an end
	Until   func(Result) bool // changes go on until it says that the play has met what it is for; nil = Changes are all
	Every   time.Duration     // from the beginning of a change to that of the next; 0 = Pause after its end
	Pause   time.Duration     // between two changes
	Faults  bool              // one with each change, at a step of it that chance draws
	Kinds   []string          // of faults; nil = all
	Lease   time.Duration
	GoesOn  bool
	Alone   bool // nodes read a file each at a SIGHUP of their own, as without a fleet: the judge must find it
	Seed    uint64
}

// Result is what became of it.
type Result struct {
	Calls    int            `json:"calls"`
	Broken   []string       `json:"broken"`  // pairs of calls that no number explains, and changes that did not end
	Answers  map[string]int `json:"answers"` // admitted, refused, held away, failed
	Agreed   int            `json:"agreed"`
	Refused  int            `json:"refused"`
	Faults   map[string]int `json:"faults"`
	Struck   map[string]int `json:"struck"`    // the same, by the step of the change that they came in
	ChangeMs []float64      `json:"change_ms"` // from the proposal to its end, sorted
	Times    Times          `json:"times"`     // of calls since the first change,
	Calm     Times          `json:"calm"`      // and before
}

// Times are those of calls, ms.
type Times struct {
	P50     float64 `json:"p50_ms"`
	P99     float64 `json:"p99_ms"`
	Longest float64 `json:"longest_ms"`
}

func timesOf(ms []float64) (t Times) {
	slices.Sort(ms)
	if n := len(ms); n > 0 {
		t = Times{ms[n/2], ms[n*99/100], ms[n-1]}
	}
	return t
}

// The steps of a change that faults are made in. Looking and pausing are known from outside some ms late.
var steps = []string{"proposed", string(rollout.Validating), string(rollout.Pausing), "over"}

var tenants = [2]string{"vltava", "morava"} // admitted by even, odd numbers

// document admits one tenant alone.
func document(number uint64) string {
	out := tenants[(number+1)%2]
	return fmt.Sprintf("[quota]\nrequests = 100000\n[[quota.node]]\nname = %q\nrequests = 90000\n[[quota.node]]\nname = %q\nceiling_requests = 0.000001\n"+
		"borrows = false\nburst = \"1ms\"\n", tenants[number%2], out)
}

// text is a node's options: alone, with the document of a number.
func (s *Settings) text(number uint64) string {
	quota := "[quota]\non = true\nlearn = false\n"
	if s.Alone {
		return quota + document(number)[len("[quota]\n"):]
	}
	without := "refuse"
	if s.GoesOn {
		without = "go-on"
	}
	return quota + fmt.Sprintf("[policy]\non = true\nlease = %q\nhold = \"2s\"\nwithout = %q\n", s.Lease, without)
}

// call is one that was judged: odd tells by which kind of number.
type call struct {
	began, ended float64 // ms
	odd          bool
	node         int
}

type play struct {
	*site.Site
	set    Settings
	nodes  []*site.Node
	begin  time.Time
	number atomic.Uint64
	step   atomic.Pointer[string] // of the change that is under way, or was last

	mu     sync.Mutex
	calls  []call
	times  []float64
	calm   int // how many of them there were before the first change
	result Result
}

func (p *play) ms() float64 { return float64(time.Since(p.begin)) / 1e6 }

func (p *play) fault(format string, v ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.result.Broken) < 10 {
		p.result.Broken = append(p.result.Broken, fmt.Sprintf("%.0f ms: ", p.ms())+fmt.Sprintf(format, v...))
	}
}

// Play plays until the changes have ended, or ctx does, which is a fault.
func Play(ctx context.Context, set Settings) (Result, error) {
	p := &play{set: set, begin: time.Now(), result: Result{Answers: map[string]int{}, Faults: map[string]int{}, Struck: map[string]int{}}}
	p.step.Store(&steps[3])
	for _, kind := range set.Kinds {
		if !slices.Contains(Kinds, kind) {
			return p.result, fmt.Errorf("there is no fault %q", kind)
		}
	}
	var err error
	if p.Site, err = site.New(ctx, site.Options{Node: set.Node, Keeper: set.Keeper, Dir: set.Dir, Keepers: set.Keepers, Raters: 1, Group: set.Nodes,
		Tenants: tenants[:], Text: set.text(1)}); err != nil {
		return p.result, err
	}
	defer p.Close()
	log := client.New(p.Keepers.Settings("policies"))
	defer log.Close()
	p.number.Store(1)
	if !set.Alone { // before the first node asks
		if err := p.change(ctx, log, 1); err != nil {
			return p.result, err
		}
	}
	for i := range set.Nodes {
		n, err := p.Add(ctx, fmt.Sprint("n", i))
		if err != nil {
			return p.result, err
		}
		p.nodes = append(p.nodes, n)
	}
	over := make(chan struct{})
	var work sync.WaitGroup
	for i := range p.nodes {
		for j := range set.Clients {
			work.Go(func() { p.ask(i, j, over) })
		}
	}
	luck := rand.New(rand.NewPCG(set.Seed, 8))
	if set.Calm > 0 {
		time.Sleep(set.Calm)
		p.mu.Lock()
		p.calm = len(p.times)
		p.mu.Unlock()
	}
	due := time.Now()
	for ctx.Err() == nil && !p.enough() {
		if set.Every > 0 {
			due = due.Add(set.Every)
			time.Sleep(time.Until(due))
		} else {
			time.Sleep(set.Pause)
		}
		var faults sync.WaitGroup
		p.step.Store(&steps[0])
		if set.Faults {
			faults.Go(func() {
				at := steps[luck.IntN(len(steps))]
				for s := *p.step.Load(); s != at && s != steps[3] && ctx.Err() == nil; s = *p.step.Load() {
					time.Sleep(time.Millisecond)
				}
				time.Sleep(time.Duration(luck.IntN(8)) * time.Millisecond)
				p.strike(ctx, luck)
			})
		}
		if set.Alone {
			p.alone(luck)
		} else if err := p.change(ctx, log, p.number.Load()+1); err != nil {
			p.fault("%v", err)
			break
		}
		p.step.Store(&steps[3])
		faults.Wait()
	}
	if set.Alone {
		time.Sleep(set.Pause)
	}
	close(over)
	work.Wait()
	p.judge()
	return p.result, nil
}

// enough tells whether the play has met what it is for.
func (p *play) enough() bool {
	p.mu.Lock()
	now := p.result
	p.mu.Unlock()
	if p.set.Until == nil {
		return now.Agreed+now.Refused > p.set.Changes
	}
	if p.set.Alone {
		now.Broken = p.over()
	}
	return p.set.Until(now)
}

// alone has each node read the next document for itself, one after the other.
func (p *play) alone(luck *rand.Rand) {
	next := p.number.Add(1)
	for _, i := range luck.Perm(len(p.nodes)) {
		if n := p.nodes[i]; n.SetText(p.set.text(next)) == nil {
			_ = n.Hup() // one that does not run reads it when it starts
		}
		time.Sleep(5 * time.Millisecond)
	}
	p.result.Agreed++
}

// change proposes the next document, and asks what became of it until that is known.
func (p *play) change(ctx context.Context, log *client.Client, number uint64) error {
	began := time.Now()
	id := fmt.Sprintf("p%d-%d", number, len(p.result.ChangeMs)+p.result.Refused)
	proposal := rollout.Proposal{ID: id, Text: document(number), Base: number - 1, By: "the lab"}
	for {
		if ctx.Err() != nil {
			return fmt.Errorf("%s does not come to an end", id)
		}
		one, stop := context.WithTimeout(ctx, 2*time.Second)
		r, err := log.Do(one, statemachine.ComponentPolicy, statemachine.PolicyCommand{Propose: &proposal}) // again, it tells what became of it
		stop()
		var o rollout.Outcome
		if err != nil || json.Unmarshal(r.Body, &o) != nil {
			continue
		}
		p.mu.Lock()
		switch o.Stage {
		case rollout.Activated:
			p.result.Agreed++
			p.number.Store(o.Number)
			p.result.ChangeMs = append(p.result.ChangeMs, float64(time.Since(began))/1e6)
			p.mu.Unlock()
			if o.Number != number {
				return fmt.Errorf("%s became number %d, not %d", id, o.Number, number)
			}
			return nil
		case rollout.Rejected:
			p.result.Refused++
			p.mu.Unlock()
			return nil
		}
		p.mu.Unlock()
		at := string(o.Stage)
		p.step.Store(&at)
		time.Sleep(5 * time.Millisecond)
	}
}

// Kinds are those of faults.
var Kinds = []string{"node killed", "node ended", "node stopped", "node stopped for long", "node cut", "node stalled", "keeper killed", "leader killed", "keeper cut",
	"leader deaf", "all nodes killed", "keeper's older copy"}

// strike makes one fault and waits until it is over.
//
//nolint:funlen // one case a kind, each a few lines
func (p *play) strike(ctx context.Context, luck *rand.Rand) {
	kinds := p.set.Kinds
	if kinds == nil {
		kinds = Kinds
	}
	kind := kinds[luck.IntN(len(kinds))]
	p.mu.Lock()
	p.result.Faults[kind]++
	p.result.Struck[*p.step.Load()]++
	p.mu.Unlock()
	n, keeper := p.nodes[luck.IntN(len(p.nodes))], fmt.Sprint("k", luck.IntN(p.set.Keepers))
	short := time.Duration(50+luck.IntN(300)) * time.Millisecond
	lead := kind == "leader killed" || kind == "leader deaf"
	if lead { // it ends once another one leads, however soon that is
		if name, err := p.Keepers.Leader(ctx); err == nil {
			keeper = name
		}
	}
	var err error
	switch kind {
	case "node killed":
		n.Kill()
		err = n.Start(ctx)
	case "node ended":
		n.End()
		err = n.Start(ctx)
	case "node cut", "node stalled": // from the keepers, not from its clients
		n.Trouble(circle.Trouble{Refuse: kind == "node cut", Stall: kind == "node stalled"})
		time.Sleep(short + time.Duration(luck.IntN(2))*p.set.Lease)
		n.Trouble(circle.Trouble{})
	case "node stopped", "node stopped for long":
		if kind == "node stopped for long" { // it wakes into a world that has gone on
			short += 2 * p.set.Lease
		}
		if err = n.Pause(true); err == nil {
			time.Sleep(short)
			err = n.Pause(false)
		}
	case "all nodes killed":
		for _, n := range p.nodes {
			n.Kill()
		}
		starts := make([]error, len(p.nodes))
		var all sync.WaitGroup
		for i, n := range p.nodes {
			all.Go(func() { starts[i] = n.Start(ctx) })
		}
		all.Wait()
		err = errors.Join(starts...)
	case "keeper's older copy":
		for _, do := range []func() error{func() error { return p.Keepers.Older(ctx, keeper) }, func() error { return p.Keepers.Wipe(keeper) },
			func() error { return p.Keepers.Start(keeper) }, func() error { return p.Keepers.Replace(ctx, keeper) }} {
			if err == nil {
				err = do()
			}
		}
	case "keeper killed", "leader killed":
		p.Keepers.Kill(keeper)
		time.Sleep(short)
		if lead {
			err = p.Keepers.Moved(ctx, keeper)
		}
		if err = errors.Join(err, p.Keepers.Start(keeper)); err == nil {
			err = p.Keepers.Caught(ctx, keeper)
		}
	default:
		p.Keepers.Trouble(keeper, kind == "keeper cut", true, circle.Trouble{Refuse: true})
		time.Sleep(short)
		if lead {
			err = p.Keepers.Moved(ctx, keeper)
		}
		p.Keepers.Trouble(keeper, true, true, circle.Trouble{})
		err = errors.Join(err, p.Keepers.Caught(ctx, keeper))
	}
	if err != nil && ctx.Err() == nil {
		p.fault("%s: %v", kind, err)
	}
}

// ask is one client of a node.
func (p *play) ask(at, number int, over <-chan struct{}) {
	n := p.nodes[at]
	web := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer web.CloseIdleConnections()
	between := 0.0 // ms from one call to the next
	if p.set.Rate > 0 {
		between = 1000 * float64(len(p.nodes)*p.set.Clients) / p.set.Rate
	}
	due := p.ms() + between*float64(at+number*len(p.nodes))/float64(len(p.nodes)*p.set.Clients)
	for i := 0; ; i++ {
		select {
		case <-over:
			return
		case <-time.After(time.Duration(max(0, due-p.ms()) * 1e6)):
		}
		odd := (i+number)%2 == 1
		tenant := tenants[0]
		if odd {
			tenant = tenants[1]
		}
		began := p.ms()
		if between == 0 {
			due = began
		}
		wanted := due
		due += between
		said := n.Post(web, tenant, fmt.Sprintf("%d-%d-%d", at, number, i), fmt.Sprintf("%d-%d-%d", at, number, i), 3*time.Second)
		if said.Status == 0 {
			p.note("failed", call{}, 0)
			time.Sleep(5 * time.Millisecond)
			continue
		}
		c := call{began, p.ms(), odd, at}
		switch said.Status {
		case 200:
			p.note("admitted", c, c.ended-wanted)
		case 429:
			c.odd = !odd // the other one is admitted
			p.note("refused", c, c.ended-wanted)
		default:
			p.note(fmt.Sprintf("status %d", said.Status), call{}, 0)
			time.Sleep(5 * time.Millisecond)
		}
	}
}

func (p *play) note(kind string, c call, took float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.result.Answers[kind]++
	if took > 0 {
		p.calls, p.times = append(p.calls, c), append(p.times, took)
	}
}

// judge holds the calls against the words: there must be moments, one for each change, such that every call was judged by the
// number that held at some moment while it was under way. With documents that alternate this is: sorted by time, the calls must
// admit a cut into at most one run of each number. The least number that each call can have had is found from the ends of those
// before it: a call that began after one ended that was judged by number n was judged by n or a later one.
func (p *play) judge() {
	r := &p.result
	r.Calls = len(p.calls)
	r.Broken = append(r.Broken, p.over()...)
	r.Calm, r.Times = timesOf(p.times[:p.calm]), timesOf(p.times[p.calm:])
	slices.Sort(r.ChangeMs)
}

// over tells of calls that were judged by a number that was over, as far as there are calls.
func (p *play) over() []string {
	p.mu.Lock()
	calls := slices.Clone(p.calls)
	p.mu.Unlock()
	slices.SortFunc(calls, func(a, b call) int { return int(min(1, max(-1, (a.began-b.began)*1e9))) })
	type ended struct {
		at     float64
		number int
	}
	var done []ended // by end, with the least number of all that ended until then
	least := func(began float64) int {
		i, _ := slices.BinarySearchFunc(done, began, func(e ended, t float64) int {
			if e.at < t {
				return -1
			}
			return 1
		})
		if i == 0 {
			return 0
		}
		return done[i-1].number
	}
	most := 0
	for _, c := range calls {
		n := least(c.began)
		if n%2 == 1 != c.odd {
			n++ // it was judged by a later one
		}
		if n > most {
			most = n
		}
		i, _ := slices.BinarySearchFunc(done, c.ended, func(e ended, t float64) int {
			if e.at < t {
				return -1
			}
			return 1
		})
		done = slices.Insert(done, i, ended{c.ended, n})
		if i > 0 {
			done[i].number = max(done[i].number, done[i-1].number)
		}
		for j := i + 1; j < len(done) && done[j].number < done[i].number; j++ {
			done[j].number = done[i].number
		}
	}
	if held := int(p.number.Load()); most > held {
		return []string{fmt.Sprintf("the calls need %d numbers one after the other, and there were %d: some were judged by one that was "+
			"over", most, held)}
	}
	return nil
}
