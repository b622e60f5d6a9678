package controlplane

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/errkind"
	"linenwheel.dev/linenwheel/internal/fleet/memory"
	"linenwheel.dev/linenwheel/internal/fleet/operator"
	"linenwheel.dev/linenwheel/internal/fleet/replica"
)

// Parameters of the operator's calls. The operator switches to another process after one second without a response.
const (
	submitTimeout         = 750 * time.Millisecond // of one attempt at the head or the tail
	operatorTimeout       = 900 * time.Millisecond // of a call including all attempts
	operatorRetryInterval = 60 * time.Millisecond
	maxBodyBytes          = 64 << 20
)

// handleOrder serves an order: a call that changes the configuration.
func (n *Node) handleOrder(w http.ResponseWriter, r *http.Request) {
	reservation := n.memory.Reserve()
	defer reservation.Release()
	body, err := n.readOrder(r, reservation)
	if err != nil {
		writeError(w, err)
		return
	}
	base, err := strconv.ParseInt(strings.Trim(r.Header.Get("If-Match"), `" `), 10, 64)
	if err != nil {
		writeError(w, errkind.New(errkind.InvalidConfig, "header If-Match: a version number is wanted"))
		return
	}
	order := operator.Order{Method: r.Method, Base: base, Body: body}
	revision, err := n.commitOrder(order)
	if err != nil {
		n.log.Info("failed to commit order", "base", base, "err", err)
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, struct{ Revision int64 }{revision})
}

// readOrder reads the body of an order into reserved memory. It must fit into half of the memory for bodies, and into
// maxBodyBytes.
func (n *Node) readOrder(r *http.Request, reservation *memory.Reservation) ([]byte, error) {
	longest := int64(maxBodyBytes)
	if limit, limited := n.memory.Limit(); limited {
		longest = min(longest, limit)
	}
	if r.ContentLength > longest {
		return nil, errkind.New(errkind.TooLarge, "more than %d bytes", longest)
	}
	body, err := memory.ReadAll(io.LimitReader(r.Body, longest+1), reservation, r.ContentLength)
	switch {
	case errors.Is(err, memory.ErrExhausted) && r.ContentLength < 0:
		return nil, &errkind.Error{Kind: errkind.TooLarge, Err: err}
	case errors.Is(err, memory.ErrExhausted):
		return nil, &errkind.Error{Kind: errkind.OutOfMemory, Err: err}
	case err != nil:
		return nil, errkind.New(errkind.BadRequest, "the body could not be read whole")
	case int64(len(body)) > longest:
		return nil, errkind.New(errkind.TooLarge, "more than %d bytes", longest)
	}
	return body, nil
}

// commitOrder checks an order, has it committed and returns the revision that it created.
func (n *Node) commitOrder(order operator.Order) (int64, error) {
	if err := order.CheckFields(); err != nil {
		return 0, err
	}
	return retryUnknown(func(timeout time.Duration) (int64, error) { return n.submitToHead(order, timeout) })
}

// handleReadConfig serves the newest committed configuration.
func (n *Node) handleReadConfig(w http.ResponseWriter, _ *http.Request) {
	document, err := retryUnknown(func(time.Duration) ([]byte, error) { return n.readFromTail() })
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(document)
}

// retryUnknown retries while the outcome is unknown and operatorTimeout has not elapsed: the view may change in
// the meantime, so that another member becomes the head or the tail. Retries are safe, because an order that is
// submitted twice is committed once.
func retryUnknown[T any](attempt func(remaining time.Duration) (T, error)) (T, error) {
	deadline := time.Now().Add(operatorTimeout)
	for {
		result, err := attempt(time.Until(deadline))
		if err == nil || errkind.KindOf(err) != errkind.OutcomeUnknown || time.Until(deadline) < 2*operatorRetryInterval {
			return result, err
		}
		time.Sleep(operatorRetryInterval)
	}
}

// submitToHead submits an order to the head of the chain and returns the committed revision.
func (n *Node) submitToHead(order operator.Order, timeout time.Duration) (int64, error) {
	published, _ := n.replicator.Published()
	head := published.View.Head()
	switch head {
	case replica.Member{}:
		return 0, errkind.New(errkind.OutcomeUnknown, "there is no view yet")
	case published.Self:
		return n.replicator.Submit(order, timeout)
	}
	var reply SubmitReply
	if err := n.pool.Call(head.Address, methodSubmit, &order, &reply, timeout); err != nil {
		return 0, &errkind.Error{Kind: errkind.OutcomeUnknown, Detail: "the head does not answer", Err: err}
	}
	if reply.Failed {
		return 0, errkind.New(reply.Kind, "%s", reply.Detail)
	}
	return reply.Revision, nil
}

// readFromTail returns the newest committed configuration as JSON, read from the tail of the chain. All errors are
// of kind OutcomeUnknown.
func (n *Node) readFromTail() ([]byte, error) {
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
