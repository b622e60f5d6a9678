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

// policyName takes the place of the file name in errors about a policy's text.
const policyName = "policy"

// newPolicyGate creates the gate of a node that admits calls under the fleet's policy.
func (n *Node) newPolicyGate(o *options.Policy, first func(), log *slog.Logger) *gate.Gate {
	heard := func() {
		if n.idempotency != nil {
			n.idempotency.FixNaming() // under the first policy, which may be none: calls begin now
		}
		first()
	}
	return gate.New(gate.Settings{Name: n.conf.Name, Lease: o.Lease.Ms, MaxWait: o.Hold.Ms, WithoutLease: o.Without == "go-on", OnReady: heard},
		policyLog{n.peers}, policyNode{n}, n.clock, log)
}

// policyLog accesses the policy in the replicated log.
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

// policyNode is the node as the policy gate sees it.
type policyNode struct{ n *Node }

// Check validates a document as an overlay of the machine's own options, as SIGHUP does with a file.
func (p policyNode) Check(d rollout.Document) error {
	p.n.reload.Lock()
	defer p.n.reload.Unlock()
	_, err := p.n.optionsUnder(&p.n.localOptions, d)
	return err
}

// Activate puts a document into force.
func (p policyNode) Activate(d rollout.Document) error {
	n := p.n
	n.reload.Lock()
	defer n.reload.Unlock()
	next, err := n.optionsUnder(&n.localOptions, d)
	if err != nil {
		return err
	}
	n.policyDoc = d
	if n.quota != nil { // each call is decided under the number that it began under, including those that wait for quota
		n.quota.DecideWaiting()
	}
	n.apply(next)
	return nil
}

// optionsUnder returns the options that result from a policy; number 0 is no policy.
func (n *Node) optionsUnder(local *Options, d rollout.Document) (Options, error) {
	if d.Text == "" {
		return *local, nil
	}
	next, faults := options.Overlay(*local, fmt.Sprintf("%s %s", policyName, d.Hash), []byte(d.Text), n.conf, n.checkClasses)
	if len(faults) > 0 {
		return next, faults[0]
	}
	return next, nil
}
