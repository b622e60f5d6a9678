package controlplane

import (
	"net/http"
	"slices"
	"time"
)

// statusBody is the body of the status response. The keys are public: operators' scripts read them.
type statusBody struct {
	Member        string   // internal address
	Epoch         uint64   // of the view
	Chain         []string // head first
	Voters        []string
	Standby       []string // caught up and ready to replace a voter
	InChain       bool
	CaughtUp      bool  // this process has the view's initial state and all later orders that it knows of
	Healthy       bool  // its disk can be written to
	Revision      int64 // of the committed configuration
	Seq           uint64
	ViewConfirmed string // age of the last confirmation that the view is the newest one, or "never"
	Backends      int    `json:"Raters"`
	Sessions      int    // data plane nodes that poll this process
}

func (n *Node) handleStatus(w http.ResponseWriter, _ *http.Request) {
	published, _ := n.replicator.Published()
	now := n.now()
	n.mu.Lock()
	backends, sessions := n.registry.Size(), len(n.sessions)
	n.mu.Unlock()
	confirmed := "never"
	if published.ViewConfirmed > 0 {
		confirmed = (now - published.ViewConfirmed).Round(time.Millisecond).String() + " ago"
	}
	writeJSON(w, http.StatusOK, statusBody{
		Member:        published.Self.Address,
		Epoch:         published.View.Epoch,
		Chain:         addresses(published.View.Chain),
		Voters:        addresses(published.View.Voters),
		Standby:       addresses(published.Standby),
		InChain:       slices.Contains(published.View.Chain, published.Self),
		CaughtUp:      published.CaughtUp,
		Healthy:       published.Healthy,
		Revision:      published.State.Document.Revision,
		Seq:           published.Seq,
		ViewConfirmed: confirmed,
		Backends:      backends,
		Sessions:      sessions,
	})
}
