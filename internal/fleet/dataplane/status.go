package dataplane

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
)

// A node whose lease runs out because it does not reach the control plane sends its clients elsewhere before it must reject
// them: with this fraction of Bounds.Revoke left it is no longer ready, and then no longer keeps clients' connections.
const (
	readyLeaseFraction     = 0.55
	keepAliveLeaseFraction = 0.35
)

// leaseRemaining returns how long the configuration may still be used, negative where the lease has run out.
func (n *Node) leaseRemaining() time.Duration {
	return time.Duration(n.watcher.leaseEnd.Load()) - n.now()
}

// hasLease reports whether more than a fraction of Bounds.Revoke is left of the lease.
func (n *Node) hasLease(fraction float64) bool {
	return n.leaseRemaining() > time.Duration(fraction*float64(n.settings.Bounds.Revoke))
}

// ready reports whether the platform may hand new connections to this node.
func (n *Node) ready() bool {
	return !n.stopping.Load() && n.Table() != nil && n.hasLease(readyLeaseFraction)
}

// shouldCloseConnections reports whether clients are to close their connections.
func (n *Node) shouldCloseConnections() bool {
	return n.closingConnections.Load() || !n.hasLease(keepAliveLeaseFraction)
}

// readinessHandler serves the address that the platform and the operators ask.
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

// statusBody is the body of /-/status. Its keys are those that operators have always had.
type statusBody struct {
	Node           string                     `json:"Node"`
	Ready          bool                       `json:"Ready"`
	Revision       int64                      `json:"Revision"` // of the configuration in force, 0 = none
	LeaseRemaining string                     `json:"LeaseLeft"`
	Epoch          uint64                     `json:"Epoch"`   // of the control plane's view
	InFlight       int64                      `json:"Active"`  // clients' requests
	Rejected       map[string]int             `json:"Refused"` // requests without a backend's response, by kind of error
	Forwarded      map[int]int                `json:"Passed"`  // backends' responses, by status
	Services       map[string][]backendStatus `json:"Services"`
}

// serveStatus writes the statusBody.
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
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
