package proxy

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/decide"
	"linenwheel.dev/linenwheel/internal/fleet/backend"
	"linenwheel.dev/linenwheel/internal/fleet/memory"
	"linenwheel.dev/linenwheel/lab/engine"
)

// addEndless adds a backend that answers every request with a header and then the same text until its client leaves.
func (f *fixture) addEndless(t *testing.T, header, text string) {
	t.Helper()
	block := strings.Repeat(text, 1+(64<<10)/len(text))
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		connection, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = connection.Close() }()
		_, err = io.WriteString(connection, header)
		for err == nil {
			_, err = io.WriteString(connection, block)
		}
	}))
	t.Cleanup(server.Close)
	f.backends = append(f.backends, &engine.Server{ID: "endless", Address: server.Listener.Addr().String()})
}

// Guards against a process that holds a backend's bytes without a bound. The attempt ends as one with a malformed response.
func TestResponseWithoutAnEndIsOneMalformedAttempt(t *testing.T) {
	const head = "HTTP/1.1 200 -\r\nAttempt-Id: a1\r\n" + sealLine
	const whole = "id: 1\ndata: piece-1\n\nid: 2\ndata: piece-2\n\n"
	for name, test := range map[string]struct {
		path, header, text string
		status             int
		body               string // "" = not compared
	}{
		"garbage, resumable stream": {"/stream/resumed/2", "", "no answer, ", http.StatusOK, whole},
		"garbage, unsafe":           {"/unsafe/2", "", "no answer, ", http.StatusBadGateway, ""},
		"event, resumable stream":   {"/stream/resumed/2", head + streamLine + "\r\n", "data: x\n", http.StatusOK, whole},
		"event in chunks":           {"/stream/resumed/2", head + streamLine + "Transfer-Encoding: chunked\r\n\r\n", "8\r\ndata: x\n\r\n", http.StatusOK, whole},
		"body, safe":                {"/safe/2", head + "\r\n", "body", http.StatusOK, ""},
		"body, unsafe":              {"/unsafe/2", head + "Content-Length: 100000000000\r\n\r\n", "body", http.StatusBadGateway, ""},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 0)
			f.addEndless(t, test.header, test.text)
			second, err := engine.Start("second", "llm", engine.DefaultModel())
			require.NoError(t, err)
			t.Cleanup(second.Close)
			f.backends = append(f.backends, second)
			budget := memory.NewBudget(1 << 20)
			f.handler.Backends = backend.NewClient(budget)
			response := f.send(t, test.path, func(r *http.Request) { r.Header.Set("Deadline-Ms", "60000") })
			require.Equal(t, test.status, response.status)
			require.True(t, response.complete)
			if test.body != "" {
				require.Equal(t, test.body, response.body)
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			require.Equal(t, decide.Failed, f.results[0])
			require.Zero(t, budget.Used())
		})
	}
}

func TestBodiesOfRequestsAreBoundedTogether(t *testing.T) {
	f := newFixture(t, 1)
	f.handler.Memory = memory.NewBudget(1500)
	body := func(size int) func(r *http.Request) {
		return func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", size))), int64(size)
		}
	}
	require.Equal(t, http.StatusOK, f.send(t, "/safe/2", body(700)).status)
	refused := f.send(t, "/safe/2", body(900))
	require.Equal(t, http.StatusServiceUnavailable, refused.status, "not run: the client may send it again")
	require.NotEmpty(t, refused.header.Get("Retry-After"))
	require.Equal(t, http.StatusRequestEntityTooLarge, f.send(t, "/safe/2", body(1001)).status, "above the configured limit")
	require.Equal(t, http.StatusOK, f.send(t, "/safe/2", body(700)).status)
	require.Zero(t, f.handler.Memory.Used())
}

// Guards against numbers that a client can state to be served without a limit: a NaN is neither above nor below anything.
func TestNumbersOfAClientAreBounded(t *testing.T) {
	for _, text := range []string{"NaN", "nan", "Inf", "+Inf", "-Inf", "infinity", "-1", "-0.5", "1e10", "1e400", "0x1p40", "9223372036854775808", "1e", ""} {
		header := http.Header{"Token-Usage": {text + "," + text}, "Prompt-Prefix": {"aa:" + text + ",bb:" + text + ",cc:" + text}}
		parsed := parsePrompt(header)
		require.Zero(t, parsed.usage(), text)
		require.Zero(t, parsed.ownTokens, text)
	}
	for _, text := range []string{"NaN", "Inf", "-Inf", "-5", "0", "1e300", "9223372036854775808", "x"} {
		f := newFixture(t, 1)
		response := f.send(t, "/safe/2", func(r *http.Request) {
			r.Header.Set("Deadline-Ms", text)
			r.Header.Set("Token-Usage", text+","+text)
		})
		require.Equal(t, http.StatusOK, response.status, "Deadline-Ms %s: the route's timeout holds", text)
		require.InDelta(t, 7, f.acquired, 0, "Token-Usage %s: the tenant's PlainTokens are taken", text)
	}
}

// Guards against an event whose parts are searched again with each part that follows: the time would grow with its square.
func TestEventsAreFoundWhereverTheirPartsEnd(t *testing.T) {
	for _, text := range []string{"data: a\n\ndata: b\n\n", "data: a\r\n\r\ndata: b\r\n\r\n", "data: a\n\ndata: b\r\n\r\n", "\n\n", "data: a\n", ""} {
		whole := completeEvents([]byte(text))
		for size := 1; size <= len(text); size++ {
			complete := 0
			for begin := 0; begin < len(text); begin += size {
				if found := completeEventsAfter([]byte(text[:min(begin+size, len(text))]), begin); found > 0 {
					complete = found
				}
			}
			require.Equal(t, whole, complete, "%q in parts of %d", text, size)
		}
	}
}

func BenchmarkLongEvent(b *testing.B) {
	event := bytes.Repeat([]byte("data: x\n"), 4<<20/8)
	for b.Loop() {
		for end := chunkSize; end <= len(event); end += chunkSize {
			completeEventsAfter(event[:end], end-chunkSize)
		}
	}
}
