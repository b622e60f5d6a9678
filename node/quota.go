package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"

	"linenwheel.dev/linenwheel/internal/node/options"
	"linenwheel.dev/linenwheel/internal/node/quota"
	"linenwheel.dev/linenwheel/internal/node/quota/lease"
	"linenwheel.dev/linenwheel/internal/node/quota/middleware"
	"linenwheel.dev/linenwheel/internal/node/statemachine"
)

// newQuota creates the stage that enforces the tenants' quotas.
func (n *Node) newQuota(o *options.Quota, log *slog.Logger) (*middleware.Middleware, error) {
	tree, err := quota.New(o.Own(n.fleetSize), n.conf.Seed)
	if err != nil {
		return nil, err
	}
	set := middleware.Settings{DefaultNode: o.Unknown, Gateway: o.Gateway, Content: content, MaxWait: o.Wait.Ms, MaxWaiting: o.Waiting,
		CapacityInterval: o.LearnEvery.Ms}
	if set.DefaultNode == "" {
		set.DefaultNode = options.Others
	}
	for _, c := range n.conf.Settings.Classes {
		set.Classes = append(set.Classes, middleware.Class{Priority: max(0, slices.Index(o.Priorities, c.Name)), Value: c.Value})
	}
	for _, t := range n.conf.Settings.Tenants {
		set.Tenants = append(set.Tenants, t.Name)
	}
	if root := o.Requests / float64(n.fleetSize); o.Learn {
		set.Capacity = func() (float64, bool) {
			room, learned := n.dispatcher.Capacity()
			return room / root, learned
		}
	}
	return middleware.New(set, tree, n.clock, log), nil
}

// updateQuota applies changed options to the running quota tree. The options were validated before, so the tree is
// valid.
func (n *Node) updateQuota(o *options.Quota) {
	if n.quota == nil || !o.On {
		return
	}
	if tree, err := quota.New(o.Own(n.fleetSize), n.conf.Seed); err == nil {
		n.quota.Replace(tree)
		n.lease(o)
	}
}

// lease makes quotas use leases of the fleet's capacity, where that is configured.
func (n *Node) lease(o *options.Quota) {
	if o.Leased <= 0 || n.peers == nil {
		return
	}
	set := middleware.LeaseConfig{Service: quotaLog{n.peers}, Node: n.conf.Name, Length: o.Lease.Ms, MaxCost: quota.Amount{quota.Requests: 1},
		Tree: lease.Tree{Number: n.policyDoc.Number, Leased: o.Leased, Settings: o.Tree()}}
	for _, c := range n.conf.Settings.Classes {
		set.MaxCost[quota.Value] = max(set.MaxCost[quota.Value], c.Value)
	}
	n.quota.UseLeases(set)
}

// quotaLog accesses the quota leases in the replicated log.
type quotaLog struct{ *peers }

func (p quotaLog) Report(ctx context.Context, r lease.Report) (g lease.Grant, err error) {
	reply, err := p.log.Do(ctx, statemachine.ComponentQuotaLeases, statemachine.QuotaLeaseCommand{Report: &r})
	return g, decoded(reply, err, &g)
}

func (p quotaLog) OfferTree(ctx context.Context, t lease.Tree) error {
	reply, err := p.log.Do(ctx, statemachine.ComponentQuotaLeases, statemachine.QuotaLeaseCommand{Tree: &t})
	switch {
	case err != nil:
		return err
	case reply.Code == statemachine.Conflict:
		return fmt.Errorf("%w: %s", lease.ErrOtherTree, reply.Text)
	case reply.Code != statemachine.OK:
		return errors.New(reply.Text)
	}
	return nil
}

// Quotas returns the status of the quota tree, nil if there is none.
func (n *Node) Quotas() []quota.Status {
	if n.quota == nil {
		return nil
	}
	return n.quota.Status()
}
