package quota

import (
	"math"
)

const (
	contendSeconds = 1.0  // for which a child counts as a contender after it wanted to borrow
	fairSlack      = 0.02 // load by weight by which a child may be ahead of its fair share, with a bucket half full
	maxBehind      = 1.0  // load by weight by which it may be behind: what it did not want then it does not get later
)

// maxAhead returns how far a child may be ahead of its fair share, in loads by weight, of a bucket with this level.
func maxAhead(fill float64) float64 {
	if fill >= 1 {
		return math.Inf(1)
	}
	return fairSlack * max(0, fill) / (1 - fill)
}

// contend records that a child wants some of its parent's spare capacity now.
func (t *Tree) contend(x int32) {
	n := &t.nodes[x]
	p := &t.nodes[n.parent]
	if n.contends {
		t.withdraw(x)
	} else {
		n.borrowed = max(n.borrowed, p.fairShare) // what it did not use before is no claim
	}
	n.borrowed = max(n.borrowed, p.fairShare-maxBehind)
	n.contends, n.lastRequest = true, t.seconds
	p.contendingWeight += n.weight
	n.prevContender, n.nextContender = p.lastContender, -1
	if p.lastContender >= 0 {
		t.nodes[p.lastContender].nextContender = x
	} else {
		p.firstContender = x
	}
	p.lastContender = x
}

// withdraw removes a child from the list of those that want capacity.
func (t *Tree) withdraw(x int32) {
	n := &t.nodes[x]
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
