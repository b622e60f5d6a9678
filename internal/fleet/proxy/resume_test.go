package proxy

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/decide"
	"linenwheel.dev/linenwheel/lab/engine"
)

// silence stands for the response of a backend that sends nothing until its client leaves.
const silence = "silence"

// rawBackend is a backend that sends the same bytes to each request and then closes the connection.
type rawBackend struct {
	response string
	later    string // sent to requests after the first, if it is set
	requests atomic.Int32
}

func (b *rawBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	response := b.response
	if b.requests.Add(1) > 1 {
		response = cmp.Or(b.later, response)
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if b.response == silence {
		<-r.Context().Done()
		return
	}
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(connection, response)
	_ = connection.Close()
}

// addRaw adds a backend that sends the given bytes.
func (f *fixture) addRaw(t *testing.T, response string) *rawBackend {
	t.Helper()
	raw := &rawBackend{response: response}
	server := httptest.NewServer(raw)
	t.Cleanup(server.Close)
	f.backends = append(f.backends, &engine.Server{ID: fmt.Sprintf("r%d", len(f.backends)), Address: server.Listener.Addr().String()})
	return raw
}

// framed returns a response to the request a1 with a stated length; header holds further lines.
func framed(status int, header, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d -\r\nAttempt-Id: a1\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
}

// Lines of a response's header.
const (
	sealLine   = "Response-Seal: other\r\n"
	streamLine = "Content-Type: text/event-stream\r\n"
	textLine   = "Content-Type: text/plain\r\n"
)

// Guards against a stream that ends as complete although a later attempt did not continue it: whatever else that
// attempt's backend sends must neither reach the client nor end the response.
func TestResponseThatDoesNotContinueAStreamIsNotForwarded(t *testing.T) {
	success := sealLine + streamLine
	unframed := "HTTP/1.1 200 -\r\nAttempt-Id: a1\r\n" + success + "\r\n"
	for name, test := range map[string]struct {
		response string
		body     string // events that the client receives after the first two
	}{
		"own failure":              {framed(500, sealLine, "error\n"), ""},
		"own failure, empty":       {framed(500, sealLine, ""), ""},
		"failure with events":      {framed(500, success, events(3, 6)), ""},
		"own timeout":              {framed(504, sealLine, "late\n"), ""},
		"not found":                {framed(404, sealLine, "none\n"), ""},
		"redirect":                 {framed(302, sealLine+"Location: /\r\n", ""), ""},
		"no content":               {"HTTP/1.1 204 -\r\nAttempt-Id: a1\r\n" + sealLine + "\r\n", ""},
		"empty success":            {framed(200, success, ""), ""},
		"empty success, unframed":  {unframed, ""},
		"success with a comment":   {framed(200, success, ": alive\n\n"), ""},
		"success with text":        {framed(200, sealLine+textLine, "yours"), ""},
		"success with paragraphs":  {framed(200, success, "yours\n\nor not\n\n"), ""},
		"success with an error":    {framed(200, success, "data: overloaded\n\n"), ""},
		"success with old events":  {framed(200, success, events(1, 2)), ""},
		"success without a seal":   {framed(200, streamLine, events(3, 6)), ""},
		"cut in its first event":   {framed(200, success, "id: 3\ndata: pie"), ""},
		"cut in its last event":    {framed(200, success, events(3, 4)+"id: 5\nda"), events(3, 4)},
		"cut in it, unframed":      {unframed + events(3, 4) + "id: 5\nda", events(3, 4)},
		"cut by its length":        {strings.TrimSuffix(framed(200, success, events(3, 6)), events(6, 6)), events(3, 5)},
		"not executed":             {framed(503, "Not-Executed: 1\r\n", ""), ""},
		"misdirected":              {framed(421, "", ""), ""},
		"not a response":           {"this is no answer\r\n\r\n", ""},
		"connection closed":        {"", ""},
		"silent until the timeout": {silence, ""},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.backends[0].SetFault(engine.BreaksOff)
			raw := f.addRaw(t, test.response)
			got := f.send(t, "/stream/resumed/6", func(r *http.Request) {
				if test.response == silence {
					r.Header.Set("Deadline-Ms", "700")
				}
			})
			f.requireTruncated(t, got, events(1, 2)+test.body)
			require.EqualValues(t, 1, raw.requests.Load())
		})
	}
}

// requireTruncated checks that the client received the first backend's header and a body that is visibly incomplete.
func (f *fixture) requireTruncated(t *testing.T, got clientResponse, body string) {
	t.Helper()
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, f.backends[0].Seal("a1"), got.header.Get("Response-Seal"), "header and seal are those of the first backend")
	require.Equal(t, body, got.body)
	require.False(t, got.complete, "the client must see that events are missing")
}

