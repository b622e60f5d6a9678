package backend

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestAttributionOfEachEvent(t *testing.T) {
	reset := errors.New("reset")
	sent := exchangeState{id: "a", size: 10, written: 10}
	require.Equal(t, NotSent, (&exchangeState{id: "a", size: 10}).errorFor(reset).Outcome, "nothing was written")
	require.Equal(t, MayHaveRun, (&exchangeState{id: "a", size: 10, written: 1}).errorFor(reset).Outcome, "part of the request was written")
	require.Equal(t, MayHaveRun, sent.errorFor(reset).Outcome)
	for name, test := range map[string]struct {
		fresh          bool
		staleResponses int
		status         int
		id             string
		selfDelimited  bool
		want           attribution
	}{
		"its id":                                      {false, 0, 200, "a", true, ownResponse},
		"its id, a rejection":                         {false, 0, 503, "a", true, ownResponse},
		"its id, after stale responses":               {false, 3, 503, "a", true, ownResponse},
		"its id, ended by the connection":             {false, 0, 200, "a", false, ownResponse},
		"another id":                                  {false, 0, 200, "b", true, staleResponse},
		"another id, a rejection":                     {false, 0, 503, "b", true, staleResponse},
		"another id, ended by the connection":         {false, 0, 200, "b", false, unattributableResponse},
		"another id, too many of them":                {false, maxStaleResponses - 1, 200, "b", true, unattributableResponse},
		"no id, a rejection, kept connection":         {false, 0, 503, "", true, unattributableResponse},
		"no id, a rejection, the first response":      {true, 0, 400, "", true, ownResponse},
		"no id, a rejection, after a stale one":       {true, 1, 400, "", true, unattributableResponse},
		"no id, a success, the first response":        {true, 0, 200, "", true, unattributableResponse},
		"no id, a success, kept connection":           {false, 0, 200, "", true, unattributableResponse},
		"no id, a rejection, ended by the connection": {true, 0, 400, "", false, ownResponse},
	} {
		state := exchangeState{fresh: test.fresh, id: "a", size: 10, written: 10, staleResponses: test.staleResponses}
		require.Equal(t, test.want, state.attribute(test.status, test.id, test.selfDelimited), name)
	}
	half := exchangeState{fresh: true, id: "a", size: 10, written: 9}
	require.Equal(t, unattributableResponse, half.attribute(200, "a", true), "the request was not written completely")
}

// The tests below run all interleavings of two calls on one connection.

// frame is a response that a backend writes to the connection.
type frame struct {
	owner       string // id of the request that the response is to
	id          string // id in the response
	status      int
	notExecuted bool
	truncated   bool // the connection ends within the response
}

// behaviour is how a backend handles a request.
type behaviour struct {
	name        string
	runs        bool                       // the request is executed
	responses   []func(owner string) frame // in order; those after the first may arrive late
	disconnects bool                       // the backend closes the connection afterwards
}

func withID(status int, notExecuted bool) func(string) frame {
	return func(owner string) frame { return frame{owner, owner, status, notExecuted, false} }
}

func withoutID(status int, notExecuted bool) func(string) frame {
	return func(owner string) frame { return frame{owner, "", status, notExecuted, false} }
}

func truncatedResponse(owner string) frame { return frame{owner, owner, 200, false, true} }

func staleFrame(string) frame { return frame{"x", "x", 200, false, false} }

var behaviours = []behaviour{
	{"responds", true, []func(string) frame{withID(200, false)}, false},
	{"rejects", false, []func(string) frame{withID(503, true)}, false},
	{"fails", true, []func(string) frame{withID(500, false)}, false},
	{"rejects without an id", false, []func(string) frame{withoutID(400, true)}, false},
	{"responds twice", true, []func(string) frame{withID(200, false), withID(200, false)}, false},
	{"responds, then rejects", true, []func(string) frame{withID(200, false), withID(503, true)}, false},
	{"responds, then rejects without an id", true, []func(string) frame{withID(200, false), withoutID(503, true)}, false},
	{"responds, then fails without an id", true, []func(string) frame{withID(200, false), withoutID(500, false)}, false},
	{"sends a stale response first", true, []func(string) frame{staleFrame, withID(200, false)}, false},
	{"sends a truncated response", true, []func(string) frame{truncatedResponse}, true},
	{"runs the request, then resets", true, nil, true},
	{"resets without running the request", false, nil, true},
	{"runs the request without a response", true, nil, false},
}

// lateArrival is the time at which the frames of a call after its first one arrive.
type lateArrival int

const (
	beforeReuse    lateArrival = iota // before the connection is returned to the pool
	whileIdle                         // before the idle connection is checked
	afterIdleCheck                    // before the response to the next call
	afterResponse                     // after the response to the next call
	lateArrivals
)

// modelClient is a model of the client, either as implemented or with an injected fault.
type modelClient struct {
	trustsMissingID       bool // attributes any rejection without an id to its request
	skipsIdleCheck        bool // does not check an idle connection before reuse
	reusesWithUnreadBytes bool // reuses a connection on which more bytes were received
	reusesAfterTruncation bool // reuses a connection whose response was truncated
	retriesAfterReset     bool // treats a reset as proof that the request has not run
	retriesAfterTimeout   bool // treats a timeout as proof that the request has not run
	trustsAnyID           bool // accepts a response with another id
}

