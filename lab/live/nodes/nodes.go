// Package nodes runs the nodes under test as child processes, as the platform does: started with its environment, stopped,
// killed and told of new files when the day's plan says so, and watched through /proc.
package nodes

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"linenwheel.dev/linenwheel/lab/live/agents"
	"linenwheel.dev/linenwheel/lab/live/clients"
	"linenwheel.dev/linenwheel/lab/live/proc"
	"linenwheel.dev/linenwheel/lab/live/stage"
	"linenwheel.dev/linenwheel/lab/record"
	"linenwheel.dev/linenwheel/lab/world"
)

// Options say how nodes are started.
type Options struct {
	Command string            // for /bin/sh -c
	Dir     string            // of their files and logs
	Env     map[string]string // added to the platform's
	Options string            // text of its own options file, named by LINENWHEEL_OPTIONS; empty = none
}

// All is the nodes of a day.
type All struct {
	stage     *stage.Stage
	sink      *stage.Sink
	front     *clients.Front
	discovery *agents.All
	options   Options
	nodes     []*node
	stop      chan struct{}
	done      sync.WaitGroup
}

type node struct {
	all    *All
	number int
	name   string
	listen string

	mu    sync.Mutex
	now   *life
	lives int
	ready chan struct{} // closed when it was ready first
}

// life is one process of a node.
type life struct {
	*proc.Process
	before *life       // the one that it was to take over from, nil = none
	asked  atomic.Bool // it was told to end
}

const (
	sampleEvery = 500 * time.Millisecond
	killAfter   = 700 * time.Millisecond // and the longest deadline, or 3 s at most
	mostKill    = 3000.0
)

// Start runs all nodes at the addresses that the front knows.
func Start(st *stage.Stage, front *clients.Front, discovery *agents.All, o Options) (*All, error) {
	a := &All{stage: st, sink: st.Sink(), front: front, discovery: discovery, options: o, stop: make(chan struct{})}
	for i := range st.Day.Nodes {
		n := &node{all: a, number: i, name: fmt.Sprintf("n%d", i), listen: front.Address(i), ready: make(chan struct{})}
		a.nodes = append(a.nodes, n)
		if err := n.start(); err != nil {
			a.Close()
			return nil, err
		}
	}
	a.done.Go(a.sample)
	return a, nil
}

// Ready waits until every node has been ready, or for a time.
func (a *All) Ready(within time.Duration) error {
	late := time.After(within)
	for _, n := range a.nodes {
		select {
		case <-n.ready:
		case <-n.current().Done():
			return fmt.Errorf("node %s %v before it was ready: see %s", n.name, n.current().Exit(), n.logPath())
		case <-late:
			return fmt.Errorf("node %s was not ready (GET /up at %s) within %v: see %s", n.name, n.listen, within, n.logPath())
		}
	}
	return nil
}

func (n *node) dir() string     { return filepath.Join(n.all.options.Dir, n.name) }
func (n *node) logPath() string { return filepath.Join(n.all.options.Dir, n.name+".log") }

func (n *node) current() *life {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.now
}

func (n *node) event(kind record.Kind) record.Event {
	return record.Event{At: n.all.stage.Clock.Now(), Kind: kind, Node: int16(n.number), Rater: record.None}
}

// spec says how the node's next process is started, under the lock, and puts its files in place.
func (n *node) spec() (proc.Spec, error) {
	a, o := n.all, &n.all.options
	n.lives++
	spec := proc.Spec{Name: n.name, Command: o.Command, Listen: n.listen, Discovery: a.discovery.Address(n.number), Dir: n.dir(),
		Log: n.logPath()}
	for _, k := range slices.Sorted(maps.Keys(o.Env)) {
		spec.Env = append(spec.Env, k+"="+o.Env[k])
	}
	if err := spec.WriteConfig(n.text(n.lives)); err != nil {
		return spec, err
	}
	if o.Options != "" {
		path := filepath.Join(spec.Dir, "options.toml")
		if err := os.WriteFile(path, []byte(o.Options), 0o644); err != nil {
			return spec, err
		}
		spec.Env = append(spec.Env, "LINENWHEEL_OPTIONS="+path)
	}
	return spec, nil
}

// start begins a life of the node.
func (n *node) start() error {
	a := n.all
	n.mu.Lock()
	defer n.mu.Unlock()
	spec, err := n.spec()
	if err != nil {
		return err
	}
	a.discovery.Started(n.number)
	p, err := proc.Start(spec)
	if err != nil {
		return err
	}
	l := &life{Process: p}
	n.now = l
	a.sink.Add(n.event(record.NodeStarted))
	a.done.Go(func() { n.watch(l) })
	first := n.lives == 1
	a.front.Started(n.number, func() {
		a.sink.Add(n.event(record.NodeReady))
		if first {
			close(n.ready)
		}
	})
	return nil
}

