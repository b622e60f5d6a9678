package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"linenwheel.dev/linenwheel/decide"
	"linenwheel.dev/linenwheel/internal/fleet/backend"
	"linenwheel.dev/linenwheel/internal/fleet/errkind"
	"linenwheel.dev/linenwheel/internal/fleet/operator"
	"linenwheel.dev/linenwheel/internal/fleet/routing"
)

// stream is how far an answer has been passed on.
type stream struct {
	headSent bool
	lastID   string // of the last event that the client has
	lastSeen int64
	begun    bool
	cameAt   time.Time // when the last part of the answer came
}

// pieceSize is the size of the pieces in which answers are passed on.
const pieceSize = 16 << 10

// pass gives the client a rater's answer as it comes.
func (c *call) pass(ctx context.Context, ticket *routing.Attempt, answer *backend.Response) (verdict, *errkind.Error) {
	if answer.Status < http.StatusMultipleChoices && answer.Header.Get(backend.HeaderSeal) == "" {
		c.end(ticket, decide.Failed, answer.Load)
		return elsewhere, errkind.New(errkind.MalformedResponse, "a success without its seal")
	}
	var err error
	switch {
	case c.route.Type != operator.Streaming:
		err = c.passWhole(ticket, answer)
	case c.resumable() && answer.Status < http.StatusMultipleChoices:
		err = c.passEvents(ticket, answer)
	default:
		err = c.passPieces(ticket, answer)
	}
	return c.passed(ctx, ticket, answer, err)
}

// passed ends an attempt whose answer was passed on, as far as it came.
func (c *call) passed(ctx context.Context, ticket *routing.Attempt, answer *backend.Response, err error) (verdict, *errkind.Error) {
	var gone *clientError
	switch {
	case err == nil && answer.Status >= http.StatusInternalServerError:
		c.end(ticket, decide.Failed, answer.Load)
		c.handler.Metrics.Passed(answer.Status)
		return done, nil
	case err == nil:
		c.end(ticket, decide.Good, answer.Load)
		c.handler.Metrics.Passed(answer.Status)
		return done, nil
	case errors.As(err, &gone) || c.clientGone():
		c.end(ticket, decide.Cancelled, answer.Load)
		return failed, errkind.New(errkind.BackendLost, "")
	case ctx.Err() != nil:
		c.end(ticket, decide.Cancelled, answer.Load)
		return failed, errkind.New(errkind.DeadlineExceededInFlight, "")
	}
	c.end(ticket, decide.Reset, answer.Load)
	if c.resumable() {
		return elsewhere, errkind.New(errkind.BackendLost, "")
	}
	return failed, errkind.New(errkind.BackendLost, "")
}

// clientError is a client that takes no more.
type clientError struct{ err error }

func (e *clientError) Error() string { return e.err.Error() }

func (c *call) begun(ticket *routing.Attempt) {
	if !c.stream.begun {
		c.stream.begun = true
		c.handler.Picker.FirstToken(c.service, ticket)
		c.handler.Log.Debug("answer begins", "route", c.route.Name, "rater", ticket.Backend.ID, "why", ticket.Reason,
			"kept", ticket.PrefixCached, "home_expected", ticket.HomeExpected, "expected", ticket.Expected, "took", time.Since(c.arrived), "since_sent", time.Since(c.placed), "target", c.route.Target,
			"input", c.prompt.input, "own", c.prompt.own, "sends", c.sends)
	}
}

// came notes that a part of an answer came.
func (c *call) came(ticket *routing.Attempt) {
	now := time.Now()
	if c.route.GapTarget > 0 && !c.stream.cameAt.IsZero() && now.Sub(c.stream.cameAt) > c.route.GapTarget {
		ticket.RecordPause()
	}
	c.stream.cameAt = now
}

// passWhole reads an answer to its end before the client gets any of it: one that is broken off is then no answer.
func (c *call) passWhole(ticket *routing.Attempt, answer *backend.Response) error {
	body, err := io.ReadAll(answer)
	if err != nil {
		return err
	}
	c.begun(ticket)
	c.writeHead(answer)
	if _, err := c.writer.Write(body); err != nil {
		return &clientError{err}
	}
	return nil
}

// passPieces passes bytes on as they come.
func (c *call) passPieces(ticket *routing.Attempt, answer *backend.Response) error {
	piece := make([]byte, pieceSize)
	for {
		n, err := answer.Read(piece)
		if n > 0 {
			c.begun(ticket)
			c.came(ticket)
			if err := c.write(answer, piece[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			if !c.stream.headSent {
				c.writeHead(answer)
			}
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (c *call) write(answer *backend.Response, bytes []byte) error {
	if !c.stream.headSent {
		c.writeHead(answer)
	}
	if _, err := c.writer.Write(bytes); err != nil {
		return &clientError{err}
	}
	if err := http.NewResponseController(c.writer).Flush(); err != nil {
		return &clientError{err}
	}
	return nil
}

var eventEnd = []byte("\n\n")

// passEvents passes whole events on, each once: what is broken off in the middle of an event is continued at another
// rater after the last whole one.
func (c *call) passEvents(ticket *routing.Attempt, answer *backend.Response) error {
	var held []byte
	piece := make([]byte, pieceSize)
	for {
		n, err := answer.Read(piece)
		held = append(held, piece[:n]...)
		whole := bytes.LastIndex(held, eventEnd) + len(eventEnd)
		if whole >= len(eventEnd) {
			c.begun(ticket)
			c.came(ticket)
			if err := c.writeEvents(answer, held[:whole]); err != nil {
				return err
			}
			held = append(held[:0], held[whole:]...)
		}
		if errors.Is(err, io.EOF) {
			return c.endEvents(answer, held)
		}
		if err != nil {
			return err
		}
	}
}

func (c *call) endEvents(answer *backend.Response, rest []byte) error {
	if len(rest) > 0 {
		return c.write(answer, rest)
	}
	if !c.stream.headSent {
		c.writeHead(answer)
	}
	return nil
}

// writeEvents gives the client the events that it does not have yet.
func (c *call) writeEvents(answer *backend.Response, events []byte) error {
	var fresh []byte
	for len(events) > 0 {
		end := bytes.Index(events, eventEnd) + len(eventEnd)
		event := events[:end]
		events = events[end:]
		if id, number, found := eventID(event); found {
			if c.stream.lastID != "" && number <= c.stream.lastSeen {
				continue
			}
			c.stream.lastID, c.stream.lastSeen = id, number
		}
		fresh = append(fresh, event...)
	}
	if len(fresh) == 0 {
		return nil
	}
	return c.write(answer, fresh)
}

// eventID reads the id of an event, which is a rising number.
func eventID(event []byte) (string, int64, bool) {
	for line := range bytes.Lines(event) {
		value, found := bytes.CutPrefix(line, []byte("id:"))
		if !found {
			continue
		}
		id := string(bytes.TrimSpace(value))
		number, err := strconv.ParseInt(id, 10, 64)
		return id, number, err == nil
	}
	return "", 0, false
}
