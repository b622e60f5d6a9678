package dataplane

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
)

// A node whose lease is expiring because it cannot reach the control plane makes its clients use other nodes
// before it has to reject their requests. The fractions are of Bounds.Revoke.
const (
	readyLeaseFraction     = 0.55 // with less of the lease left, the node is not ready
	keepAliveLeaseFraction = 0.35 // with less of the lease left, the node does not keep client connections open
)

// leaseRemaining returns how long the configuration may still be used. It is negative if the lease has expired.
func (n *Node) leaseRemaining() time.Duration {
	return time.Duration(n.watcher.leaseEnd.Load()) - n.now()
}

// hasLease reports whether more than the given fraction of Bounds.Revoke is left of the lease.
func (n *Node) hasLease(fraction float64) bool {
	return n.leaseRemaining() > time.Duration(fraction*float64(n.settings.Bounds.Revoke))
}

// ready reports whether the platform may send new connections to this node.
func (n *Node) ready() bool {
	return !n.stopping.Load() && n.Table() != nil && n.hasLease(readyLeaseFraction)
}

// shouldCloseConnections reports whether clients should be asked to close their connections.
func (n *Node) shouldCloseConnections() bool {
	return n.closingConnections.Load() || !n.hasLease(keepAliveLeaseFraction)
}

// readinessHandler handles readiness checks of the platform and status requests of operators.
func (n *Node) readinessHandler() http.Handler {
	router := chi.NewRouter()
	router.Get("/-/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !n.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	router.Get("/-/status", n.serveStatus)
	return router
}

// statusBody is the body of /-/status. Its keys must not change, as operators' tools read them.
type statusBody struct {
	Node           string                     `json:"Node"`
	Ready          bool                       `json:"Ready"`
	Revision       int64                      `json:"Revision"` // of the current configuration, 0 = none
	LeaseRemaining string                     `json:"LeaseLeft"`
	Epoch          uint64                     `json:"Epoch"`   // of the control plane's view
	InFlight       int64                      `json:"Active"`  // client requests
	Rejected       map[string]int             `json:"Refused"` // without a complete response of a backend, by kind of error
	Forwarded      map[int]int                `json:"Passed"`  // forwarded responses of backends, by status
	Services       map[string][]backendStatus `json:"Services"`

	// EndedWithConnection counts forwarded responses that were delimited by the end of the backend's connection only.
	EndedWithConnection int `json:"EndedWithConnection"`
}

// serveStatus responds with the node's statusBody.
func (n *Node) serveStatus(w http.ResponseWriter, _ *http.Request) {
	body := statusBody{Node: n.settings.NodeName, Ready: n.ready(), InFlight: n.inFlight.Load(), Services: n.picker.status()}
	if table := n.Table(); table != nil {
		body.Revision = table.Revision
	}
	if n.settings.Bounds.Closed {
		body.LeaseRemaining = n.leaseRemaining().Round(time.Millisecond).String()
	} else {
		body.LeaseRemaining = "not needed"
	}
	body.Epoch, _ = n.watcher.members()
	body.Rejected, body.Forwarded = n.metrics.Counts()
	body.EndedWithConnection = n.metrics.EndedWithConnection()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