// roll begins the next life of the node beside the present one, which is to end when the next one has taken over. To the
// front, to discovery and to the referee the node is the same one all along.
func (n *node) roll() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	old := n.now
	spec, err := n.spec()
	if err != nil {
		return err
	}
	p, err := proc.Start(spec)
	if err != nil {
		return err
	}
	old.asked.Store(true)
	l := &life{Process: p, before: old}
	n.now = l
	n.all.done.Go(func() { n.watch(l) })
	return nil
}

// watch writes down the end of a process.
func (n *node) watch(l *life) {
	<-l.Done()
	e := n.event(record.NodeEnded)
	if x := l.Exit(); x.Signal != 0 {
		e.Extra = 128 + uint64(x.Signal)
	} else {
		e.Extra = uint64(x.Code)
	}
	if !l.asked.Load() {
		e.How = 1
		n.all.front.Died(n.number)
	}
	n.all.sink.Add(e)
}

func (n *node) signal(s syscall.Signal) {
	e := n.event(record.NodeSignal)
	e.Extra = uint64(s)
	n.all.sink.Add(e)
	if err := n.current().Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		n.all.stage.Fault("signal %v to node %s: %v", s, n.name, err)
	}
}

// Step carries out a step of the plan that is about nodes.
func (a *All) Step(s world.Step) {
	for _, n := range a.nodes {
		if s.Node >= 0 && s.Node != n.number {
			continue
		}
		switch s.Do {
		case world.StopNode:
			n.end(syscall.SIGTERM)
		case world.KillNode:
			n.end(syscall.SIGKILL)
		case world.StartNode:
			n.kill(n.current())
			if err := n.start(); err != nil {
				a.stage.Fault("%v", err)
			}
		case world.RollNode:
			if err := n.roll(); err != nil {
				a.stage.Fault("%v", err)
			}
		case world.ReloadNode, world.MoveDiscovery:
			n.reload()
		}
	}
}

func (n *node) end(s syscall.Signal) {
	l := n.current()
	l.asked.Store(true)
	if s == syscall.SIGKILL {
		n.all.front.Died(n.number)
		n.signal(s)
		return
	}
	n.all.front.Stopping(n.number)
	n.signal(s)
	longest := 0.0
	for _, c := range n.all.stage.Day.Classes {
		longest = max(longest, c.Deadline)
	}
	time.AfterFunc(killAfter+time.Duration(min(longest, mostKill)*1e6), func() { n.kill(l) })
}

// kill ends a process that should have ended.
func (n *node) kill(l *life) {
	select {
	case <-l.Done():
		return
	default:
	}
	l.asked.Store(true)
	e := n.event(record.NodeSignal)
	e.Extra = uint64(syscall.SIGKILL)
	n.all.sink.Add(e)
	l.Kill()
}

// reload puts a new file in place and sends SIGHUP.
func (n *node) reload() {
	n.mu.Lock()
	spec, lives := proc.Spec{Dir: n.dir()}, n.lives
	n.mu.Unlock()
	if err := spec.WriteConfig(n.text(lives)); err != nil {
		n.all.stage.Fault("new configuration of node %s: %v", n.name, err)
		return
	}
	n.signal(syscall.SIGHUP)
}

// sample writes down what the nodes use.
func (a *All) sample() {
	tick := time.NewTicker(sampleEvery)
	defer tick.Stop()
	for {
		select {
		case <-a.stop:
			return
		case <-tick.C:
		}
		for _, n := range a.nodes {
			n.sample()
		}
	}
}

func (n *node) sample() {
	p := n.current()
	select {
	case <-p.Done():
		return
	default:
	}
	u, err := p.Usage()
	if err != nil || u.Memory == 0 {
		return // it has just ended
	}
	e := n.event(record.NodeSample)
	e.Extra, e.Value, e.Work = uint64(u.Memory*(1<<20)), uint64(u.Descriptors), float32(u.CPU*1000)
	n.all.sink.Add(e)
}

// Close ends all nodes. What they do from now on is not judged.
func (a *All) Close() {
	select {
	case <-a.stop:
		return
	default:
	}
	close(a.stop)
	for _, n := range a.nodes {
		if n.current() != nil {
			n.sample()
		}
		for p := n.current(); p != nil; p = p.before {
			p.asked.Store(true)
			a.front.Stopping(n.number)
			p.Kill()
		}
	}
	a.done.Wait()
}

// Logs gives the nodes' log files.
func (a *All) Logs() (paths []string) {
	for _, n := range a.nodes {
		paths = append(paths, n.logPath())
	}
	return paths
}
