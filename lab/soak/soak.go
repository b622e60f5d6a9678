// Package soak plays the project's own programs as separate processes on loopback and the real clock, under stand-ins of clients,
// raters, platform and operators. What is played follows from a seed (package schedule); what was broken is decided by a judge
// from the records of what the stand-ins saw (package judge).
package soak

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"linenwheel.dev/linenwheel/lab/fleet"
	"linenwheel.dev/linenwheel/lab/soak/judge"
	"linenwheel.dev/linenwheel/lab/soak/record"
	"linenwheel.dev/linenwheel/lab/soak/schedule"
)

// Times of a play.
const (
	startWithin   = time.Minute
	afterRecovery = 2 * time.Second        // for which clients go on beyond Bounds.Recover
	busyInterval  = 20 * time.Millisecond  // between two looks at the clock
	busyAfter     = 100 * time.Millisecond // a look that is so late shows a busy machine
)

// Options describe a play.
type Options struct {
	Plan     schedule.Plan
	Binaries string // folder of linenwheel-control and linenwheel-data
	Other    string // another such folder, for upgrades and back; "" = none
	Program  string // this one, for the raters
	Folder   string // for settings, disks, logs and records
}

// Result is what came of a play.
type Result struct {
	Plan      schedule.Plan
	Verdict   judge.Verdict
	Entries   []record.Entry
	Processes int
	Seconds   float64 // with clients
}

// play is a running play.
type play struct {
	Options
	records   *record.Writer
	fleet     *fleet.Fleet
	platform  *platform
	operators *operators
	clients   *clients
}

// Play plays a plan and judges it.
func Play(ctx context.Context, options Options) (Result, error) {
	p := &play{Options: options}
	file, err := os.Create(filepath.Join(options.Folder, "records.jsonl"))
	if err != nil {
		return Result{}, err
	}
	defer func() { _ = file.Close() }()
	p.records = record.NewWriter(file)
	if err := p.start(); err != nil {
		return Result{}, err
	}
	began := time.Now()
	err = p.run(ctx)
	seconds := time.Since(began).Seconds()
	p.platform.stop()
	err = errors.Join(err, p.fleet.Stop())
	if err != nil {
		return Result{}, err
	}
	return p.judge(seconds)
}

// start starts the fleet with its first configuration, and the raters.
func (p *play) start() error {
	plan := &p.Plan
	f, err := fleet.Start(fleet.Options{Control: plan.Control, Data: plan.Data, Binaries: p.Binaries, Folder: p.Folder, Settings: settings(), Zones: plan.Zones})
	if err != nil {
		return err
	}
	builds := []string{p.Binaries}
	if p.Other != "" && plan.Upgrade {
		builds = append(builds, p.Other)
	}
	p.fleet, p.platform = f, newPlatform(f, p.records, builds)
	var control []string
	for _, m := range f.Control {
		control = append(control, f.ControlAddress(m))
	}
	p.operators = newOperators(control, p.records, firstConfiguration(plan))
	err = p.operators.first()
	if err == nil {
		err = p.startRaters(control)
	}
	if err == nil {
		err = p.awaitServing()
	}
	if err != nil {
		p.platform.stop()
		return errors.Join(err, f.Stop())
	}
	return nil
}

// awaitServing waits until every data process answers a request with something else than a refusal.
func (p *play) awaitServing() error {
	until := time.Now().Add(startWithin)
	key := p.operators.Known().tenants[0].APIKeys[0]
	for i, m := range p.fleet.Data {
		for number := 0; ; number++ {
			c := &client{clients: &clients{fleet: p.fleet}}
			t := &record.Try{Attempt: fmt.Sprintf("first-%d-%d", i, number), Stream: "first", Host: host, Path: "/safe/2", Key: key, Usage: "1,1", Tokens: 2,
				Machine: m.Name}
			request := c.request(context.Background(), &wanted{name: "first"}, t, p.fleet.Front(m), "", "")
			at := time.Now().UnixNano()
			c.receive(&http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}, request, t)
			t.EndedAt = time.Now().UnixNano()
			p.records.Write(record.Entry{At: at, Try: t})
			if t.Status == http.StatusOK {
				break
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s serves nothing within %v: status %d", m.Name, startWithin, t.Status)
			}
			time.Sleep(retryAfter)
		}
	}
	return nil
}

// run runs clients, troubles and orders, and then the clients alone until the end.
func (p *play) run(ctx context.Context) error {
	p.clients = &clients{fleet: p.fleet, operators: p.operators, records: p.records, seed: p.Plan.Seed, stop: make(chan struct{})}
	ended := make(chan struct{})
	var works, troubles sync.WaitGroup
	works.Go(func() { p.watchClock(ended) })
	for number := range p.Plan.Clients {
		works.Go(func() { p.clients.run(number) })
	}
	begin := time.Now()
	for _, trouble := range p.Plan.Troubles {
		troubles.Go(func() {
			if sleepUntil(ctx, begin.Add(trouble.At)) {
				p.platform.trouble(trouble)
			}
		})
	}
	troubles.Go(func() { p.order(ctx, begin) })
	sleepUntil(ctx, begin.Add(p.Plan.For))
	troubles.Wait()
	p.records.Write(record.Entry{At: time.Now().UnixNano(), Change: &record.Change{What: record.Calm}})
	sleepUntil(ctx, time.Now().Add(bounds.Recover+afterRecovery))
	if ctx.Err() == nil {
		p.operators.readFinal(2 * bounds.Contact)
	}
	close(p.clients.stop)
	close(ended)
	works.Wait()
	return ctx.Err()
}

// order plays the steps of the operators.
func (p *play) order(ctx context.Context, begin time.Time) {
	for _, step := range p.Plan.Orders {
		if !sleepUntil(ctx, begin.Add(step.At)) || time.Since(begin) > p.Plan.For {
			return
		}
		p.operators.step(step)
	}
}

// sleepUntil reports whether the time came before the context ended.
func sleepUntil(ctx context.Context, at time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(at)):
		return true
	}
}

// watchClock records when this process gets no processor time: bounds of time cannot be judged then.
func (p *play) watchClock(ended <-chan struct{}) {
	for last := time.Now(); ; {
		select {
		case <-ended:
			return
		case <-time.After(busyInterval):
		}
		if late := time.Since(last) - busyInterval; late > busyAfter {
			p.records.Write(record.Entry{At: time.Now().UnixNano(), Change: &record.Change{What: record.Busy, Detail: late.String()}})
		}
		last = time.Now()
	}
}

// judge reads all records and judges them.
func (p *play) judge(seconds float64) (Result, error) {
	paths, err := filepath.Glob(filepath.Join(p.Folder, "*.jsonl"))
	if err != nil {
		return Result{}, err
	}
	entries, err := record.ReadFiles(paths...)
	if err != nil {
		return Result{}, err
	}
	result := Result{Plan: p.Plan, Entries: entries, Seconds: seconds, Processes: p.Plan.Control + p.Plan.Data + p.Plan.Raters}
	result.Verdict = judge.Judge(entries, bounds)
	if result.Verdict.Served == 0 {
		return result, fmt.Errorf("seed %d: no request was served in %d tries", p.Plan.Seed, result.Verdict.Tries)
	}
	return result, nil
}
