package routing

import (
	"time"

	"linenwheel.dev/linenwheel/decide"
)

// BackendLoad is what is known of a backend's load from the attempts of this node and from the events of others.
type BackendLoad struct {
	Prefilling  int           // attempts whose first token has not come
	Decoding    int           // long responses in progress
	QueueDelay  time.Duration // until it is done with the prompts that it has
	Slowdown    float64       // times the usual time to the first token
	FailureRate float64       // of its attempts, 0 to 1
}

// View returns how this node's requests are shared among the backends, and how those do.
func (b *Balancer) View(now time.Duration) decide.View { return b.shares.View(now) }

// Load returns what is known of the load of the backend with an id. It forgets prompts that are too old.
func (b *Balancer) Load(now time.Duration, id string) BackendLoad {
	load := b.loads.backend(TagOf(id))
	return BackendLoad{Prefilling: len(load.prefilling), Decoding: len(load.decoding), QueueDelay: b.loads.queueDelay(now, load),
		Slowdown: b.loads.slowdown(now, load), FailureRate: b.loads.failureRate(now, load)}
}

// BackendID returns the id of a backend by its number in View, "" where there is none.
func (b *Balancer) BackendID(id decide.BackendID) string {
	if m := b.byID[id]; m != nil {
		return m.backend.ID
	}
	return ""
}
