// Package routing picks the backend of each attempt. It is pure: the caller passes the time, a duration on its own clock, and
// nothing here does I/O or starts a goroutine.
//
// A Balancer serves one service. It holds a decide.Balancer, which learns each backend's latency over its load (the time to the
// first token) and solves for the backends' shares of this node's requests.
//
// A first attempt whose prompt has no shared prefix goes to the next backend of decide's weighted round robin. Backends that are new or
// come back after an ejection get their first requests there (roundrobin.go).
//
// A request with a prefix goes to its home, the backend that the rendezvous hash of the prefix names (rendezvous.go): all nodes
// agree on the home, so the prefix is prefilled and cached there only. The request goes to the next backend in the hash's order
// where the home is ejected or holds more than its part of this node's requests, and to one of the next where a smaller loss of
// the request's value is expected there (prefixpick.go, loss.go).
//
// That loss depends on what the backends prefill and decode for all nodes, on how fast they are, and on how often they fail. Nodes
// report these to each other as events (event.go), from which each keeps the load of every backend (load.go, prefillcurve.go,
// prefixcache.go). The shares are no weights of the hash: each node learns its own from few responses, and weights that differ
// between nodes would scatter the prefixes.
package routing
