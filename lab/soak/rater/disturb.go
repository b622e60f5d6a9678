package rater

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"linenwheel.dev/linenwheel/lab/soak/behaviour"
	"linenwheel.dev/linenwheel/lab/soak/record"
)

// Times and sizes of behaviours.
const (
	slowBegin     = 400 * time.Millisecond
	extraDelay    = 5 * time.Millisecond // before what comes after a whole answer
	endlessFor    = 3 * time.Second
	endlessPause  = 2 * time.Millisecond
	endlessBlock  = 128 << 10 // bytes in each pause
	longHeader    = 20 << 10  // bytes
	notExecuted   = "Not-Executed: 1\r\n"
	statusGarbage = 0
)

// perform records the run and answers as its behaviour says. It reports whether the connection serves another request.
func (r *run) perform() (keep bool) {
	status, executed := r.outcome()
	r.record(status, executed)
	switch r.behaviour {
	case behaviour.Misdirected:
		return r.reply(status, "")
	case behaviour.Rejects, behaviour.TooMany:
		return r.reply(status, notExecuted)
	case behaviour.Fails, behaviour.GivesUp:
		keep = r.reply(status, "Response-Seal: "+r.seal()+"\r\n")
	case behaviour.ShortGarbage:
		_, _ = io.WriteString(r.connection, "no answer\r\n\r\n")
	case behaviour.EndlessGarbage:
		r.sendEndlessly("", "no answer, ")
	case behaviour.EndlessHeader:
		r.sendEndlessly("HTTP/1.1 200 OK\r\nAttempt-Id: "+r.id+"\r\n", "Name: value\r\n")
	case behaviour.EndlessEvent:
		r.sendEndlessly("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: "+r.id+"\r\nResponse-Seal: "+r.seal()+"\r\n\r\n", ": comment\n")
	case behaviour.Silent:
		_, _ = io.Copy(io.Discard, r.connection) // until the client closes it
	default:
		if r.plan.Continuation == Fails {
			return r.reply(status, "")
		}
		keep = r.sendBesides()
	}
	r.process.Records.Write(record.Entry{At: time.Now().UnixNano(), Ran: &record.Ran{Attempt: r.id, Rater: r.process.Registration.ID,
		Whole: r.plan.Ending == Whole}})
	return keep
}

// sendBesides sends the response of the plan with what the behaviour adds to it.
func (r *run) sendBesides() (keep bool) {
	switch r.behaviour {
	case behaviour.OddNumbers:
		return r.send("Instance-Load: NaN,-1,9223372036854775808\r\nKeep-Alive: timeout=99999999999999999999\r\n")
	case behaviour.LongHeader:
		return r.send("Long: " + strings.Repeat("x", longHeader) + "\r\n")
	case behaviour.Slow:
		time.Sleep(slowBegin)
	case behaviour.Early:
		keep = r.send("")
		return r.readBody() == nil && keep
	case behaviour.ExtraAnswer, behaviour.ForeignBytes:
		if keep = r.send(""); keep {
			time.Sleep(extraDelay)
			_, _ = io.WriteString(r.connection, r.extra())
		}
		return keep
	}
	return r.send("")
}

// extra returns what comes after a whole answer.
func (r *run) extra() string {
	if r.behaviour == behaviour.ForeignBytes {
		return "bytes that belong to no request"
	}
	body := Event(1, r.tokens)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", r.id, r.seal(), len(body), body)
}

// outcome returns the status of the response, statusGarbage for none, and whether the rater begins to work on the request.
func (r *run) outcome() (status int, executed bool) {
	switch r.behaviour {
	case behaviour.Misdirected:
		return http.StatusMisdirectedRequest, false
	case behaviour.Rejects:
		return http.StatusServiceUnavailable, false
	case behaviour.TooMany:
		return http.StatusTooManyRequests, false
	case behaviour.Fails:
		return http.StatusInternalServerError, true
	case behaviour.GivesUp:
		return http.StatusGatewayTimeout, true
	case behaviour.ShortGarbage, behaviour.EndlessGarbage, behaviour.EndlessHeader, behaviour.Silent:
		return statusGarbage, true
	}
	if r.plan.Continuation == Fails {
		return http.StatusInternalServerError, true
	}
	return http.StatusOK, true
}

// record records the run, before any byte of the response is sent.
func (r *run) record(status int, executed bool) {
	header := r.request.Header
	r.process.Records.Write(record.Entry{At: time.Now().UnixNano(), Run: &record.Run{Attempt: r.id, Stream: header.Get(HeaderStream),
		Rater: r.process.Registration.ID, Service: r.process.Registration.Backend, Method: r.request.Method, Path: r.request.URL.Path, Body: record.Text(r.body),
		Tenant: header.Get("Tenant"), Key: header.Get("Api-Key"), Usage: header.Get("Token-Usage"), Last: r.last, Executed: executed, Status: status,
		Behaviour: string(r.behaviour), Ending: uint8(r.plan.Ending), Framing: uint8(r.plan.Framing), LooksLike: r.plan.LooksWhole(true)}})
}

// reply sends a short answer with further lines of the header, and reports whether the connection serves another request.
func (r *run) reply(status int, lines string) (keep bool) {
	connection := "Connection: close\r\n"
	if r.keeps {
		connection = ""
	}
	_, err := fmt.Fprintf(r.connection, "HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\n%s%sContent-Length: 0\r\n\r\n", status, http.StatusText(status), r.id, lines, connection)
	return r.keeps && err == nil
}

// sendEndlessly sends a beginning and then the same text until the connection is closed, or for endlessFor.
func (r *run) sendEndlessly(begin, text string) {
	_, err := io.WriteString(r.connection, begin)
	block := strings.Repeat(text, endlessBlock/len(text))
	for deadline := time.Now().Add(endlessFor); err == nil && time.Now().Before(deadline); time.Sleep(endlessPause) {
		_, err = io.WriteString(r.connection, block)
	}
}
