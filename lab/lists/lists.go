// Package lists measures how the list of hosts comes to a node: how soon a drain does, through each kind of source, and how
// many relays are sent after it; and what lists of many hosts cost. The node and the agent of etcd run as the programs they
// are; discovery, etcd and the files are the lab's own, on loopback and on the disk.
package lists

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"linenwheel.dev/linenwheel/lab/quantiles"
)

// Kinds are those of the writers.
var Kinds = []string{"discovery", "etcd", "files, renamed", "files, in place"}

// Settings say what is measured.
type Settings struct {
	Bin     string // the folder of the programs
	Dir     string // for their files
	Drains  int    // through each kind of source
	Relayed int    // drains while requests run
	Rate    float64
	Sizes   []int // hosts
	Stream  time.Duration
}

// Delay is how soon drains come through one kind of source.
type Delay struct {
	Kind    string
	Soon    quantiles.Quantiles // from the write to the step that the pilot gets
	Drains  int                 // while requests run
	After   int                 // relays that came to the host after its drain was written,
	Last    float64             // the last of them, milliseconds after the write
	Late    int                 // and those later than 500 ms
	Relays  int                 // in all
	Refused int                 // requests that were not served
}

// Size is what a list of so many hosts costs through one kind of source. Times in milliseconds, memory in MB.
type Size struct {
	Kind    string
	Hosts   int
	List    float64 // from the node's start until it is ready
	Node    float64 // its peak
	Agent   float64 // that of etcd's agent
	Change  quantiles.Quantiles
	Gap     float64 // from the end of a gap with a compaction until a host that left in it is gone
	Changes int     // one a millisecond,
	Behind  float64 // how long after the last of them a drain takes to the step that the pilot gets,
	Pilot   float64 // and until the node's status has it
	NodeCPU float64 // seconds of processor time of the node meanwhile,
	CPU     float64 // and of etcd's agent
}

// Result is all of it.
type Result struct {
	Delays []Delay
	Sizes  []Size
}

// bench is one run.
type bench struct {
	set Settings
	dir string
}

// Run measures. say is told what goes on.
func Run(ctx context.Context, set Settings, say func(format string, args ...any)) (*Result, error) {
	b, r := &bench{set, set.Dir}, &Result{}
	for _, kind := range Kinds {
		if set.Drains > 0 {
			say("drains through %s", kind)
			d, err := b.delay(ctx, kind)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", kind, err)
			}
			r.Delays = append(r.Delays, d)
		}
	}
	for _, n := range set.Sizes {
		for _, kind := range Kinds[:3] {
			say("%d hosts through %s", n, kind)
			s, err := b.size(ctx, kind, n)
			if err != nil {
				return nil, fmt.Errorf("%d hosts, %s: %w", n, kind, err)
			}
			r.Sizes = append(r.Sizes, s)
		}
	}
	return r, nil
}

// fleet makes entries, at addresses that nobody listens at.
func fleet(n int) (list []entry) {
	for i := range n {
		list = append(list, entry{Name: fmt.Sprintf("s-%05d", i), Address: fmt.Sprintf("127.1.%d.%d:9", i/250, i%250+1), Zone: "z",
			Type: "k", Group: i, Status: "Ready", Weight: 1})
	}
	return list
}

func with(e entry, status string) entry {
	e.Status = status
	return e
}

// delay measures one kind of source.
func (b *bench) delay(ctx context.Context, kind string) (d Delay, err error) {
	d.Kind = kind
	w, err := b.writer(kind)
	if err != nil {
		return d, err
	}
	defer w.close()
	hosts := fleet(8)
	w.change(hosts...)
	s, err := b.watch(w)
	if err != nil {
		return d, err
	}
	if _, err = s.until(ctx, "whole list, 8 hosts"); err == nil {
		d.Soon, err = b.drains(ctx, w, s, hosts, b.set.Drains)
	}
	s.stop()
	if err == nil {
		err = b.relays(ctx, w, hosts, &d)
	}
	return d, err
}

// drains drains hosts and takes them back, and sums up how soon the drains came.
func (b *bench) drains(ctx context.Context, w writer, s *steps, hosts []entry, n int) (quantiles.Quantiles, error) {
	h := hdrhistogram.New(1, 120e6, 3)
	for i := range n {
		e := hosts[i*7%len(hosts)]
		time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond) // so that no phase of anything counts
		began := time.Now()
		w.change(with(e, "Terminating"))
		at, err := s.until(ctx, e.Name, "Terminating at")
		if err != nil {
			return quantiles.Quantiles{}, err
		}
		_ = h.RecordValue(at.Sub(began).Microseconds()) // within its range
		w.change(e)
		if _, err := s.until(ctx, e.Name, "Ready at"); err != nil {
			return quantiles.Quantiles{}, err
		}
	}
	return quantiles.Of(h), nil
}

// rater answers at once and knows when requests came.
type rater struct {
	server *http.Server
	mu     sync.Mutex
	came   []time.Time
}

// ServeHTTP takes a request.
func (r *rater) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	r.mu.Lock()
	r.came = append(r.came, now)
	r.mu.Unlock()
	_, _ = w.Write([]byte("ok")) // the node has gone
}

func (r *rater) since(t time.Time) (list []time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, at := range slices.Backward(r.came) {
		if at.Before(t) {
			break
		}
		list = append(list, at)
	}
	return list
}

