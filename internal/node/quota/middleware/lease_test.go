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

// leaseService is a LeaseService with one lease.Machine, whose replies can be lost.
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

// leasedSet is a tree of 100 requests per second, half of them for each of two tenants, of which nine tenths are
// leased; this node is one of ten.
func leasedSet(number uint64) lease.Tree {
	return lease.Tree{Number: number, Leased: 0.9, Settings: quota.Settings{Root: quota.Amount{100}, Floor: 0.1, Priorities: 2, Burst: 1, LongWindow: 60,
		DebtDecay: 30, RepayTime: 10, RepayFraction: 0.25, MaxRetryAfter: 2, Nodes: []quota.Node{{Name: "morava", Share: 0.5}, {Name: "vltava", Share: 0.5}, {Name: "none"}}}}
}

func leasedStage(t *testing.T) (s *Middleware, f *leaseService, runSecond func() int) {
	s, c := newStage(t, Settings{})
	part, err := quota.New(leasedSet(0).Settings.Fraction(0.01, true), 1)
	require.NoError(t, err)
	s.Replace(part)
	f = &leaseService{machine: lease.New(), now: c.Now}
	s.UseLeases(LeaseConfig{Service: f, Node: "n", Length: 1000, Tree: leasedSet(0), MaxCost: quota.Amount{1}})
	return s, f, func() (n int) { // number of admitted calls of morava in a second, out of 60
		for range 60 {
			c.Advance(1000.0 / 60)
			if serve(s, 0, "", served).Kind == core.Served {
				n++
			}
		}
		return n
	}
}

// Guards against a node that uses only its tenth while other nodes have no demand, that uses a lease which has
// expired or which it did not receive, or that reports the wrong demand or use.
func TestNodeUsesItsLease(t *testing.T) {
	s, f, runSecond := leasedStage(t)
	ctx := context.Background()
	assert.LessOrEqual(t, runSecond(), 3, "its own part of the capacity")
	assert.Zero(t, s.renew(ctx), "the node offers its tree and reports again at once")
	s.renew(ctx)
	for range 4 {
		runSecond()
		s.renew(ctx)
	}
	assert.GreaterOrEqual(t, runSecond(), 55)
	s.renew(ctx)
	last := f.reports[len(f.reports)-1]
	if assert.NotEmpty(t, last.Demand) {
		assert.InDelta(t, 0.6, last.Demand[0].Requested, 0.03)
		assert.InDelta(t, 0.6, last.Demand[0].Admitted, 0.05)
	}
	f.lost = true
	s.renew(ctx)
	runSecond() // the lease expires during this second
	assert.LessOrEqual(t, runSecond(), 3)
	f.lost = false
	s.renew(ctx)
	assert.GreaterOrEqual(t, runSecond(), 55)
}

// Guards against a lease of a tree that has changed in the meantime, a tree of an older policy that comes into
// force, and a call admitted before the change that refunds its charge to a tree without its node.
func TestLeaseOfAnotherTreeIsNotUsed(t *testing.T) {
	s, f, runSecond := leasedStage(t)
	ctx := context.Background()
	s.renew(ctx)
	s.renew(ctx)
	runSecond()
	s.renew(ctx)
	small, err := quota.New(quota.Settings{Root: quota.Amount{1}, Floor: 0.1, Priorities: 2, Burst: 1, LongWindow: 60, DebtDecay: 30, RepayTime: 10,
		RepayFraction: 0.25, MaxRetryAfter: 2, Nodes: []quota.Node{{Name: "none"}}}, 1)
	require.NoError(t, err)
	notRun := core.Refuse(core.Busy, "", 0)
	s.Wrap(func(*core.Call) core.Answer {
		s.Replace(small)
		s.UseLeases(LeaseConfig{Service: f, Node: "n", Length: 1000, Tree: leasedSet(2), MaxCost: quota.Amount{1}})
		return notRun
	})(&core.Call{Tenant: 1, Payload: gatewayHeader(""), Deadline: 1e6})
	tree3 := leasedSet(3)
	tree3.Settings.Burst = 2
	require.NoError(t, f.machine.SetTree(f.now(), tree3))
	s.renew(ctx)
	assert.Equal(t, tree3.Hash(), s.leases.foreignTree)
	assert.Zero(t, s.leases.until)
}

// Guards against a lease that stays reserved for a node that has stopped.
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
