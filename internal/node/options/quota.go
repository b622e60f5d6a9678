package options

import (
	"errors"
	"fmt"
	"slices"

	"linenwheel.dev/linenwheel/decide"
	"linenwheel.dev/linenwheel/internal/node/config"
	"linenwheel.dev/linenwheel/internal/node/quota"
	"linenwheel.dev/linenwheel/internal/node/quota/lease"
)

// Quota divides what the fleet can do among nested tenants. A tenant of the platform has the node of its name.
type Quota struct {
	// On switches it on.
	On bool `toml:"on" default:"false"`
	// Requests is how many requests a second the whole fleet can do, for all instances together.
	Requests float64 `toml:"requests" default:"100" min:"0.001" max:"1000000000" reload:"now"`
	// Worth is how much worth a second it can do, in the units of the platform's classes. 0 = worth is not counted.
	Worth float64 `toml:"worth" default:"0" min:"0" max:"1000000000000" reload:"now"`
	// Learn has guarantees shrink and grow with what the decision module has learned of the hosts.
	Learn bool `toml:"learn" default:"true"`
	// LearnEvery is the time between two looks at that.
	LearnEvery Duration `toml:"learn_every" default:"500ms" min:"10ms" max:"1m"`
	// Floor is the least part of requests and worth that is divided, whatever is learned.
	Floor float64 `toml:"floor" default:"0.1" min:"0.000001" max:"1" reload:"now"`
	// Priorities are classes from the lowest to the highest; a class that is not named is among the lowest. Calls of the
	// highest are refused only when nothing is left.
	Priorities []string `toml:"priorities" default:"[]"`
	// Burst is how many seconds of its guarantee a node may save up.
	Burst Duration `toml:"burst" default:"1s" min:"1ms" max:"1h" reload:"now"`
	// LongWindow is the window of long_requests and long_worth.
	LongWindow Duration `toml:"long_window" default:"10m" min:"1s" max:"24h" reload:"now"`
	// Kept is the part of a node's room that each priority keeps from those below it.
	Kept float64 `toml:"kept" default:"0.2" min:"0" max:"0.9" reload:"now"`
	// Memory is the time after which what a node is owed weighs 1/e.
	Memory Duration `toml:"memory" default:"30s" min:"1ms" max:"24h" reload:"now"`
	// PayBack is the time in which a debt is paid once the lender wants it.
	PayBack Duration `toml:"pay_back" default:"10s" min:"1ms" max:"24h" reload:"now"`
	// PayPart is the part of its guarantee that a node in debt gives up for that at the most.
	PayPart float64 `toml:"pay_part" default:"0.25" min:"0" max:"1" reload:"now"`
	// MostWait is how long a refused client is told to stay away at the most.
	MostWait Duration `toml:"most_wait" default:"2s" min:"0s" max:"1h" reload:"now"`
	// Unknown is the node of tenants that have none of their own. Empty makes one without a guarantee.
	Unknown string `toml:"unknown" default:""`
	// Gateway is the header that names a call's gateway, whose node stands below its tenant's. Empty = none.
	Gateway string `toml:"gateway" default:""`
	// Wait is how long a call that is turned away may wait for room. 0 = not at all.
	Wait Duration `toml:"wait" default:"0s" min:"0s" max:"1m"`
	// Waiting is how many calls may wait at once.
	Waiting int `toml:"waiting" default:"100" min:"0" max:"100000"`
	// Leased is the part of the room that moves between the fleet's nodes in leases, agreed with peers.fleet; the rest belongs to
	// them in equal parts. 0 = all of it does. A node whose lease has run out goes on with its equal part of the rest.
	Leased float64 `toml:"leased" default:"0" min:"0" max:"0.95"`
	// Lease is how long a lease lasts that is not renewed: so long a lost machine's room is missing, and for so long nodes go on
	// as they do when nothing can be agreed.
	Lease Duration `toml:"lease" default:"10s" min:"200ms" max:"10m"`
	// Nodes are those of the tree.
	Nodes []QuotaNode `toml:"node" reload:"now"`
}

