package middleware

import (
	"context"
	"errors"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/node/core"
	"linenwheel.dev/linenwheel/internal/node/quota"
	"linenwheel.dev/linenwheel/internal/node/quota/lease"
)

// leaseService is a Fleet of one lease.Machine, whose replies can be lost.
type leaseService struct {
	machine *lease.Machine
	now     func() float64
	lost    bool
	reports []lease.Report
}

func (a *leaseService) Report(_ context.Context, r lease.Report) (lease.Grant, error) {
	a.reports = append(a.reports, r)
	g, err := a.machine.Report(a.now(), r)
	if a.lost {
		return lease.Grant{}, errors.New("no answer")
	}
	return g, err
}

func (a *leaseService) OfferTree(_ context.Context, t lease.Tree) error {
	return a.machine.SetTree(a.now(), t)
}

// leasedSet is 100 requests per second, of which half belong to each tenant and nine tenths are leased; this node is one of ten.
func leasedSet(number uint64) lease.Tree {
	return lease.Tree{Number: number, Leased: 0.9, Settings: quota.Settings{Root: quota.Amount{100}, Floor: 0.1, Priorities: 2, Burst: 1, LongWindow: 60,
		DebtDecay: 30, RepayTime: 10, RepayFraction: 0.25, MaxRetryAfter: 2, Nodes: []quota.Node{{Name: "morava", Share: 0.5}, {Name: "vltava", Share: 0.5}, {Name: "none"}}}}
}

func leasedStage(t *testing.T) (s *Middleware, f *leaseService, second func() int) {
	s, c := newStage(t, Settings{})
	part, err := quota.New(leasedSet(0).Settings.Fraction(0.01, true), 1)
	require.NoError(t, err)
	s.Replace(part)
	f = &leaseService{machine: lease.New(), now: c.Now}
	s.UseLeases(LeaseConfig{Service: f, Node: "n", Length: 1000, Tree: leasedSet(0), MaxCost: quota.Amount{1}})
	return s, f, func() (n int) { // admitted calls of morava in a second, of 60
		for range 60 {
			c.Advance(1000.0 / 60)
			if serve(s, 0, "", served).Kind == core.Served {
				n++
			}
		}
		return n
	}
}

// Guards against a node that uses only its tenth while others need nothing, one that uses a lease that has expired or that it did not
// get, and one that reports another demand or use than there was.
func TestNodeUsesItsLease(t *testing.T) {
	s, f, second := leasedStage(t)
	ctx := context.Background()
	assert.LessOrEqual(t, second(), 3, "its own part")
	assert.Zero(t, s.renew(ctx), "it brings the tree, and asks again at once")
	s.renew(ctx)
	for range 4 {
		second()
		s.renew(ctx)
	}
	assert.GreaterOrEqual(t, second(), 55)
	s.renew(ctx)
	last := f.reports[len(f.reports)-1]
	if assert.NotEmpty(t, last.Demand) {
		assert.InDelta(t, 0.6, last.Demand[0].Requested, 0.03)
		assert.InDelta(t, 0.6, last.Demand[0].Admitted, 0.05)
	}
	f.lost = true
	s.renew(ctx)
	second() // in which the lease expires
	assert.LessOrEqual(t, second(), 3)
	f.lost = false
	s.renew(ctx)
	assert.GreaterOrEqual(t, second(), 55)
}

// Guards against a lease of a tree that has changed meanwhile, a tree of an older policy that comes into force, and a call that was
// granted before the change and returns its charge to a tree without such a node.
func TestLeaseOfAnotherTreeIsNotUsed(t *testing.T) {
	s, f, second := leasedStage(t)
	ctx := context.Background()
	s.renew(ctx)
	s.renew(ctx)
	second()
	s.renew(ctx)
	small, err := quota.New(quota.Settings{Root: quota.Amount{1}, Floor: 0.1, Priorities: 2, Burst: 1, LongWindow: 60, DebtDecay: 30, RepayTime: 10,
		RepayFraction: 0.25, MaxRetryAfter: 2, Nodes: []quota.Node{{Name: "none"}}}, 1)
	require.NoError(t, err)
	unseen := core.Refuse(core.Busy, "", 0)
	s.Wrap(func(*core.Call) core.Answer {
		s.Replace(small)
		s.UseLeases(LeaseConfig{Service: f, Node: "n", Length: 1000, Tree: leasedSet(2), MaxCost: quota.Amount{1}})
		return unseen
	})(&core.Call{Tenant: 1, Payload: gatewayHeader(""), Deadline: 1e6})
	tree3 := leasedSet(3)
	tree3.Settings.Burst = 2
	require.NoError(t, f.machine.SetTree(f.now(), tree3))
	s.renew(ctx)
	assert.Equal(t, tree3.Hash(), s.leases.foreignTree)
	assert.Zero(t, s.leases.until)
}

// Guards against a lease that stays reserved for a node that has ended.
func TestLeaseIsReturnedAtTheEnd(t *testing.T) {
	s, f, _ := leasedStage(t)
	ctx, stop := context.WithCancel(context.Background())
	s.renew(ctx)
	s.renew(ctx)
	assert.Equal(t, 1, f.machine.View().Members)
	stop()
	s.RunLeases(ctx)
	assert.Zero(t, f.machine.View().Members)
	assert.True(t, f.reports[len(f.reports)-1].Leaving)
}
