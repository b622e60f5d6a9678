package raters

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"linenwheel.dev/linenwheel/lab/live/stage"
	"linenwheel.dev/linenwheel/lab/record"
	"linenwheel.dev/linenwheel/lab/world"
)

// plain is an answer without a body of its own. declined says that the request never ran.
func plain(status int, declined bool) []byte {
	text := strings.ToLower(http.StatusText(status)) + "\n"
	mark := ""
	if declined {
		mark = "Srv-Declined: 1\r\n"
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\n%sContent-Length: %d\r\n\r\n%s", status,
		http.StatusText(status), mark, len(text), text)
}

// served is a good answer; now and then in chunks, which say the same.
func served(body []byte, number uint32) []byte {
	head := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	if number%8 != 0 {
		return append([]byte(head+"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"), body...)
	}
	cut := len(body) / 3
	return fmt.Appendf(nil, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", head, cut, body[:cut],
		len(body)-cut, body[cut:])
}

// spoil is what is wrong with an attempt's answer.
type spoil uint8

const (
	asItIs spoil = iota
	resetAtOnce
	resetInstead // of the answer, having run
	noise
	endlessHead
	tooLong  // its length says more than comes
	tooShort // and less
	badChunk
	endlessBody
	copyBehind
	noiseBehind
	badReport
	hintsBefore
)

var (
	spoilt  = []spoil{noise, endlessHead, tooLong, tooShort, badChunk, endlessBody}
	surplus = []spoil{copyBehind, noiseBehind, badReport, hintsBefore}
)

// luck draws a number in [0, 1) for what happens to an attempt by chance.
func luck(a *attempt, what uint64) float64 {
	x := (uint64(a.number)*0x9e3779b97f4a7c15 ^ what*0xd1342543de82ef95) ^ a.session.host.fleet.stage.Day.Seed
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return float64((x^x>>31)>>11) / (1 << 53)
}

// trouble draws what is wrong with the attempt's answer.
func (a *attempt) trouble(now float64) {
	day := a.session.host.fleet.stage.Day
	for i := range day.Troubles {
		t := &day.Troubles[i]
		if now < t.From || now >= t.To || luck(a, uint64(3*i+1)) >= t.Share {
			continue
		}
		pick := luck(a, uint64(3*i+2))
		switch t.Kind {
		case world.Resets:
			a.spoil = resetAtOnce + spoil(2*pick)
		case world.Spoilt:
			a.spoil = spoilt[int(pick*float64(len(spoilt)))]
		case world.Surplus:
			a.spoil = surplus[int(pick*float64(len(surplus)))]
		}
	}
	if a.spoil == resetAtOnce {
		f := a.session.host.fleet
		time.AfterFunc(time.Duration(luck(a, 0)*20e6), func() { f.work(func() {}, a.reset) })
	}
}

// reset breaks the connection before the answer. Work that has begun goes on.
func (a *attempt) reset() {
	if a.cut(a.session.host.now(), record.CutByRater) {
		a.session.conn.Reset()
	}
}

const (
	endlessFor = 10 * time.Second // what never ends does so after this
	endlessGap = 5 * time.Millisecond
)

// serve sends the answer of an attempt that has been served, spoilt if it must be.
func (a *attempt) serve() {
	st := a.session.host.fleet.stage
	body := stage.Answer(a.req, a.session.host.spec.Name, a.number)
	digest := stage.DigestOf(body)
	good := served(body, a.number)
	head := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	switch a.spoil {
	case resetAtOnce, resetInstead:
		a.reset()
	case noise:
		a.spoilt(st, garbage(a, 512), nil)
	case endlessHead:
		a.spoilt(st, []byte(head), []byte("X-More: "+strings.Repeat("m", 1000)+"\r\n"))
	case tooLong:
		a.spoilt(st, fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", head, len(body)+100, body), nil)
	case tooShort: // what is left over is no answer
		a.spoilt(st, fmt.Appendf(nil, "%sContent-Length: -%d\r\n\r\n%s", head, len(body), body), nil)
	case badChunk:
		a.spoilt(st, fmt.Appendf(nil, "%sTransfer-Encoding: chunked\r\n\r\nzz\r\n%s\r\n0\r\n\r\n", head, body), nil)
	case endlessBody:
		a.spoilt(st, []byte(head+"Content-Length: 3221225472\r\n\r\n"), bytes.Repeat([]byte("3 GB of it. "), 2000))
	case copyBehind:
		a.reply(append(good, good...), record.AnswerSurplus, digest)
	case noiseBehind:
		a.reply(append(good, garbage(a, 200)...), record.AnswerSurplus, digest)
	case badReport:
		a.reply(bytes.Replace(good, []byte("\r\n"), []byte("\r\nSrv-Load: :,;=nonsense==\r\n"), 1), record.AnswerSurplus, digest)
	case hintsBefore:
		a.reply(append([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </rates>\r\n\r\n"), good...),
			record.AnswerSurplus, digest)
	default:
		a.reply(good, record.AnswerServed, digest)
	}
}

func garbage(a *attempt, n int) []byte {
	b := make([]byte, n)
	x := uint64(a.number) + 1
	for i := range b {
		x = x*6364136223846793005 + 1442695040888963407
		b[i] = byte(x >> 56)
	}
	return b
}

// spoilt sends what is no answer, and then, if there is more, that again and again until the node closes. The connection
// stays open: it is for the node to see that it is of no use.
func (a *attempt) spoilt(st *stage.Stage, start, more []byte) {
	a.once.Do(func() {
		s := a.session
		s.write.Lock()
		defer s.write.Unlock()
		e := a.event(st.Clock.Now(), record.Answered)
		e.How = record.AnswerSpoilt
		s.host.sink.Add(e)
		close(a.done)
		end := time.Now().Add(endlessFor)
		_ = s.conn.SetWriteDeadline(end)
		for _, err := s.conn.Write(start); err == nil && more != nil && time.Now().Before(end); _, err = s.conn.Write(more) {
			time.Sleep(endlessGap)
		}
	})
}
