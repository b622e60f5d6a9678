// Package drive plays a load plan on sockets. It reads the clock, holds the connections and carries requests over; what
// is due, how to wait for it and what counts is decided in lab/load.
//
// Each worker is a thread of its own with its own poller, connections and share of the plan, and shares nothing with
// the others while the run lasts. A connection carries one request at a time.
//
// Bounds: the plan's connections; requests that wait for one are given up after their class's deadline.
package drive

import (
	"context"
	"fmt"
	"math"
	"net"
	"runtime"
	"sync"
	"time"

	"linenwheel.dev/linenwheel/lab/load"
)

// Settings say how a plan is played.
type Settings struct {
	Target  string  // HOST:PORT
	Workers int     // threads; 0 = a quarter of the processors, 1 to 4
	Spin    float64 // milliseconds to stay awake before a request at most
	// Live gets the rows over time as they end, if it is set.
	Live func(load.Interval)
}

// stopWait is how long requests that are out may still take once the run is stopped, in milliseconds.
const stopWait = 1000

// Run plays the plan until it is over or the context ends, and gives what it has by then.
func Run(ctx context.Context, plan *load.Plan, set Settings) (*load.Result, error) {
	if err := plan.Check(); err != nil {
		return nil, err
	}
	address, err := net.ResolveTCPAddr("tcp", set.Target)
	if err != nil {
		return nil, fmt.Errorf("target %q: %w", set.Target, err)
	}
	if set.Workers <= 0 {
		set.Workers = min(max(runtime.NumCPU()/4, 1), 4)
	}
	set.Workers = min(set.Workers, plan.Connections)
	if plan.Closed {
		set.Workers = min(set.Workers, plan.Clients())
	}
	if runtime.GOMAXPROCS(0) <= set.Workers {
		// Threads that poll hold a processor of the runtime each; the collector needs one too.
		runtime.GOMAXPROCS(set.Workers + 1)
	}
	template := plan.Template(set.Target)
	workers := make([]*worker, set.Workers)
	for i := range workers {
		most := plan.Connections / set.Workers
		if i < plan.Connections%set.Workers {
			most++
		}
		workers[i], err = newWorker(plan, i, set, address, template, most)
		if err != nil {
			for _, w := range workers[:i] {
				w.close()
			}
			return nil, err
		}
	}

	before, stolen := processorTime(), stolenTime()
	started := time.Now()
	rows := make(chan delivery, 64*set.Workers)
	var all sync.WaitGroup
	for i, w := range workers {
		all.Go(func() {
			w.run(ctx, started, func(row load.Interval) { rows <- delivery{i, row} })
			rows <- delivery{worker: i, row: load.Interval{Index: math.MaxInt}}
		})
	}
	go func() {
		all.Wait()
		close(rows)
	}()
	series := collect(rows, set.Workers, set.Live)

	ran := load.Ran{Target: set.Target, Started: started, Tool: load.Tool{Workers: set.Workers,
		CPUs: runtime.NumCPU(), CPU: processorTime() - before, Wall: since(started), Stolen: -1}}
	if stolen >= 0 {
		ran.Tool.Stolen = stolenTime() - stolen
	}
	tally := load.NewTally(plan)
	for _, w := range workers {
		tally.Merge(w.tally)
		ran.Until = max(ran.Until, w.until)
		ran.Interrupted = ran.Interrupted || w.interrupted
	}
	return tally.Result(series, ran), nil
}

// since is the time from a start in milliseconds.
func since(start time.Time) float64 { return float64(time.Since(start)) / 1e6 }

// delivery is a row over time of one worker; the highest index says that the worker has ended.
type delivery struct {
	worker int
	row    load.Interval
}

// collect joins the workers' rows and passes each on once all workers have got past it.
func collect(rows <-chan delivery, workers int, live func(load.Interval)) *load.Series {
	series := &load.Series{}
	past := make([]int, workers)
	shown := 0
	for d := range rows {
		if d.row.Index == math.MaxInt {
			past[d.worker] = math.MaxInt
		} else {
			series.Add(d.row)
			past[d.worker] = d.row.Index + 1
		}
		if live == nil {
			continue
		}
		all := math.MaxInt
		for _, p := range past {
			all = min(all, p)
		}
		for ; shown < min(all, series.End()); shown++ {
			if row, ok := series.Row(shown); ok {
				live(row)
			}
		}
	}
	return series
}
