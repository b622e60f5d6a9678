package raters

import (
	"bufio"
	"errors"
	"io"
	"math"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"linenwheel.dev/linenwheel/lab/live/link"
	"linenwheel.dev/linenwheel/lab/live/stage"
	"linenwheel.dev/linenwheel/lab/record"
	"linenwheel.dev/linenwheel/lab/world"
)

// A request as a rater reads it; the standard library's parser is no relative of the node's.
const (
	mostBody = 64 << 10
	mostHead = 16 << 10
	readFor  = 30 * time.Second // a request must be whole by then
)

// session is one connection of a node.
type session struct {
	host  *host
	conn  *link.Conn
	in    *bufio.Reader
	node  int
	full  bool // came above the cap: its first request is turned away
	first bool // nothing has been read yet: the handshake is still to be paid
	life  int  // the life of the rater's process that accepted it

	write sync.Mutex // one answer at a time
}

// serve reads the requests of a connection, one after the other, until it ends.
func (h *host) serve(c *link.Conn, node int) {
	s := &session{host: h, conn: c, in: bufio.NewReaderSize(c, 4<<10), node: node, first: true}
	dial := world.Silent
	h.do(func(now float64) {
		dial, s.life = h.model.Connect(now), h.life
		e := record.Event{At: now, Kind: record.Connected, Number: h.fleet.stage.Number(), Node: int16(node),
			Rater: int16(h.spec.Number), Work: float32(h.spec.HandshakeWork)}
		if dial != world.Connected {
			e.How, e.Work = 1, 0
		}
		h.sink.Add(e)
	})
	s.full = dial != world.Connected
	for s.one() {
	}
	_ = c.Close()
	if !s.full {
		h.do(func(now float64) {
			if h.life == s.life { // those of a process that has ended went with it
				h.model.Disconnect(now)
			}
		})
	}
}

// one reads a request and sees it through. It returns whether the connection goes on.
func (s *session) one() bool {
	idle := time.Duration(s.host.spec.ConnIdle * 1e6)
	_ = s.conn.SetReadDeadline(time.Now().Add(idle))
	if _, err := s.in.Peek(1); err != nil {
		return false // idle for too long, or the node has closed it
	}
	h, st := s.host, s.host.fleet.stage
	began := st.Clock.At(s.conn.Sent()) // when the node sent it, however long the network took
	_ = s.conn.SetReadDeadline(time.Now().Add(readFor))
	req, err := http.ReadRequest(s.in)
	var id uint64
	var body []byte
	if err == nil {
		id, _ = strconv.ParseUint(req.Header.Get("Req-Id"), 16, 64)
		body, err = io.ReadAll(io.LimitReader(req.Body, mostBody+1))
	}
	now := h.now()
	number := st.Number()
	a := &attempt{session: s, number: number, id: id, done: make(chan struct{})}
	_ = s.conn.SetReadDeadline(time.Time{})
	if err == nil && (req.URL.Path == "/alive" || req.URL.Path == "/metrics/load") {
		return s.probe(a, now)
	}
	if err != nil {
		return false // what cannot be read, or was not finished
	}
	if unfit := s.unfit(a, req, body, now); unfit != 0 {
		a.reply(plain(unfit, false), record.AnswerUnfit, 0)
		return true
	}
	arrival := &a.req.Arrival
	work, wait, luck := st.Day.Cost(arrival, uint64(number))
	e := record.Event{At: began, Kind: record.FirstByte, Request: id, Number: number, Node: int16(s.node),
		Rater: int16(h.spec.Number)}
	if !a.req.Rude {
		h.sink.Add(e)
	}
	e.At, e.Kind, e.Value, e.Extra, e.Work = now, record.Whole, a.req.Digest, arrival.Key, float32(work)
	if !a.req.Rude {
		h.sink.Add(e)
	}
	if a.req.Rude { // it can be read, and is of no use to any rater
		a.reply(plain(http.StatusBadRequest, false), record.AnswerUnfit, 0)
		return true
	}
	if s.full {
		a.reply(plain(http.StatusServiceUnavailable, true), record.AnswerTurned, 0)
		return false
	}
	offer := world.Attempt{Tag: uint64(number), Request: id, Key: arrival.Key, Work: work, Wait: wait, Luck: luck,
		Again: st.Day.Classes[arrival.Class].RepeatWork}
	if ms, err := strconv.ParseFloat(req.Header.Get("Req-Deadline-Ms"), 64); err == nil && ms > 0 && !math.IsInf(ms, 0) {
		offer.Deadline = now + ms
	}
	a.trouble(now)
	return s.hand(a, offer)
}

// give has the machine take an attempt, unless that has ended meanwhile.
func (s *session) give(a *attempt, offer world.Attempt) {
	h := s.host
	h.do(func(now float64) {
		if h.model.Mode() >= world.Down {
			a.cut(now, record.CutByRater)
			return
		}
		if a.isDone() {
			return // it ended during the handshake
		}
		h.open[offer.Tag] = a
		a.ticket = h.model.Offer(now, offer)
	})
}

// hand gives an attempt to the machine, after the handshake if the connection is new, and waits for its end.
func (s *session) hand(a *attempt, offer world.Attempt) bool {
	h := s.host
	trips := h.spec.HandshakeTrips * 2 * h.fleet.stage.Day.Pass(-1, nodeParty(s.node), party(h), 0).Delay
	if s.first && trips > 0 {
		s.first = false
		time.AfterFunc(time.Duration(trips*1e6), func() { s.give(a, offer) })
	} else {
		s.give(a, offer)
	}
	// The node gives the attempt up by closing the connection or ending its sending.
	_, err := s.in.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return false // answered, and idle for too long since
	}
	if err != nil {
		h.do(func(now float64) {
			if a.cut(now, s.closedBy()) {
				h.model.Cancel(now, a.ticket)
			}
		})
		return false
	}
	select {
	case <-a.done: // more came before the answer: it waits its turn
		return a.goesOn
	case <-h.fleet.closed:
		return false
	}
}

