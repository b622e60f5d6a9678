package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// stages returns stages that an embedder may put before the dispatch decision; entered and left report to the
// scenario where a call is.
func stages(entered, left chan string) []Stage {
	answers := func(next Handler) Handler {
		return func(call *Call) Answer {
			switch call.ID {
			case "turned-away":
				return Refuse(OverQuota, "no room", 250)
			case "forbidden":
				return Fail(Forbidden, "not yours")
			case "lost":
				return Answer{Kind: Left} // though its client is still connected
			}
			return next(call)
		}
	}
	waits := func(next Handler) Handler {
		return func(call *Call) Answer {
			if call.ID != "waits" {
				return next(call)
			}
			entered <- call.ID
			<-call.Done()
			left <- call.ID
			return Answer{Kind: Left}
		}
	}
	panics := func(next Handler) Handler {
		return func(call *Call) Answer {
			a := next(call)
			if call.ID == "breaks" {
				panic("on purpose")
			}
			return a
		}
	}
	return []Stage{answers, waits, panics}
}

// Guards against a stage's answer being sent as another one, a request being sent on despite it, a client that
// leaves while a stage waits and is still waited for, and a panic that ends more than its own call.
func TestStages(t *testing.T) {
	entered, left := make(chan string, 1), make(chan string, 1)
	s, n := startNode(t, Extras{First: stages(entered, left)}, 1024, []string{"h1"})
	s.Run(begin("h1") + `
		a send POST /pay/1 id=turned-away deadline=900
		a expect 429 Retry-After=0.250
		a send POST /pay/1 id=forbidden deadline=900
		a expect 403 Retry-After=
		a send POST /pay/1 id=lost deadline=900
		a expect 502
		a send POST /pay/1 id=breaks deadline=900
		r expect POST /pay/1 id=breaks
		r send 200 body=ok
		a expect 502
		b send POST /pay/1 id=waits deadline=900`)
	assert.Equal(t, "waits", <-entered)
	s.Run(`
		c send POST /pay/1 id=waits deadline=900
		c expect 400
		b close`)
	assert.Equal(t, "waits", <-left)
	s.Run(`
		wait 5
		a send POST /pay/1 id=good deadline=900
		r expect POST /pay/1 id=good
		r send 200 body=ok
		a expect 200 body=ok`)
	require.Eventually(t, func() bool { return n.core.Unanswered() == 0 }, time.Minute, time.Millisecond)
	calls := map[string]uint64{}
	for _, e := range n.Endings() {
		calls[e.Kind.String()+": "+e.Reason] = e.Calls
	}
	assert.Equal(t, map[string]uint64{"refused: no room": 1, "failed: not yours": 1, "failed: a stage lost the call": 1,
		"failed: a stage panicked": 1, "failed: a request with this Req-Id is open": 1, "left: ": 1, "served: ": 1}, calls)
}