// Guards against an error of this process, after a stream has begun, that ends the stream as complete.
func TestStreamThatNoBackendContinuesIsVisiblyTruncated(t *testing.T) {
	for name, test := range map[string]struct {
		backends int
		setUp    func(f *fixture)
	}{
		"no other backend":   {1, func(*fixture) {}},
		"empty retry budget": {2, func(f *fixture) { f.noRetries = true }},
		"lease has run out":  {2, func(f *fixture) { f.leaseEndsAtRetry = true }},
		"refused connection": {2, func(f *fixture) { f.backends[1].Close() }},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, test.backends)
			f.backends[0].SetFault(engine.BreaksOff)
			test.setUp(f)
			f.requireTruncated(t, f.send(t, "/stream/resumed/6", nil), events(1, 2))
		})
	}
}

// Guards against a truncated stream that looks complete to an HTTP/1.0 client, for which the connection's end ends it.
func TestTruncatedStreamIsVisibleToAnHTTP10Client(t *testing.T) {
	request := "POST /stream/resumed/6 HTTP/1.0\r\nHost: h\r\nAttempt-Id: a1\r\nApi-Key: key\r\nContent-Length: 0\r\n\r\n"
	f := newFixture(t, 1)
	received, err := f.exchangeRaw(t, request)
	require.NoError(t, err)
	require.True(t, strings.HasSuffix(received, events(1, 6)), "a complete stream ends with the connection")
	f.backends[0].SetFault(engine.BreaksOff)
	_, err = f.exchangeRaw(t, request)
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

// Guards against forwarding what precedes the first event that follows those the client has.
func TestContinuationBeginsWithItsFirstNewEvent(t *testing.T) {
	f := newFixture(t, 1)
	f.backends[0].SetFault(engine.BreaksOff)
	f.addRaw(t, framed(200, sealLine+streamLine, ": alive\n\ndata: welcome\n\n"+events(1, 4)+": alive\n\n"+events(5, 6)+"data: [DONE]\n\n"))
	got := f.send(t, "/stream/resumed/6", nil)
	require.Equal(t, events(1, 4)+": alive\n\n"+events(5, 6)+"data: [DONE]\n\n", got.body)
	require.True(t, got.complete)
}

// Guards against giving a stream up, where attempts are left, because one later attempt did not continue it.
func TestStreamIsContinuedAfterAnAttemptThatDidNotContinueIt(t *testing.T) {
	for name, response := range map[string]string{
		"own failure":   framed(500, sealLine, "error\n"),
		"not found":     framed(404, sealLine, "none\n"),
		"empty success": framed(200, sealLine+streamLine, ""),
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.backends[0].SetFault(engine.BreaksOff)
			f.addRaw(t, response)
			sound, err := engine.Start("r2", "llm", engine.DefaultModel())
			require.NoError(t, err)
			t.Cleanup(sound.Close)
			f.backends = append(f.backends, sound)
			got := f.send(t, "/stream/thrice/6", nil)
			require.Equal(t, events(1, 6), got.body)
			require.True(t, got.complete)
			require.Equal(t, f.backends[0].Seal("a1"), got.header.Get("Response-Seal"))
			require.Equal(t, "2", sound.Requests()[0].Get("Last-Event-Id"))
		})
	}
}

// Guards against a stream that ends as complete although its backend ended the body within an event, as a crash may.
func TestStreamThatEndsWithinAnEventIsTruncated(t *testing.T) {
	header := "HTTP/1.1 200 -\r\nAttempt-Id: a1\r\n" + sealLine + streamLine
	cut := events(1, 2) + "id: 3\nda"
	for name, response := range map[string]string{
		"framed":   framed(200, sealLine+streamLine, cut),
		"chunked":  header + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(cut), cut),
		"unframed": header + "\r\n" + cut,
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 0)
			f.addRaw(t, response)
			got := f.send(t, "/stream/plain/6", nil)
			require.Equal(t, cut, got.body, "bytes are forwarded as they are received")
			require.False(t, got.complete)

			f = newFixture(t, 0)
			f.addRaw(t, response)
			sound, err := engine.Start("r1", "llm", engine.DefaultModel())
			require.NoError(t, err)
			t.Cleanup(sound.Close)
			f.backends = append(f.backends, sound)
			got = f.send(t, "/stream/resumed/6", nil)
			require.Equal(t, events(1, 6), got.body, "another backend continues after the last whole event")
			require.True(t, got.complete)
		})
	}
}

