package dataplane

import (
	"sync"

	"linenwheel.dev/linenwheel/internal/fleet/settings"
)

// The parts of the fleet's retry budget that are used: nodes know nothing of each other, so each keeps to its own part.
const (
	ratioPart = 0.5
	slackPart = 0.4
)

// retryBudget bounds the sends beyond the first to each service. Each first send earns a part of a further one; what is
// saved up is bounded by this node's part of the slack.
type retryBudget struct {
	ratio float64
	slack float64

	mu     sync.Mutex
	nodes  int
	tokens map[string]float64
}

func newRetryBudget(bounds settings.Bounds) *retryBudget {
	return &retryBudget{ratio: ratioPart * bounds.RetryBudgetRatio, slack: slackPart * bounds.BudgetSlack, nodes: 1,
		tokens: map[string]float64{}}
}

func (b *retryBudget) setNodes(nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = max(1, nodes)
}

func (b *retryBudget) most() float64 { return max(1, b.slack/float64(b.nodes)) }

// Deposit notes the first send of a request.
func (b *retryBudget) Deposit(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	saved, known := b.tokens[service]
	if !known {
		saved = b.most()
	}
	b.tokens[service] = min(saved+b.ratio, b.most())
}

// TryWithdraw takes a further send, if there is one.
func (b *retryBudget) TryWithdraw(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens[service] < 1 {
		return false
	}
	b.tokens[service]--
	return true
}
