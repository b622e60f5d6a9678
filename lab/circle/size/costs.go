package size

import (
	"encoding/json"
	"fmt"
	"runtime"
	"slices"
	"time"

	"linenwheel.dev/linenwheel/internal/node/quota/lease"
	"linenwheel.dev/linenwheel/internal/node/rollout"
	"linenwheel.dev/linenwheel/internal/node/statemachine"
)

// Cost is what the state at a play's end costs a keeper, on this machine.
type Cost struct {
	Heap   float64 // bytes that the ledger holds
	Room   float64 // us to carry out a report about room, the median of many: what else the machine does counts little
	Policy float64 // one about the policy,
	Name   float64 // and the taking of a name
}

// costRuns is how often each command is carried out.
const costRuns = 2000

// Costs measures it. Nothing else may run in the process meanwhile.
func Costs(r *Result) (c Cost, err error) {
	var before, after runtime.MemStats
	for range 3 { // what pools of the library hold goes with the third at the latest
		runtime.GC()
	}
	runtime.ReadMemStats(&before)
	l := statemachine.New()
	if err := l.Restore(r.Image); err != nil {
		return c, err
	}
	for range 3 {
		runtime.GC()
	}
	runtime.ReadMemStats(&after)
	c.Heap = float64(after.HeapAlloc) - float64(before.HeapAlloc)
	index, session := l.Index(), uint64(0)
	apply := func(number uint64, part string, v any) (reply statemachine.Reply, us float64, err error) {
		index++
		data := body(statemachine.Command{Version: statemachine.VersionOf(part, body(v)), At: l.Now() + 0.05, Session: session, Number: number, Confirmed: max(1, number) - 1,
			Component: part, Body: body(v)})
		begun := time.Now()
		_, reply, err = l.Apply(index, data)
		if us = float64(time.Since(begun).Nanoseconds()) / 1000; err == nil && reply.Code != statemachine.OK {
			err = fmt.Errorf("%s: %s", reply.Code, reply.Text)
		}
		return reply, us, err
	}
	reply, _, err := apply(1, "", statemachine.Opening{Name: "costs"})
	if err != nil {
		return c, err
	}
	session = reply.Index
	tree, number, holds := treeOf(r.Settings.rate()), uint64(0), uint64(0)
	hash := tree.Hash()
	var rooms, policies, names []float64
	for range costRuns {
		number++
		report := lease.Report{Node: "costs", Life: 1, Tree: hash, Length: roomLease, HeldLease: holds}
		for i := range partners {
			report.Demand = append(report.Demand, lease.NodeDemand{Node: 1 + i, Requested: 0.001, Admitted: 0.001})
		}
		reply, us, err := apply(number, statemachine.ComponentQuotaLeases, statemachine.QuotaLeaseCommand{Report: &report})
		if err != nil {
			return c, err
		}
		var g lease.Grant
		if err := json.Unmarshal(reply.Body, &g); err != nil || g.Number == 0 {
			return c, fmt.Errorf("no lease was given: %w", err)
		}
		holds, rooms = g.Number, append(rooms, us)
		number++
		if _, us, err = apply(number, statemachine.ComponentPolicy, statemachine.PolicyCommand{Report: &rollout.Report{Node: "costs", Incarnation: 1, Lease: policyLease}}); err != nil {
			return c, err
		}
		policies = append(policies, us)
		number++
		name := fmt.Appendf(nil, "%016d", number)
		if _, us, err = apply(number, statemachine.ComponentCalls, statemachine.ClaimCommand(statemachine.Claim{Name: name, Fingerprint: name, Tenant: "partner-0", AnsweredWindow: 60000,
			InDoubtWindow: 60000, RunTimeout: claim, Node: "costs", Incarnation: 1, Token: number})); err != nil {
			return c, err
		}
		names = append(names, us)
	}
	for _, f := range []struct {
		to   *float64
		list []float64
	}{{&c.Room, rooms}, {&c.Policy, policies}, {&c.Name, names}} {
		slices.Sort(f.list)
		*f.to = at(f.list, 0.5)
	}
	runtime.KeepAlive(l)
	return c, nil
}
