package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"

	"linenwheel.dev/linenwheel/internal/node/options"
	"linenwheel.dev/linenwheel/internal/node/rollout"
	"linenwheel.dev/linenwheel/internal/node/rollout/gate"
	"linenwheel.dev/linenwheel/internal/node/statemachine"
)

// policyName stands for the file in faults of a policy's text.
const policyName = "policy"

// guided makes the gate of a node that judges by the fleet's policy.
func (n *Node) guided(o *options.Policy, first func(), log *slog.Logger) *gate.Gate {
	heard := func() {
		if n.repeats != nil {
			n.repeats.FixNaming() // by the first policy, which may be none: calls begin
		}
		first()
	}
	return gate.New(gate.Settings{Name: n.conf.Name, Lease: o.Lease.Ms, MaxWait: o.Hold.Ms, WithoutLease: o.Without == "go-on", OnReady: heard},
		policyLog{n.peers}, policyNode{n}, n.clock, log)
}

// policyLog asks the agreed log.
type policyLog struct{ *peers }

func (p policyLog) Report(ctx context.Context, r rollout.Report) (o rollout.Order, err error) {
	reply, err := p.log.Do(ctx, statemachine.ComponentPolicy, statemachine.PolicyCommand{Report: &r})
	return o, decoded(reply, err, &o)
}

func (p policyLog) Document(ctx context.Context, number uint64, id string) (d rollout.Document, err error) {
	q := statemachine.PolicyQuestion{Proposed: id}
	if id == "" {
		q.Document = &number
	}
	reply, err := p.log.Read(ctx, statemachine.ComponentPolicy, q)
	return d, decoded(reply, err, &d)
}

func (p policyLog) Progress(ctx context.Context, known rollout.Progress) (n rollout.Progress, err error) {
	reply, err := p.log.Wait(ctx, statemachine.ComponentPolicy, statemachine.PolicyQuestion{Progress: true}, known)
	return n, decoded(reply, err, &n)
}

func decoded(r statemachine.Reply, err error, v any) error {
	switch {
	case err != nil:
		return err
	case r.Code != statemachine.OK:
		return errors.New(r.Text)
	}
	return json.Unmarshal(r.Body, v)
}

// policyNode is the node as the gate sees it.
type policyNode struct{ n *Node }

// Check lays a document over the machine's own options, as SIGHUP lays a file.
func (p policyNode) Check(d rollout.Document) error {
	p.n.reload.Lock()
	defer p.n.reload.Unlock()
	_, err := p.n.under(&p.n.own, d)
	return err
}

// Take has it in force.
func (p policyNode) Activate(d rollout.Document) error {
	n := p.n
	n.reload.Lock()
	defer n.reload.Unlock()
	next, err := n.under(&n.own, d)
	if err != nil {
		return err
	}
	n.doc = d
	if n.quota != nil { // a call is judged whole by the number that it began under, those that wait for room too
		n.quota.DecideWaiting()
	}
	n.apply(next)
	return nil
}

// under gives what options come to under a policy; number 0 is none.
func (n *Node) under(own *Options, d rollout.Document) (Options, error) {
	if d.Text == "" {
		return *own, nil
	}
	next, faults := options.Overlay(*own, fmt.Sprintf("%s %s", policyName, d.Hash), []byte(d.Text), n.conf, n.fits)
	if len(faults) > 0 {
		return next, faults[0]
	}
	return next, nil
}
