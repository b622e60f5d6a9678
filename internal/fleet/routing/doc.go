// Package routing picks the backend of each attempt. It is pure: the caller passes the time, as a duration on its
// own clock, and nothing here does I/O or starts a goroutine.
//
// A Balancer serves one service. It holds a decide.Balancer, which learns each backend's latency (the time to the
// first token) over its load and solves for the backends' shares of this node's requests.
//
// A first attempt whose prompt has no shared prefix goes to the next backend of decide's weighted round robin
// (roundrobin.go). Backends that are new or return after an ejection get their first requests there.
//
// A request with a prefix goes to its home, the backend that rendezvous hashing selects for the prefix
// (rendezvous.go): all nodes agree on the home, so the prefix is prefilled and cached only there. The request goes
// to the next backend in hash order if the home is ejected or has more than its fraction of this node's requests
// in flight, and to one of the next backends if a smaller loss of the request's value is expected there
// (prefixpick.go, loss.go).
//
// That loss depends on what the backends prefill and decode for all nodes, on how fast they are, and on how often
// they fail. Nodes report these to each other as events (event.go), from which each node maintains the load of
// every backend (load.go, prefillcurve.go, prefixcache.go). The shares are not used as weights of the hash: each
// node learns its own from few responses, and weights that differ between nodes would scatter the prefixes.
package routing