// closedBy returns who ended the session's connection, once an error has shown its end: the rater, if the process that accepted it has
// ended since, or the node.
func (s *session) closedBy() uint8 {
	if s.host.ended.Load() >= int64(s.life) {
		return record.CutByRater
	}
	return record.CutByNode
}

// unfit tells with which status a request must be answered that no client sent in this form; 0 for one that a client did.
func (s *session) unfit(a *attempt, req *http.Request, body []byte, now float64) int {
	e := record.Event{At: now, Kind: record.Foreign, Request: a.id, Number: a.number, Node: int16(s.node),
		Rater: int16(s.host.spec.Number)}
	text := req.Header.Get("Req-Id")
	if text == "" {
		return http.StatusNotFound
	}
	digest := stage.Digest(req.Method, req.URL.RequestURI(), req.Header.Get("Idempotency-Key"), body)
	sent, ok := s.host.fleet.stage.Book.Find(a.id, digest)
	switch {
	case sent == nil || text != stage.ID(a.id):
		e.How = record.ForeignID
	case sent.Hidden:
		e.How = record.ForeignBody
	case !ok:
		e.How = record.ForeignForm
	default:
		a.req = sent
		return 0
	}
	s.host.sink.Add(e)
	return http.StatusBadRequest
}

// probe answers a health call.
func (s *session) probe(a *attempt, now float64) bool {
	h := s.host
	if !h.fleet.stage.Day.Site.Node.Probes || s.full {
		a.reply(plain(http.StatusNotFound, false), record.AnswerUnfit, 0)
		return !s.full
	}
	h.sink.Add(record.Event{At: now, Kind: record.Probed, Number: a.number, Node: int16(s.node),
		Rater: int16(h.spec.Number), Work: float32(h.spec.ProbeWork)})
	a.isProbe = true
	return s.hand(a, world.Attempt{Tag: uint64(a.number), Work: h.spec.ProbeWork, Probe: true, Luck: uint64(a.number)})
}

// attempt is a request that a rater has got whole.
type attempt struct {
	session *session
	number  uint32
	id      uint64
	req     *stage.Request // nil for a probe
	isProbe bool
	ticket  world.Ticket
	spoil   spoil

	once   sync.Once
	goesOn bool          // the connection is of further use
	done   chan struct{} // closed once it is answered or cut
}

func (a *attempt) event(at float64, kind record.Kind) record.Event {
	return record.Event{At: at, Kind: kind, Request: a.id, Number: a.number, Node: record.None,
		Rater: int16(a.session.host.spec.Number)}
}

// counts tells whether it is an attempt at a usual client's request: no probe, no rude client's, none that is unfit.
func (a *attempt) counts() bool { return !a.isProbe && a.req != nil && !a.req.Rude }

// isDone tells whether the attempt has been answered or cut.
func (a *attempt) isDone() bool {
	select {
	case <-a.done:
		return true
	default:
		return false
	}
}

// cut notes that the attempt gets no answer; false if it had its end already.
func (a *attempt) cut(now float64, why uint8) (cut bool) {
	a.once.Do(func() {
		cut = true
		if a.counts() {
			e := a.event(now, record.Cut)
			e.How = why
			a.session.host.sink.Add(e)
		}
		close(a.done)
	})
	return cut
}

// happened writes down what the machine did with it, and gives what is to be sent, if that is its end. The host is locked.
func (a *attempt) happened(e world.Event) (end func()) {
	sink := a.session.host.sink
	if a.isProbe {
		switch e.What {
		case world.Answered:
			return func() { a.reply(plain(http.StatusOK, false), record.AnswerServed, 0) }
		case world.Turned, world.Failed:
			return func() { a.reply(plain(http.StatusServiceUnavailable, true), record.AnswerTurned, 0) }
		}
		return nil
	}
	switch e.What {
	case world.Began:
		sink.Add(a.event(e.At, record.Ran))
	case world.Stopped:
		ended := a.event(e.At, record.Ended)
		ended.How = 1
		sink.Add(ended)
	case world.Turned:
		status := http.StatusServiceUnavailable
		if e.Why == world.IsOverdue {
			status = http.StatusGatewayTimeout
		}
		return func() { a.reply(plain(status, true), record.AnswerTurned, 0) }
	case world.Failed:
		sink.Add(a.event(e.At, record.Ended))
		return func() { a.reply(plain(http.StatusInternalServerError, false), record.AnswerError, 0) }
	case world.Answered:
		sink.Add(a.event(e.At, record.Ended))
		return a.serve
	}
	return nil
}

// reply sends an answer that is all there is to say.
func (a *attempt) reply(bytes []byte, how uint8, digest uint64) {
	a.once.Do(func() {
		s := a.session
		s.write.Lock()
		defer s.write.Unlock()
		e := a.event(s.host.now(), record.Answered)
		e.How, e.Value = how, digest
		if _, err := s.conn.Write(bytes); err == nil {
			a.goesOn = true
			if a.counts() {
				s.host.sink.Add(e)
			}
			_ = s.conn.SetReadDeadline(time.Now().Add(time.Duration(s.host.spec.ConnIdle * 1e6)))
		} else if a.counts() {
			e.Kind, e.How, e.Value = record.Cut, s.closedBy(), 0
			s.host.sink.Add(e)
		}
		close(a.done)
	})
}