// Guards against taking whole bodies for truncated ones.
func TestWholeBodiesOnStreamingRoutesAreForwarded(t *testing.T) {
	for name, test := range map[string]struct {
		status       int
		header, body string
		last         string // Last-Event-Id that the client sends
	}{
		"events":              {200, sealLine + streamLine, events(1, 3), ""},
		"events without type": {200, sealLine, events(1, 3), ""},
		"CRLF events":         {200, sealLine + streamLine, "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n", ""},
		"no event":            {200, sealLine + streamLine, "", "7"},
		"text":                {200, sealLine + textLine, "no stream", "7"},
		"failure":             {404, sealLine, "no stream", "7"},
		"resumed":             {200, sealLine + streamLine, ": alive\n\n" + events(8, 9), "7"},
		"resumed in steps":    {200, sealLine + streamLine, "id: 9\ndata: a\n\nid: 12\ndata: b\n\n", "7"},
		"resumed at its end":  {200, sealLine + streamLine, ": alive\n\n", "7"},
		"only an end mark":    {200, sealLine + streamLine, "data: [DONE]\n\n", "7"},
	} {
		for _, path := range []string{"/stream/plain/", "/stream/resumed/"} {
			t.Run(name+path, func(t *testing.T) {
				f := newFixture(t, 0)
				f.addRaw(t, framed(test.status, test.header, test.body))
				got := f.send(t, path, func(r *http.Request) { r.Header.Set("Last-Event-Id", test.last) })
				require.Equal(t, test.status, got.status)
				require.Equal(t, test.body, got.body)
				require.True(t, got.complete)
			})
		}
	}
}

// Guards against events that come twice: a backend that continues a stream repeats what follows the id that it is
// told, and so all events that have no number as their id.
func TestStreamIsNotResumedAfterAnEventWithoutANumber(t *testing.T) {
	for name, test := range map[string]struct {
		written string // before the connection breaks
		resumed bool
	}{
		"no id":             {"data: a\n\ndata: b\n\n", false},
		"id is no number":   {"id: x\ndata: a\n\n", false},
		"last one has none": {events(1, 2) + "data: b\n\n", false},
		"comment at last":   {events(1, 2) + ": alive\n\n", true},
		"one in between":    {"data: a\n\n" + events(1, 2), true},
		"lines end in CRLF": {"id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 0)
			f.addRaw(t, strings.TrimSuffix(framed(200, sealLine+streamLine, test.written+"x"), "x"))
			next := f.addRaw(t, framed(200, sealLine+streamLine, events(3, 6)))
			got := f.send(t, "/stream/resumed/6", nil)
			require.Equal(t, test.resumed, got.complete)
			if test.resumed {
				require.Equal(t, test.written+events(3, 6), got.body)
				return
			}
			require.Equal(t, test.written, got.body)
			require.Zero(t, next.requests.Load())
		})
	}
}

// Guards against events that follow a part of a failure's body.
func TestTruncatedFailureIsNotContinued(t *testing.T) {
	f := newFixture(t, 0)
	f.addRaw(t, strings.TrimSuffix(framed(404, sealLine, "no such page"), "page"))
	next := f.addRaw(t, framed(200, sealLine+streamLine, events(1, 6)))
	got := f.send(t, "/stream/resumed/6", nil)
	require.Equal(t, http.StatusNotFound, got.status)
	require.Equal(t, "no such ", got.body)
	require.False(t, got.complete)
	require.Zero(t, next.requests.Load())
}

// Guards against events, or parts of them, that come twice where a client resumes at a backend that starts the stream over.
func TestClientThatResumesReceivesNoEventTwice(t *testing.T) {
	for name, test := range map[string]struct {
		last, sent, body string
		status           int
	}{
		"starts over":                       {"3", events(1, 6), events(4, 6), 200},
		"repeats the last event":            {"3", events(3, 6), events(4, 6), 200},
		"starts over, end mark":             {"3", events(1, 4) + "data: [DONE]\n\n", events(4, 4) + "data: [DONE]\n\n", 200},
		"starts over, nothing is missing":   {"6", events(1, 6), "", 200},
		"starts over with a greeting":       {"3", "data: hello\n\n" + events(1, 6), "data: hello\n\n" + events(4, 6), 200},
		"starts over in other events":       {"3", "id: 2\ndata: a\n\nid: 4\ndata: b\n\nid: 6\ndata: c\n\n", "", 502},
		"starts over, in steps that fit":    {"4", "id: 2\ndata: a\n\nid: 4\ndata: b\n\nid: 6\ndata: c\n\n", "id: 6\ndata: c\n\n", 200},
		"starts over, ends before the last": {"5", events(1, 3), "", 502},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 0)
			f.addRaw(t, framed(200, sealLine+streamLine, test.sent))
			got := f.send(t, "/stream/resumed/6", func(r *http.Request) { r.Header.Set("Last-Event-Id", test.last) })
			require.Equal(t, test.status, got.status)
			require.True(t, got.complete)
			if test.status == http.StatusOK {
				require.Equal(t, test.body, got.body)
			}
		})
	}
}

