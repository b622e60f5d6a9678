package controlplane

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"google.golang.org/protobuf/encoding/protojson"

	"linenwheel.dev/linenwheel/internal/fleet/errkind"
	"linenwheel.dev/linenwheel/internal/fleet/operator/operatorpb"
	"linenwheel.dev/linenwheel/internal/fleet/registry"
)

const maxHeartbeatBytes = 64 << 10

// errIncompleteHeartbeat says that a heartbeat lacks what a backend cannot be registered without.
var errIncompleteHeartbeat = errors.New("heartbeat without Backend or Address")

var heartbeatOptions = protojson.UnmarshalOptions{DiscardUnknown: true}

// handleHeartbeat serves a backend's heartbeat. One that says that the backend drains is acknowledged like a deregistration.
func (n *Node) handleHeartbeat(w http.ResponseWriter, r *http.Request) {
	record, err := parseHeartbeat(chi.URLParam(r, "id"), io.LimitReader(r.Body, maxHeartbeatBytes))
	if err != nil {
		writeError(w, err)
		return
	}
	n.mu.Lock()
	changed := n.registry.Heartbeat(n.now(), record)
	n.mu.Unlock()
	n.acknowledge(w, changed, record.ID)
}

// handleDeregister serves a backend's call that it has ended.
func (n *Node) handleDeregister(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	n.mu.Lock()
	changed := n.registry.Deregister(n.now(), id)
	n.mu.Unlock()
	n.acknowledge(w, changed, id)
}

// acknowledge answers a backend's call once the other control processes have what they need. That a backend drains or has
// ended is acknowledged only when no node of the data plane can go on without learning of it, since the backend may exit then.
func (n *Node) acknowledge(w http.ResponseWriter, changed bool, id string) {
	n.mu.Lock()
	if changed {
		n.notifyChanged()
	}
	record, known := n.registry.Get(n.now(), id)
	n.mu.Unlock()
	var err error
	switch {
	case !known:
	case record.State != registry.Ready:
		err = n.gossip.replicateDeregistration(record)
	case changed:
		n.gossip.exchangeAll(n.gossip.peers(), []registry.Record{record})
	}
	if err != nil {
		n.log.Info("failed to replicate deregistration", "rater", id, "err", err)
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// parseHeartbeat returns the record that a heartbeat's body describes. Its errors have the kind BadRequest.
func parseHeartbeat(id string, body io.Reader) (registry.Record, error) {
	content, err := io.ReadAll(body)
	if err != nil {
		return registry.Record{}, errkind.New(errkind.BadRequest, "the body could not be read whole")
	}
	var heartbeat operatorpb.Rater
	if err := heartbeatOptions.Unmarshal(content, &heartbeat); err != nil {
		return registry.Record{}, &errkind.Error{Kind: errkind.BadRequest, Detail: "heartbeat", Err: err}
	}
	if heartbeat.Backend == "" || heartbeat.Address == "" {
		return registry.Record{}, &errkind.Error{Kind: errkind.BadRequest, Err: errIncompleteHeartbeat}
	}
	record := registry.Record{
		ID:         id,
		Backend:    heartbeat.Backend,
		Address:    heartbeat.Address,
		Zone:       heartbeat.Zone,
		Revision:   heartbeat.Revision,
		Slots:      int(heartbeat.Slots),
		Sequence:   heartbeat.Sequence,
		WarmupLeft: time.Duration(heartbeat.WarmupLeftMs * float64(time.Millisecond)),
	}
	if heartbeat.State == "draining" {
		record.State = registry.Draining
	}
	return record, nil
}