// relays drains hosts of a whole node while requests run, and counts what comes to them after that.
func (b *bench) relays(ctx context.Context, w writer, hosts []entry, d *Delay) error {
	var raters []*rater
	hosts, others := slices.Clone(hosts[:4]), slices.Clone(hosts[4:])
	for i := range hosts {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		r := &rater{}
		r.server = &http.Server{ReadHeaderTimeout: time.Minute, Handler: r}
		go func() { _ = r.server.Serve(l) }() // until it is closed
		defer func() { _ = r.server.Close() }()
		hosts[i].Address = l.Addr().String()
		raters = append(raters, r)
	}
	for i := range others {
		others[i].Status = "Gone"
	}
	w.change(append(slices.Clone(hosts), others...)...)
	p, listen, _, err := b.node(ctx, w)
	if err != nil {
		return err
	}
	defer p.stop()
	ctx, cancel := context.WithCancel(ctx)
	var asking sync.WaitGroup
	defer func() { cancel(); asking.Wait() }()
	var sent, refused atomic.Int64
	const clients = 32
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clients}, Timeout: 10 * time.Second}
	defer client.CloseIdleConnections()
	for range clients {
		asking.Go(func() {
			every := time.NewTicker(time.Duration(clients / b.set.Rate * 1e9))
			defer every.Stop()
			for {
				select {
				case <-every.C:
				case <-ctx.Done():
					return
				}
				if !ask(client, listen, sent.Add(1)) {
					refused.Add(1)
				}
			}
		})
	}
	time.Sleep(2 * time.Second) // the shares settle
	for i := range b.set.Relayed {
		n := i % len(hosts)
		began := time.Now()
		w.change(with(hosts[n], "Terminating"))
		time.Sleep(800 * time.Millisecond)
		for _, at := range raters[n].since(began) {
			ms := float64(at.Sub(began).Microseconds()) / 1000
			d.After++
			d.Last = max(d.Last, ms)
			if ms > 500 {
				d.Late++
			}
		}
		w.change(hosts[n])
		time.Sleep(400 * time.Millisecond)
	}
	d.Drains, d.Refused = b.set.Relayed, int(refused.Load())
	for _, r := range raters {
		d.Relays += len(r.since(time.Time{}))
	}
	return nil
}

// ask makes one request and tells whether it was served.
func ask(client *http.Client, listen string, n int64) bool {
	req, err := http.NewRequest("GET", "http://"+listen+"/look/1", nil)
	if err != nil {
		return false
	}
	req.Header.Set("Req-Id", fmt.Sprint(n))
	req.Header.Set("Req-Deadline-Ms", "2000")
	got, err := client.Do(req)
	if err != nil {
		return false
	}
	_ = got.Body.Close() // two bytes
	return got.StatusCode == 200
}

// size measures a list of n hosts.
func (b *bench) size(ctx context.Context, kind string, n int) (s Size, err error) {
	s.Kind, s.Hosts = kind, n
	w, err := b.writer(kind)
	if err != nil {
		return s, err
	}
	defer w.close()
	hosts := fleet(n)
	w.change(hosts...)
	e, _ := w.(*etcd)
	if e != nil {
		time.Sleep(2 * time.Second) // the agent has its list before the node starts
	}
	p, _, ready, err := b.node(ctx, w)
	if err != nil {
		return s, err
	}
	defer p.stop()
	s.List = float64(ready.Microseconds()) / 1000
	time.Sleep(2 * time.Second)
	watch, err := b.watch(w)
	if err != nil {
		return s, err
	}
	defer watch.stop()
	if _, err = watch.until(ctx, fmt.Sprintf("whole list, %d hosts", n)); err == nil {
		s.Change, err = b.drains(ctx, w, watch, hosts, 30)
	}
	if e != nil && err == nil {
		err = b.gap(ctx, e, watch, hosts, &s)
	}
	if err == nil && kind != "files, renamed" { // which are written whole each time
		err = b.stream(ctx, w, watch, p, hosts, &s)
	}
	s.Node = p.peak()
	if e != nil {
		s.Agent = e.agent.peak()
	}
	return s, err
}

// gap cuts the agent off, has a host leave and the history be forgotten, and measures how soon that is made up for.
func (b *bench) gap(ctx context.Context, e *etcd, s *steps, hosts []entry, out *Size) error {
	for _, m := range e.cluster.Members {
		m.Down()
	}
	gone := hosts[len(hosts)-1]
	e.change(with(gone, "Gone"))
	e.cluster.Compact()
	time.Sleep(500 * time.Millisecond)
	for _, m := range e.cluster.Members {
		if err := m.Up(); err != nil {
			return err
		}
	}
	began := time.Now()
	at, err := s.until(ctx, gone.Name, "Gone at")
	out.Gap = float64(at.Sub(began).Microseconds()) / 1000
	return err
}

// stream changes one host a millisecond.
func (b *bench) stream(ctx context.Context, w writer, s *steps, p *program, hosts []entry, out *Size) error {
	before, agentBefore := p.cpu(), 0.0
	e, _ := w.(*etcd)
	if e != nil {
		agentBefore = e.agent.cpu()
	}
	out.Changes = int(b.set.Stream.Milliseconds())
	began := time.Now()
	for i := range out.Changes {
		one := hosts[i%(len(hosts)/2)]
		one.Weight = 1 + float64(i%100)/100
		w.change(one)
		time.Sleep(time.Until(began.Add(time.Duration(i+1) * time.Millisecond)))
	}
	last := hosts[len(hosts)-2]
	written := time.Now()
	w.change(with(last, "Terminating"))
	at, err := s.until(ctx, last.Name, "Terminating at")
	if err != nil {
		return err
	}
	out.Behind = float64(at.Sub(written).Microseconds()) / 1000
	out.NodeCPU = p.cpu() - before
	if e != nil {
		out.CPU = e.agent.cpu() - agentBefore
	}
	out.Pilot, err = b.status(ctx, last.Name, written)
	return err
}
