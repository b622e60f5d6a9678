package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"linenwheel.dev/linenwheel/decide"
	"linenwheel.dev/linenwheel/internal/fleet/backend"
	"linenwheel.dev/linenwheel/internal/fleet/errkind"
	"linenwheel.dev/linenwheel/internal/fleet/memory"
	"linenwheel.dev/linenwheel/internal/fleet/operator"
	"linenwheel.dev/linenwheel/internal/fleet/routing"
)

// chunkSize is the maximum size of a read from a backend, in bytes.
const chunkSize = 16 << 10

// errTruncatedEvent is the reason for which a response that was received up to its end does not complete the client's
// response.
var errTruncatedEvent = errors.New("response ends within an event")

// streamState is the progress of forwarding a response, over all attempts.
//
// Once the header of one attempt's response has been written, the only bytes that later attempts may add are the
// events that follow those that the client has, and only a later attempt that adds some may complete the client's
// response.
type streamState struct {
	resumption
	headerWritten bool
	started       bool // the first part of a body has been received

	lastChunkAt      time.Time        // when the latest part of a body was received
	lastChunkAttempt *routing.Attempt // whose body that part belongs to
}

// clientError reports that writing the response to the client failed.
type clientError struct{ err error }

func (e *clientError) Error() string { return "write to client: " + e.err.Error() }

func (e *clientError) Unwrap() error { return e.err }

// isEventStream reports whether a response is taken for a stream of events: a success on a streaming route, unless
// it states another content type.
func (e *exchange) isEventStream(response *backend.Response) bool {
	return e.route.Type == operator.Streaming && response.Status < http.StatusMultipleChoices && !statesOtherType(response)
}

// responseResult returns the result of an attempt whose response was received whole, by its status.
func responseResult(status int) routing.Result {
	if status >= http.StatusInternalServerError {
		return decide.Failed
	}
	return decide.Succeeded
}

// forward forwards a backend's response to the client and ends the attempt.
func (e *exchange) forward(ctx context.Context, attempt *routing.Attempt, response *backend.Response) (attemptResult, *errkind.Error) {
	if response.Status < http.StatusMultipleChoices && response.Header.Get(backend.HeaderSeal) == "" {
		e.reportDone(attempt, decide.Failed, response.Load)
		return attemptRetryable, errkind.New(errkind.MalformedResponse, "successful response without a Response-Seal header")
	}
	var err error
	switch {
	case e.route.Type != operator.Streaming:
		err = e.forwardBuffered(attempt, response)
	case e.resumable() && response.Status < http.StatusMultipleChoices:
		err = e.forwardEvents(attempt, response)
	default:
		err = e.forwardChunks(attempt, response)
	}
	return e.finishForward(ctx, attempt, response, err)
}

// finishForward ends an attempt whose response was forwarded completely or up to err.
func (e *exchange) finishForward(ctx context.Context, attempt *routing.Attempt, response *backend.Response, err error) (attemptResult, *errkind.Error) {
	var clientFailed *clientError
	switch {
	case err == nil:
		e.recordComplete(attempt, response)
		e.reportDone(attempt, responseResult(response.Status), response.Load)
		e.handler.Metrics.CountForwarded(response.Status)
		return attemptDone, nil
	case errors.As(err, &clientFailed) || e.clientDisconnected():
		e.reportDone(attempt, decide.Cancelled, response.Load)
		return attemptFailed, errkind.New(errkind.BackendLost, "")
	case ctx.Err() != nil:
		e.reportDone(attempt, decide.Cancelled, response.Load)
		return attemptFailed, errkind.New(errkind.DeadlineExceededInFlight, "")
	}
	switch {
	case errors.Is(err, errUnconfirmedEnd):
		return e.askForRest(attempt, response)
	case errors.Is(err, memory.ErrExhausted):
		return e.endOversized(attempt, response)
	}
	e.handler.Log.Debug("response truncated", "route", e.route.Name, "backend", attempt.Backend.ID, "attempts", e.attempts,
		"framing", response.Framing, "client_resumes", e.clientResumes(), "header_written", e.stream.headerWritten,
		"last_event", e.stream.lastEventID, "err", err)
	e.reportDone(attempt, decide.Reset, response.Load)
	if e.mayContinue() {
		return attemptRetryable, errkind.New(errkind.BackendLost, "")
	}
	return attemptFailed, errkind.New(errkind.BackendLost, "")
}

