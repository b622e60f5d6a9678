package quota

import (
	"math"
)

const (
	contendSeconds = 1.0  // time for which a child counts as a contender after it last tried to borrow
	fairSlack      = 0.02 // load divided by weight by which a child may be ahead of its fair share, with the parent's bucket half full
	maxBehind      = 1.0  // load divided by weight by which it may be behind: it cannot claim later what it did not request in time
)

// maxAhead returns how far a child may be ahead of its fair share, in load divided by weight, when the parent's
// bucket has this level.
func maxAhead(fill float64) float64 {
	if fill >= 1 {
		return math.Inf(1)
	}
	return fairSlack * max(0, fill) / (1 - fill)
}

// contend records that a child requests some of its parent's spare capacity now.
func (t *Tree) contend(child int32) {
	n := &t.nodes[child]
	p := &t.nodes[n.parent]
	if n.contends {
		t.withdraw(child)
	} else {
		n.borrowed = max(n.borrowed, p.fairShare) // capacity that it did not use before is no claim
	}
	n.borrowed = max(n.borrowed, p.fairShare-maxBehind)
	n.contends, n.lastRequest = true, t.seconds
	p.contendingWeight += n.weight
	n.prevContender, n.nextContender = p.lastContender, -1
	if p.lastContender >= 0 {
		t.nodes[p.lastContender].nextContender = child
	} else {
		p.firstContender = child
	}
	p.lastContender = child
}

// withdraw removes a child from its parent's list of contenders.
func (t *Tree) withdraw(child int32) {
	n := &t.nodes[child]
	p := &t.nodes[n.parent]
	if n.prevContender >= 0 {
		t.nodes[n.prevContender].nextContender = n.nextContender
	} else {
		p.firstContender = n.nextContender
	}
	if n.nextContender >= 0 {
		t.nodes[n.nextContender].prevContender = n.prevContender
	} else {
		p.lastContender = n.prevContender
	}
	n.contends, n.nextContender, n.prevContender = false, -1, -1
	if p.contendingWeight -= n.weight; p.firstContender < 0 {
		p.contendingWeight = 0 // removes rounding errors
	}
}
