package fleetscale

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"linenwheel.dev/linenwheel/lab/fleet"
)

// The figures of a run.
const (
	settleWithin  = 60 * time.Second
	calmFor       = 6 * time.Second
	stormEvery    = 200 * time.Millisecond
	stormChanges  = 15
	inForceWithin = 30 * time.Second
	heartbeat     = 1200 * time.Millisecond
	clockTicks    = 100 // of the kernel's processor times, a second
	firstRoutes   = 100
)

// Size is one fleet.
type Size struct {
	Nodes  int
	Raters int
}

// Result is what one size gave.
type Result struct {
	Size
	ReadyMs       float64 // from the first poll of the first node until all have configuration and raters
	InForceMs     Quantiles
	LostMs        Quantiles // the same for changes sent right after a control process was killed
	ReturnMs      float64   // all nodes forget everything at once: until all are whole again
	NodeBytes     float64   // a second a node, both ways, calm
	StormBytes    float64   // a change a node
	NodeCPU       float64   // of a core, a node, calm (the hollow nodes' process, raters' heartbeats included)
	ControlCPU    float64   // of a core, all control processes, calm
	ControlMemory float64   // MB, the largest control process
	NodeMemory    float64   // KB of heap a node
}

// Quantiles are those of a histogram, in milliseconds.
type Quantiles struct{ P50, P99, Max float64 }

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{at(50), at(99), float64(h.Max()) / 1000}
}

// changes notes when versions were acknowledged and when nodes had them in force.
type changes struct {
	mu     sync.Mutex
	sent   map[int64]time.Time
	had    map[int64][]time.Time
	newest int64
}

func (c *changes) inForce(revision int64, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.had[revision] = append(c.had[revision], at)
}

// run is one size under way.
type run struct {
	size    Size
	fleet   *fleet.Fleet
	nodes   []*hollowNode
	bytes   atomic.Int64
	changes changes
}

// Play measures one size. Binaries is the folder of the programs, folder one for settings and disks.
func Play(ctx context.Context, size Size, binaries, folder string, subnet byte) (Result, error) {
	f, err := fleet.Start(fleet.Options{Control: 3, Binaries: binaries, Folder: folder, Subnet: subnet, Heartbeat: heartbeat})
	if err != nil {
		return Result{}, err
	}
	defer func() { _ = f.Stop() }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &run{size: size, fleet: f, changes: changes{sent: map[int64]time.Time{}, had: map[int64][]time.Time{}}}
	return r.play(ctx)
}

func (r *run) play(ctx context.Context) (Result, error) {
	result := Result{Size: r.size}
	if err := r.change(firstDocument(), http.MethodPut); err != nil {
		return result, err
	}
	var control, internal []string
	for _, m := range r.fleet.Control {
		control, internal = append(control, r.fleet.ControlAddress(m)), append(internal, r.fleet.Internal(m))
	}
	hollowRaters(ctx, control, r.size.Raters, heartbeat)
	heap := heapOf()
	begin := time.Now()
	for i := range r.size.Nodes {
		n := newHollowNode(fmt.Sprintf("n%d", i), internal, i, &r.bytes, r.changes.inForce)
		r.nodes = append(r.nodes, n)
		go n.run(ctx)
	}
	if err := r.awaitWhole(begin); err != nil {
		return result, err
	}
	result.ReadyMs = milliseconds(time.Since(begin))
	r.calm(&result)
	result.NodeMemory = float64(heapOf()-heap) / float64(r.size.Nodes) / 1024
	storm, bytes, err := r.storm()
	if err != nil {
		return result, err
	}
	result.InForceMs, result.StormBytes = quantiles(storm), bytes
	victim := r.fleet.Control[2]
	victim.Kill()
	lost, _, err := r.storm()
	if err != nil {
		return result, err
	}
	result.LostMs = quantiles(lost)
	if err := r.fleet.Boot(victim, false); err != nil {
		return result, err
	}
	time.Sleep(3 * time.Second)
	begin = time.Now()
	for _, n := range r.nodes {
		n.renew()
	}
	if err := r.awaitWhole(begin); err != nil {
		return result, err
	}
	result.ReturnMs = milliseconds(time.Since(begin))
	return result, nil
}

// firstDocument is a configuration of a hundred routes and some tenants.
func firstDocument() string {
	var routes, tenants []string
	for i := range firstRoutes {
		routes = append(routes, fmt.Sprintf(`{"Name":"r%d","Hostname":"h%d.example","PathPrefix":"/p/","RouteType":"streaming","TimeoutMs":15000,"TargetLatencyMs":800,"Priority":1,"Backend":"llm","MaxAttempts":2,"SessionAffinity":true,"StreamResume":true,"gap_aim_ms":250}`, i, i))
	}
	for i := range 20 {
		tenants = append(tenants, fmt.Sprintf(`{"Name":"t%d","ApiKeys":["key-%d-a","key-%d-b"],"Unit":"token_count","RatePerS":100000,"Burst":100000}`, i, i, i))
	}
	return fmt.Sprintf(`{"Revision":1,"Routes":[%s],"Backends":[{"Name":"llm"}],"Tenants":[%s]}`, strings.Join(routes, ","), strings.Join(tenants, ","))
}