// Guards against parts of events that come twice where the proxy continues a stream at a backend that divides it differently.
func TestContinuationInOtherEventsIsNotJoined(t *testing.T) {
	f := newFixture(t, 1)
	f.backends[0].SetFault(engine.BreaksOff)
	f.addRaw(t, framed(200, sealLine+streamLine, "id: 1\ndata: piece-1\n\nid: 3\ndata: piece-2 piece-3\n\n"))
	f.requireTruncated(t, f.send(t, "/stream/resumed/6", nil), events(1, 2))
}

// Guards against a resumed stream that is given up although another backend goes on with it.
func TestClientsLastEventIsToldToEachBackend(t *testing.T) {
	f := newFixture(t, 0)
	f.addRaw(t, framed(200, sealLine+streamLine, "id: 2\ndata: a\n\nid: 4\ndata: b\n\n"))
	sound, err := engine.Start("r1", "llm", engine.DefaultModel())
	require.NoError(t, err)
	t.Cleanup(sound.Close)
	f.backends = append(f.backends, sound)
	got := f.send(t, "/stream/resumed/6", func(r *http.Request) { r.Header.Set("Last-Event-Id", "3") })
	require.Equal(t, events(4, 6), got.body)
	require.Equal(t, "3", sound.Requests()[0].Get("Last-Event-Id"))
}

// Guards against a stream that ends as complete because its backend, which goes on, closed a connection between two events.
func TestStreamThatEndsWithItsConnectionIsConfirmed(t *testing.T) {
	success := sealLine + streamLine
	unframed := "HTTP/1.1 200 -\r\nAttempt-Id: a1\r\n" + success + "\r\n"
	for name, test := range map[string]struct {
		next     string // response of the backend that is asked what follows
		body     string // events that the client receives after the first three
		complete bool
	}{
		"events follow":                {framed(200, success, events(4, 6)), events(4, 6), true},
		"nothing follows":              {framed(200, success, ""), "", true},
		"nothing follows, unframed":    {unframed, "", true},
		"nothing follows, a comment":   {framed(200, success, ": alive\n\n"), "", true},
		"nothing follows, no content":  {"HTTP/1.1 204 -\r\nAttempt-Id: a1\r\n" + sealLine + "\r\n", "", true},
		"nothing follows, starts over": {framed(200, success, events(1, 3)), "", true},
		"starts over, ends earlier":    {framed(200, success, events(1, 2)), "", false},
		"unconfirmed too":              {unframed + events(4, 5), events(4, 5), false},
		"starts over, unconfirmed":     {unframed + events(1, 3), "", false},
		"own failure":                  {framed(500, sealLine, "error\n"), "", false},
		"text":                         {framed(200, sealLine+textLine, "a\n\nb\n\n"), "", false},
		"an error as an event":         {framed(200, success, "data: overloaded\n\n"), "", false},
		"not executed":                 {framed(503, "Not-Executed: 1\r\n", ""), "", false},
		"connection closed":            {"", "", false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 0)
			f.addRaw(t, unframed+events(1, 3))
			asked := f.addRaw(t, test.next)
			got := f.send(t, "/stream/resumed/6", nil)
			require.Equal(t, events(1, 3)+test.body, got.body)
			require.Equal(t, test.complete, got.complete)
			require.EqualValues(t, 1, asked.requests.Load())
			f.mu.Lock()
			defer f.mu.Unlock()
			require.Equal(t, decide.Succeeded, f.results[0], "the first backend is not to blame")
		})
	}
}

// Guards against whole streams that are cut where nobody can be asked, or nobody needs to be.
func TestStreamThatEndsWithItsConnectionIsWhole(t *testing.T) {
	unframed := "HTTP/1.1 200 -\r\nAttempt-Id: a1\r\n" + sealLine + streamLine + "\r\n"
	for name, test := range map[string]struct {
		path, last, body string
		requests         int
	}{
		"not resumable":             {"/stream/plain/3", "", events(1, 3), 1},
		"not numbered":              {"/stream/resumed/3", "", "data: a\n\ndata: b\n\n", 1},
		"the only backend":          {"/stream/resumed/3", "", events(1, 3), 2},
		"nothing follows at resume": {"/stream/resumed/3", "3", "", 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 0)
			raw := f.addRaw(t, unframed+test.body)
			raw.later = unframed
			got := f.send(t, test.path, func(r *http.Request) { r.Header.Set("Last-Event-Id", test.last) })
			require.Equal(t, test.body, got.body)
			require.True(t, got.complete)
			require.EqualValues(t, test.requests, raw.requests.Load())
		})
	}
}
