package controlplane

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"google.golang.org/protobuf/encoding/protojson"

	"linenwheel.dev/linenwheel/internal/fleet/errkind"
	"linenwheel.dev/linenwheel/internal/fleet/operator"
	"linenwheel.dev/linenwheel/internal/fleet/operator/operatorpb"
	"linenwheel.dev/linenwheel/internal/fleet/registry"
	"linenwheel.dev/linenwheel/internal/fleet/replica"
)

// The figures of the operator's calls. The operator turns to another process after a second of silence.
const (
	submitTimeout         = 750 * time.Millisecond // that one try at the head may take
	operatorTimeout       = 900 * time.Millisecond // that a call may take in all
	operatorRetryInterval = 60 * time.Millisecond  // between tries
	maxBodyBytes          = 64 << 20
	maxHeartbeatBytes     = 64 << 10
)

func (n *Node) router() http.Handler {
	r := chi.NewRouter()
	r.Put("/-/config", n.handleOrder)
	r.Patch("/-/config", n.handleOrder)
	r.Get("/-/config", n.handleReadConfig)
	r.Put("/-/instances/{id}", n.handleHeartbeat)
	r.Delete("/-/instances/{id}", n.handleDeregister)
	r.Get("/-/status", n.handleStatus)
	return r
}

type errorBody struct {
	Error string
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func writeError(w http.ResponseWriter, err error) {
	answer := errkind.KindOf(err).Response()
	writeJSON(w, answer.Status, errorBody{Error: err.Error()})
}

// handleOrder takes a call that changes the configuration.
func (n *Node) handleOrder(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err != nil || len(body) > maxBodyBytes {
		writeError(w, errkind.New(errkind.BadRequest, "the body could not be read whole"))
		return
	}
	base, err := strconv.ParseInt(strings.Trim(r.Header.Get("If-Match"), `" `), 10, 64)
	if err != nil {
		writeError(w, errkind.New(errkind.InvalidConfig, "header If-Match: a version number is wanted"))
		return
	}
	revision, err := n.submit(operator.Order{Method: r.Method, Base: base, Body: body})
	if err != nil {
		n.log.Info("order not taken", "base", base, "err", err)
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, struct{ Revision int64 }{revision})
}

// submit brings an order to the head, and to the next one where the view changes meanwhile.
func (n *Node) submit(order operator.Order) (int64, error) {
	deadline := time.Now().Add(operatorTimeout)
	for {
		revision, err := n.submitOnce(order, time.Until(deadline))
		if err == nil || errkind.KindOf(err) != errkind.OutcomeUnknown || time.Until(deadline) < 2*operatorRetryInterval {
			return revision, err
		}
		time.Sleep(operatorRetryInterval)
	}
}

func (n *Node) submitOnce(order operator.Order, wait time.Duration) (int64, error) {
	published, _ := n.replicator.Published()
	head := published.View.Head()
	switch head {
	case replica.Member{}:
		return 0, errkind.New(errkind.OutcomeUnknown, "there is no view yet")
	case published.Self:
		return n.replicator.Submit(order, wait)
	}
	var reply SubmitReply
	if err := n.pool.Call(head.Address, methodSubmit, &order, &reply, wait); err != nil {
		return 0, &errkind.Error{Kind: errkind.OutcomeUnknown, Detail: "the head does not answer", Err: err}
	}
	if reply.Failed {
		return 0, errkind.New(reply.Kind, "%s", reply.Detail)
	}
	return reply.Revision, nil
}

// handleReadConfig answers with the newest configuration.
func (n *Node) handleReadConfig(w http.ResponseWriter, _ *http.Request) {
	deadline := time.Now().Add(operatorTimeout)
	for {
		document, err := n.readOnce()
		if err == nil {
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write(document)
			return
		}
		if time.Until(deadline) < 2*operatorRetryInterval {
			writeError(w, err)
			return
		}
		time.Sleep(operatorRetryInterval)
	}
}

func (n *Node) readOnce() ([]byte, error) {
	published, _ := n.replicator.Published()
	tail := published.View.Tail()
	switch tail {
	case replica.Member{}:
		return nil, errkind.New(errkind.OutcomeUnknown, "there is no view yet")
	case published.Self:
		state, err := n.replicator.Read()
		if err != nil {
			return nil, err
		}
		return state.Document.JSON(), nil
	}
	var none struct{}
	var reply ReadReply
	if err := n.pool.Call(tail.Address, methodRead, &none, &reply, submitTimeout); err != nil {
		return nil, &errkind.Error{Kind: errkind.OutcomeUnknown, Detail: "the tail does not answer", Err: err}
	}
	return reply.Document, nil
}

// handleHeartbeat takes a rater's heartbeat. That a rater leaves is acknowledged only once the rest of the control plane knows it.
func (n *Node) handleHeartbeat(w http.ResponseWriter, r *http.Request) {
	record, err := parseHeartbeat(chi.URLParam(r, "id"), io.LimitReader(r.Body, maxHeartbeatBytes))
	if err != nil {
		writeError(w, err)
		return
	}
	n.mu.Lock()
	news := n.registry.Heartbeat(n.now(), record)
	n.mu.Unlock()
	n.acknowledge(w, news, record.ID)
}

func (n *Node) handleDeregister(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	n.mu.Lock()
	news := n.registry.Deregister(n.now(), id)
	n.mu.Unlock()
	n.acknowledge(w, news, id)
}

// acknowledge acknowledges what a rater told of itself.
func (n *Node) acknowledge(w http.ResponseWriter, news bool, id string) {
	n.mu.Lock()
	if news {
		n.notifyChanged()
	}
	record, known := n.registry.Get(n.now(), id)
	n.mu.Unlock()
	var err error
	switch {
	case !known:
	case record.State != registry.Ready:
		err = n.gossip.replicateDeregistration(record)
	case news:
		n.gossip.exchangeAll(n.gossip.peers(), []registry.Record{record})
	}
	if err != nil {
		n.log.Info("leaving not acknowledged", "rater", id, "err", err)
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

var heartbeatOptions = protojson.UnmarshalOptions{DiscardUnknown: true}

func parseHeartbeat(id string, body io.Reader) (registry.Record, error) {
	content, err := io.ReadAll(body)
	if err != nil {
		return registry.Record{}, errkind.New(errkind.BadRequest, "the body could not be read whole")
	}
	var rater operatorpb.Rater
	if err := heartbeatOptions.Unmarshal(content, &rater); err != nil {
		return registry.Record{}, &errkind.Error{Kind: errkind.BadRequest, Detail: "heartbeat", Err: err}
	}
	if rater.Backend == "" || rater.Address == "" {
		return registry.Record{}, &errkind.Error{Kind: errkind.BadRequest, Err: errors.New("heartbeat without Backend or Address")}
	}
	record := registry.Record{ID: id, Backend: rater.Backend, Address: rater.Address, Zone: rater.Zone, Revision: rater.Revision,
		Slots: int(rater.Slots), Sequence: rater.Sequence, WarmupLeft: time.Duration(rater.WarmupLeftMs * float64(time.Millisecond))}
	if rater.State == "draining" {
		record.State = registry.Draining
	}
	return record, nil
}

// statusBody is what the process tells people of itself.
type statusBody struct {
	Member        string
	Epoch         uint64
	Chain         []string
	Voters        []string
	Standby       []string // caught up, and ready to take a voter's place
	InChain       bool
	CaughtUp      bool // this process has the state with which the view began
	Healthy       bool
	Revision      int64
	Seq           uint64
	ViewConfirmed string // how long ago the view was certainly the newest one
	Raters        int
	Sessions      int
}

func (n *Node) handleStatus(w http.ResponseWriter, _ *http.Request) {
	published, _ := n.replicator.Published()
	now := n.now()
	n.mu.Lock()
	raters, sessions := n.registry.Size(), len(n.sessions)
	n.mu.Unlock()
	confirmed := "never"
	if published.ViewConfirmed > 0 {
		confirmed = (now - published.ViewConfirmed).Round(time.Millisecond).String() + " ago"
	}
	inChain := false
	for _, member := range published.View.Chain {
		inChain = inChain || member == published.Self
	}
	writeJSON(w, http.StatusOK, statusBody{Member: published.Self.Address, Epoch: published.View.Epoch,
		Chain: addresses(published.View.Chain), Voters: addresses(published.View.Voters), Standby: addresses(published.Standby),
		InChain: inChain, CaughtUp: published.CaughtUp,
		Healthy: published.Healthy, Revision: published.State.Document.Revision, Seq: published.Seq, ViewConfirmed: confirmed,
		Raters: raters, Sessions: sessions})
}
