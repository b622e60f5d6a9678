package routing

import (
	"time"

	"linenwheel.dev/linenwheel/decide"
)

// BackendLoad is the known load of a backend, from this node's attempts and from other nodes' events.
type BackendLoad struct {
	Prefilling  int           // attempts whose first token has not arrived
	Decoding    int           // long responses in progress
	QueueDelay  time.Duration // time until it has prefilled the prompts that it has
	Slowdown    float64       // multiple of the usual time to the first token
	FailureRate float64       // fraction of its attempts that fail, 0 to 1
}

// View returns the shares of this node's requests among the backends, and the backends' state.
func (b *Balancer) View(now time.Duration) decide.View { return b.shares.View(now) }

// Load returns the known load of the backend with an id. It discards prompts that are too old.
func (b *Balancer) Load(now time.Duration, id string) BackendLoad {
	load := b.loads.backend(TagOf(id))
	return BackendLoad{Prefilling: len(load.prefilling), Decoding: len(load.decoding), QueueDelay: b.loads.queueDelay(now, load),
		Slowdown: b.loads.slowdown(now, load), FailureRate: b.loads.failureRate(now, load)}
}

// BackendID returns the id of a backend by its number in View, "" if there is none.
func (b *Balancer) BackendID(id decide.BackendID) string {
	if m := b.byID[id]; m != nil {
		return m.backend.ID
	}
	return ""
}