// QuotaNode is one node of the tree: an organisation, a partner, a gateway.
type QuotaNode struct {
	// Name is that of the tenant or gateway, or any other.
	Name string `toml:"name" default:""`
	// Parent is the node that holds it; empty for one at the top.
	Parent string `toml:"parent" default:""`
	// Share is its guarantee as a part of its parent's.
	Share float64 `toml:"share" default:"0" min:"0" max:"1"`
	// Requests is its guarantee in requests a second, in place of a share.
	Requests float64 `toml:"requests" default:"0" min:"0" max:"1000000000"`
	// Worth is its guarantee in worth a second, in place of a share.
	Worth float64 `toml:"worth" default:"0" min:"0" max:"1000000000000"`
	// CeilingRequests is what it never goes beyond, in requests a second; 0 = none.
	CeilingRequests float64 `toml:"ceiling_requests" default:"0" min:"0" max:"1000000000"`
	// CeilingWorth is the same in worth.
	CeilingWorth float64 `toml:"ceiling_worth" default:"0" min:"0" max:"1000000000000"`
	// LongRequests is what it never goes beyond over the long window, in requests a second; 0 = none.
	LongRequests float64 `toml:"long_requests" default:"0" min:"0" max:"1000000000"`
	// LongWorth is the same in worth.
	LongWorth float64 `toml:"long_worth" default:"0" min:"0" max:"1000000000000"`
	// Burst is how many seconds of its guarantee it may save up; 0 = as for all.
	Burst Duration `toml:"burst" default:"0s" min:"0s" max:"1h"`
	// Lends has its siblings borrow what it leaves.
	Lends bool `toml:"lends" default:"true"`
	// Borrows has it borrow what its siblings leave.
	Borrows bool `toml:"borrows" default:"true"`
}

// Others is the node of tenants that have none of their own, where the file names none.
const Others = "(others)"

// Own is the tree of one of so many instances: each holds its part of every rate, or of what is not leased.
func (q *Quota) Own(instances int) quota.Settings {
	return q.Tree().Fraction((1-q.Leased)/float64(max(1, instances)), q.Leased > 0)
}

// Tree puts the options in the terms of package quota, for the whole fleet.
func (q *Quota) Tree() quota.Settings {
	set := quota.Settings{Root: quota.Amount{q.Requests, q.Worth}, Floor: q.Floor,
		Priorities: max(1, len(q.Priorities)), Burst: q.Burst.Ms / 1000, LongWindow: q.LongWindow.Ms / 1000, Reserved: q.Kept,
		DebtDecay: q.Memory.Ms / 1000, RepayTime: q.PayBack.Ms / 1000, RepayFraction: q.PayPart, MaxRetryAfter: q.MostWait.Ms / 1000}
	for _, n := range q.Nodes {
		set.Nodes = append(set.Nodes, quota.Node{Name: n.Name, Parent: n.Parent, Share: n.Share,
			Guarantee: quota.Amount{n.Requests, n.Worth}, RateLimit: quota.Amount{n.CeilingRequests, n.CeilingWorth},
			LongLimit: quota.Amount{n.LongRequests, n.LongWorth}, Burst: n.Burst.Ms / 1000, NoLending: !n.Lends, NoBorrowing: !n.Borrows})
	}
	if q.Unknown == "" {
		set.Nodes = append(set.Nodes, quota.Node{Name: Others})
	}
	return set
}

// Check reports a tree that cannot work.
func (q *Quota) Check(report Report) {
	_, err := quota.New(q.Tree(), 0)
	if wrong := (*quota.FieldError)(nil); errors.As(err, &wrong) {
		field := "requests"
		at := slices.IndexFunc(q.Nodes, func(n QuotaNode) bool { return n.Name == wrong.Node })
		if at >= 0 {
			field = fmt.Sprintf("node.%d.name", at)
		}
		report(wrong.Error(), field)
	}
	if q.Unknown != "" && !slices.ContainsFunc(q.Nodes, func(n QuotaNode) bool { return n.Name == q.Unknown }) {
		report(fmt.Sprintf("%q is no node", q.Unknown), "unknown")
	}
	if t := (lease.Tree{Leased: q.Leased, Settings: q.Tree()}); q.On && q.Leased > 0 && len(t.Settings.Nodes) > lease.MaxNodes {
		report(fmt.Sprintf("stands beside %d nodes of the tree: %d at the most can be leased", len(t.Settings.Nodes), lease.MaxNodes), "leased", "node")
	}
	for i, name := range q.Priorities {
		if slices.Index(q.Priorities, name) != i {
			report(fmt.Sprintf("has %q twice", name), "priorities")
		}
	}
}

// Against reports classes that there are not, and a tree that would not fit.
func (q *Quota) Against(c *config.Config, report Report) {
	for _, name := range q.Priorities {
		if !slices.ContainsFunc(c.Settings.Classes, func(k decide.Class) bool { return k.Name == name }) {
			report(fmt.Sprintf("%q is no class of the platform's settings", name), "priorities")
		}
	}
	if need := float64(len(q.Nodes)) * quota.NodeBytes; q.On && need > c.MemoryMB*(1<<20)/2 {
		report(fmt.Sprintf("%d nodes hold %.0f MB, more than half of limits.memory_mb, %.0f MB", len(q.Nodes), need/(1<<20),
			c.MemoryMB), "node", "on")
	}
}
