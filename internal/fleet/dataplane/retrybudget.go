package dataplane

import (
	"sync"

	"linenwheel.dev/linenwheel/internal/fleet/settings"
)

// Fractions of the fleet's retry budget that are used. Nodes do not know of each other's retries, so each stays
// within its share.
const (
	ratioFraction = 0.5
	slackFraction = 0.4
)

// retryBudget implements proxy.RetryBudget: it bounds the retries to each service by a token bucket. Each first
// attempt deposits a fraction of a retry, and the bucket holds no more than this node's share of the slack. It is
// safe for concurrent use.
type retryBudget struct {
	ratio float64 // retries deposited by a first attempt
	slack float64 // retries that all nodes together may accumulate

	mu     sync.Mutex
	nodes  int
	tokens map[string]float64 // retries that may be made now, by service
}

func newRetryBudget(bounds settings.Bounds) *retryBudget {
	return &retryBudget{ratio: ratioFraction * bounds.RetryBudgetRatio, slack: slackFraction * bounds.BudgetSlack, nodes: 1,
		tokens: map[string]float64{}}
}

// setNodes sets the number of nodes that share the slack.
func (b *retryBudget) setNodes(nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = max(1, nodes)
}

// maxTokens returns the capacity of a service's bucket. The caller holds the lock.
func (b *retryBudget) maxTokens() float64 { return max(1, b.slack/float64(b.nodes)) }

// Deposit records the first attempt of a request. A service's bucket starts full.
func (b *retryBudget) Deposit(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens, known := b.tokens[service]
	if !known {
		tokens = b.maxTokens()
	}
	b.tokens[service] = min(tokens+b.ratio, b.maxTokens())
}

// TryWithdraw takes a retry from the budget and reports whether the retry may be made.
func (b *retryBudget) TryWithdraw(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens[service] < 1 {
		return false
	}
	b.tokens[service]--
	return true
}