// modelConnection is a model of the connection between client and backend.
type modelConnection struct {
	client modelClient
	buffer []frame
	used   bool
	reset  bool
}

// callResult is the result of a call for its caller.
type callResult struct {
	responseOf  string // id of the request whose response was returned; empty = none
	notExecuted bool   // the caller is told that the request has not run
	mayRetry    bool   // the caller may retry a request that must not run twice
}

// call simulates one call and reports whether the connection may be reused.
func (m *modelConnection) call(id string, b behaviour) (callResult, bool) {
	state := exchangeState{fresh: !m.used, id: id, size: 1}
	m.used = true
	if m.reset {
		return callResult{notExecuted: true, mayRetry: state.errorFor(nil).Outcome == NotSent}, false
	}
	state.recordWrite(1)
	if len(b.responses) > 0 {
		m.buffer = append(m.buffer, b.responses[0](id))
		if first := b.responses[0](id); first.owner != id {
			m.buffer = append(m.buffer, b.responses[1](id))
		}
	}
	for len(m.buffer) > 0 {
		next := m.buffer[0]
		m.buffer = m.buffer[1:]
		attributed := state.attribute(next.status, next.id, true)
		if m.client.trustsMissingID && next.id == "" && next.status >= 400 || m.client.trustsAnyID {
			attributed = ownResponse
		}
		switch {
		case attributed == unattributableResponse:
			return callResult{}, false
		case attributed == staleResponse:
			continue
		case next.truncated:
			return callResult{responseOf: next.owner}, m.client.reusesAfterTruncation
		}
		return callResult{responseOf: next.owner, notExecuted: next.notExecuted, mayRetry: next.notExecuted}, true
	}
	timedOut := !b.disconnects
	mayRetry := m.client.retriesAfterReset && !timedOut || m.client.retriesAfterTimeout && timedOut
	return callResult{notExecuted: mayRetry, mayRetry: mayRetry}, false
}

// simulateTwoCalls simulates two calls, the second on the connection of the first if that is kept. The late frames
// of the first call arrive at the given time. It returns a description of the violation, or "" if there is none.
func simulateTwoCalls(client modelClient, first, second behaviour, late lateArrival) string {
	m := &modelConnection{client: client}
	firstResult, reusable := m.call("a", first)
	if violation := checkResult("a", first, firstResult); violation != "" {
		return violation
	}
	var rest []frame
	if len(first.responses) > 1 && first.responses[0]("a").owner == "a" {
		rest = append(rest, first.responses[1]("a"))
	}
	if late == beforeReuse {
		m.buffer = append(m.buffer, rest...)
	}
	if !reusable || len(m.buffer) > 0 && !client.reusesWithUnreadBytes {
		m = &modelConnection{client: client} // a new connection
		rest = nil
	}
	if late == whileIdle {
		m.buffer = append(m.buffer, rest...)
		if len(rest) > 0 && !client.skipsIdleCheck {
			m = &modelConnection{client: client}
		}
	}
	if late == afterIdleCheck {
		m.buffer = append(m.buffer, rest...)
	}
	if m.used && first.disconnects {
		m.buffer = append(m.buffer, frame{"a", "a", 200, false, true}) // the rest of a truncated response
	}
	secondResult, _ := m.call("b", second)
	return checkResult("b", second, secondResult)
}

func checkResult(id string, b behaviour, got callResult) string {
	switch {
	case got.responseOf != "" && got.responseOf != id:
		return "call " + id + " received the response to " + got.responseOf
	case got.notExecuted && b.runs:
		return "call " + id + " ran but is reported as not executed"
	case got.mayRetry && b.runs:
		return "call " + id + " ran but may be retried"
	}
	return ""
}

// simulateAllInterleavings simulates all pairs of calls. It returns their number and the violations.
func simulateAllInterleavings(client modelClient) (simulated int, violations []string) {
	for _, first := range behaviours {
		for _, second := range behaviours {
			for late := range lateArrivals {
				simulated++
				if violation := simulateTwoCalls(client, first, second, late); violation != "" {
					violations = append(violations, first.name+", "+second.name+": "+violation)
				}
			}
		}
	}
	return simulated, violations
}

func TestNoInterleavingMixesUpResponses(t *testing.T) {
	simulated, violations := simulateAllInterleavings(modelClient{})
	require.Empty(t, violations)
	t.Logf("%d interleavings", simulated)
}

func TestInterleavingsDetectInjectedFaults(t *testing.T) {
	for name, client := range map[string]modelClient{
		"accepts a rejection without an id":              {trustsMissingID: true},
		"accepts a response with another id":             {trustsAnyID: true},
		"retries after a reset":                          {retriesAfterReset: true},
		"retries after a timeout":                        {retriesAfterTimeout: true},
		"skips the idle check, trusts a missing id":      {skipsIdleCheck: true, trustsMissingID: true},
		"reuses a connection with unread bytes":          {reusesWithUnreadBytes: true, trustsAnyID: true},
		"reuses a connection after a truncated response": {reusesAfterTruncation: true, trustsAnyID: true},
		"skips the idle check, trusts any id":            {skipsIdleCheck: true, trustsAnyID: true},
	} {
		simulated, violations := simulateAllInterleavings(client)
		require.NotEmpty(t, violations, name)
		t.Logf("%s: %d of %d interleavings", name, len(violations), simulated)
	}
}