// change has the next version taken. The first one is given whole, the others as patches of one route.
func (r *run) change(document, method string) error {
	base := r.changes.newest
	if document == "" {
		document = fmt.Sprintf(`{"Revision":%d,"Upsert":{"Routes":[{"Name":"r1","Hostname":"h1.example","PathPrefix":"/p/","RouteType":"streaming","TimeoutMs":%d,"TargetLatencyMs":800,"Backend":"llm"}]}}`, base+1, 1000+base)
	}
	if err := r.fleet.Configure(method, base, document, settleWithin); err != nil {
		return err
	}
	r.changes.mu.Lock()
	defer r.changes.mu.Unlock()
	r.changes.newest = base + 1
	r.changes.sent[base+1] = time.Now()
	return nil
}

// awaitWhole waits until every node has the newest configuration and all raters.
func (r *run) awaitWhole(begin time.Time) error {
	for {
		missing := 0
		for _, n := range r.nodes {
			n.mu.Lock()
			table := n.copy.Table()
			n.mu.Unlock()
			if table == nil || table.Revision != r.changes.newest || n.raters() < r.size.Raters {
				missing++
			}
		}
		if missing == 0 {
			return nil
		}
		if time.Since(begin) > settleWithin {
			return fmt.Errorf("%d of %d nodes were not whole after %v", missing, r.size.Nodes, settleWithin)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// calm measures a stretch without news.
func (r *run) calm(result *Result) {
	time.Sleep(2 * time.Second)
	bytes, own, control := r.bytes.Load(), ownCPU(), r.controlCPU()
	time.Sleep(calmFor)
	seconds := calmFor.Seconds()
	result.NodeBytes = float64(r.bytes.Load()-bytes) / seconds / float64(r.size.Nodes)
	result.NodeCPU = (ownCPU() - own) / seconds / float64(r.size.Nodes)
	result.ControlCPU = (r.controlCPU() - control) / seconds
	for _, m := range r.fleet.Control {
		result.ControlMemory = max(result.ControlMemory, residentMB(m.Process()))
	}
}

// storm sends changes and gives how long each took from its acknowledgement until it was in force at each node. A node that
// goes over to a newer version at once has the older one too.
func (r *run) storm() (*hdrhistogram.Histogram, float64, error) {
	first := r.changes.newest + 1
	bytes := r.bytes.Load()
	for range stormChanges {
		next := time.Now().Add(stormEvery)
		if err := r.change("", http.MethodPatch); err != nil {
			return nil, 0, err
		}
		time.Sleep(time.Until(next))
	}
	if err := r.awaitInForce(); err != nil {
		return nil, 0, err
	}
	perChange := float64(r.bytes.Load()-bytes) / float64(r.size.Nodes) / stormChanges
	h := hdrhistogram.New(1, int64(inForceWithin/time.Microsecond), 3)
	r.changes.mu.Lock()
	defer r.changes.mu.Unlock()
	for revision := first; revision <= r.changes.newest; revision++ {
		for _, at := range r.changes.had[revision] {
			_ = h.RecordValue(max(1, at.Sub(r.changes.sent[revision]).Microseconds()))
		}
	}
	return h, perChange, nil
}

func (r *run) awaitInForce() error {
	begin := time.Now()
	for time.Since(begin) < inForceWithin {
		r.changes.mu.Lock()
		done := len(r.changes.had[r.changes.newest]) >= r.size.Nodes
		r.changes.mu.Unlock()
		if done {
			return nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return fmt.Errorf("version %d is not in force everywhere after %v", r.changes.newest, inForceWithin)
}

func (r *run) controlCPU() float64 {
	sum := 0.0
	for _, m := range r.fleet.Control {
		sum += processCPU(m.Process())
	}
	return sum
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func ownCPU() float64 {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return float64(usage.Utime.Sec+usage.Stime.Sec) + float64(usage.Utime.Usec+usage.Stime.Usec)/1e6
}

// The places of user and system time in a process's stat line, counted after its name.
const (
	statUser   = 11
	statSystem = 12
)

func processCPU(pid int) float64 {
	line, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(line), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= statSystem {
		return 0
	}
	user, _ := strconv.ParseFloat(fields[statUser], 64)
	system, _ := strconv.ParseFloat(fields[statSystem], 64)
	return (user + system) / clockTicks
}

func residentMB(pid int) float64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			kilobytes, _ := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 64)
			return kilobytes / 1024
		}
	}
	return 0
}

// Save writes results as JSON.
func Save(w io.Writer, results []Result) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(results)
}

// Load reads results that were saved.
func Load(r io.Reader) ([]Result, error) {
	var results []Result
	return results, json.NewDecoder(r).Decode(&results)
}
