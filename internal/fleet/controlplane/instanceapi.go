package controlplane

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"google.golang.org/protobuf/encoding/protojson"

	"linenwheel.dev/linenwheel/internal/fleet/errkind"
	"linenwheel.dev/linenwheel/internal/fleet/operator/operatorpb"
	"linenwheel.dev/linenwheel/internal/fleet/registry"
)

// Bounds of a heartbeat.
const (
	maxHeartbeatBytes = 64 << 10
	maxWarmupMs       = 24 * 60 * 60 * 1000
)

// errIncompleteHeartbeat means that a heartbeat lacks fields that are required to register a backend.
var errIncompleteHeartbeat = errors.New("heartbeat without Backend or Address")

var heartbeatOptions = protojson.UnmarshalOptions{DiscardUnknown: true}

// handleHeartbeat serves a backend's heartbeat. A heartbeat with the state "draining" is acknowledged like a
// deregistration.
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

// handleDeregister serves the call by which a backend deregisters.
func (n *Node) handleDeregister(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	n.mu.Lock()
	changed := n.registry.Deregister(n.now(), id)
	n.mu.Unlock()
	n.acknowledge(w, changed, id)
}

// acknowledge replies to a backend's call after replicating its record. A draining or removed backend may exit as
// soon as it is acknowledged, so that is done only when no data plane node can keep using a registry without the
// change.
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

// checkHeartbeat returns an error that names the first field of a heartbeat which cannot be used.
func checkHeartbeat(heartbeat *operatorpb.Rater) error {
	if _, _, err := net.SplitHostPort(heartbeat.Address); err != nil {
		return fmt.Errorf("field Address: %w", err)
	}
	switch {
	case heartbeat.Slots < 0:
		return fmt.Errorf("field Slots is %d", heartbeat.Slots)
	case heartbeat.Sequence < 0:
		return fmt.Errorf("field Sequence is %d", heartbeat.Sequence)
	case !(heartbeat.WarmupLeftMs >= 0 && heartbeat.WarmupLeftMs <= maxWarmupMs): // NaN is neither
		return fmt.Errorf("field WarmupLeftMs is %v", heartbeat.WarmupLeftMs)
	}
	return nil
}

// parseHeartbeat returns the record that a heartbeat's body describes. Errors are of kind BadRequest.
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
	if err := checkHeartbeat(&heartbeat); err != nil {
		return registry.Record{}, &errkind.Error{Kind: errkind.BadRequest, Detail: "heartbeat", Err: err}
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