// endOversized ends an attempt whose response does not fit into the memory for responses, which makes it a malformed one.
func (e *exchange) endOversized(attempt *routing.Attempt, response *backend.Response) (attemptResult, *errkind.Error) {
	e.handler.Log.Warn("response too large", "route", e.route.Name, "backend", attempt.Backend.ID, "attempts", e.attempts,
		"framing", response.Framing, "header_written", e.stream.headerWritten)
	e.reportDone(attempt, decide.Failed, response.Load)
	if !e.stream.headerWritten || e.mayContinue() {
		return attemptRetryable, errkind.New(errkind.MalformedResponse, "")
	}
	return attemptFailed, errkind.New(errkind.MalformedResponse, "")
}

// recordComplete records a response that is forwarded as complete although nothing but the end of its connection shows that
// it is.
func (e *exchange) recordComplete(attempt *routing.Attempt, response *backend.Response) {
	if response.Framing != backend.ByConnection {
		return
	}
	e.handler.Metrics.CountEndedWithConnection()
	e.handler.Log.Debug("response ended with its connection", "route", e.route.Name, "backend", attempt.Backend.ID, "attempts", e.attempts,
		"client_resumes", e.clientResumes(), "last_event", e.stream.lastEventID)
}

// recordFirstToken reports the first part of the first response's body to the picker.
func (e *exchange) recordFirstToken(attempt *routing.Attempt) {
	if !e.stream.started {
		e.stream.started = true
		e.handler.Picker.FirstToken(e.service, attempt)
		e.handler.Log.Debug("response started", "route", e.route.Name, "backend", attempt.Backend.ID, "reason", attempt.Reason,
			"prefix_cached", attempt.PrefixCached, "home_expected", attempt.HomeExpected, "expected", attempt.Expected,
			"elapsed", time.Since(e.receivedAt), "since_sent", time.Since(e.pickedAt), "target", e.route.Target,
			"input_tokens", e.prompt.inputTokens, "own_tokens", e.prompt.ownTokens, "attempts", e.attempts)
	}
}

// recordChunk records that a part of a body was received, and whether it followed a pause longer than the route's
// gap target. The time from the last part of one backend's body to the first part of another's is not attributed
// to either as a pause.
func (e *exchange) recordChunk(attempt *routing.Attempt) {
	now := time.Now()
	if e.route.GapTarget > 0 && e.stream.lastChunkAttempt == attempt && now.Sub(e.stream.lastChunkAt) > e.route.GapTarget {
		attempt.RecordPause()
	}
	e.stream.lastChunkAt, e.stream.lastChunkAttempt = now, attempt
}

// forwardBuffered reads the complete response before any of it is written to the client, so that a truncated
// response can be replaced by that of another attempt.
func (e *exchange) forwardBuffered(attempt *routing.Attempt, response *backend.Response) error {
	body, err := response.ReadAll()
	if err != nil {
		return err
	}
	e.recordFirstToken(attempt)
	e.writeHeader(response)
	if _, err := e.writer.Write(body); err != nil {
		return &clientError{err}
	}
	return nil
}

// forwardChunks forwards bytes as they are received. A success that ends within an event counts as truncated.
func (e *exchange) forwardChunks(attempt *routing.Attempt, response *backend.Response) error {
	isEvents := e.isEventStream(response)
	chunk := make([]byte, chunkSize)
	var tail []byte // the last bytes of the body so far, at most maxEventEnd
	for {
		n, err := response.Read(chunk)
		if n > 0 {
			tail = lastBytes(append(tail, lastBytes(chunk[:n])...))
			e.recordFirstToken(attempt)
			e.recordChunk(attempt)
			if err := e.writeBody(response, chunk[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			if isEvents && endsWithinEvent(tail) {
				return errTruncatedEvent
			}
			return e.finishBody(response, nil)
		}
		if err != nil {
			return err
		}
	}
}

// writeBody writes a part of a body to the client and flushes it. It writes the header first if that has not been
// done.
func (e *exchange) writeBody(response *backend.Response, data []byte) error {
	if !e.stream.headerWritten {
		e.writeHeader(response)
	}
	if _, err := e.writer.Write(data); err != nil {
		return &clientError{err}
	}
	if err := http.NewResponseController(e.writer).Flush(); err != nil {
		return &clientError{err}
	}
	return nil
}

// finishBody writes the rest of a complete body. It writes the header if that has not been done, even if the body
// is empty.
func (e *exchange) finishBody(response *backend.Response, rest []byte) error {
	if len(rest) > 0 {
		return e.writeBody(response, rest)
	}
	if !e.stream.headerWritten {
		e.writeHeader(response)
	}
	return nil
}
