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
	require.Equal(t, MayHaveRun, (&exchangeState{id: "a", size: 10, written: 1}).errorFor(reset).Outcome, "a part was written")
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
		"its id, after others":                        {false, 3, 503, "a", true, ownResponse},
		"its id, ended by the connection":             {false, 0, 200, "a", false, ownResponse},
		"another id":                                  {false, 0, 200, "b", true, staleResponse},
		"another id, a rejection":                     {false, 0, 503, "b", true, staleResponse},
		"another id, ended by the connection":         {false, 0, 200, "b", false, unattributableResponse},
		"another id, one too many":                    {false, maxStaleResponses - 1, 200, "b", true, unattributableResponse},
		"no id, a rejection, kept connection":         {false, 0, 503, "", true, unattributableResponse},
		"no id, a rejection, the first ever":          {true, 0, 400, "", true, ownResponse},
		"no id, a rejection, after another one":       {true, 1, 400, "", true, unattributableResponse},
		"no id, a success, the first ever":            {true, 0, 200, "", true, unattributableResponse},
		"no id, a success, kept connection":           {false, 0, 200, "", true, unattributableResponse},
		"no id, a rejection, ended by the connection": {true, 0, 400, "", false, ownResponse},
	} {
		state := exchangeState{fresh: test.fresh, id: "a", size: 10, written: 10, staleResponses: test.staleResponses}
		require.Equal(t, test.want, state.attribute(test.status, test.id, test.selfDelimited), name)
	}
	half := exchangeState{fresh: true, id: "a", size: 10, written: 9}
	require.Equal(t, unattributableResponse, half.attribute(200, "a", true), "a response to a request that is not written completely")
}

// ---- All interleavings of two calls on one connection ----

// frame is something that a backend puts on the connection.
type frame struct {
	owner       string // of the request that it truly belongs to
	id          string // that it carries
	status      int
	notExecuted bool
	truncated   bool // it breaks off
}

// behaviour is what a backend does with a request.
type behaviour struct {
	name        string
	runs        bool
	responses   []func(owner string) frame // in order; those after the first may come late
	disconnects bool                       // then the connection breaks
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
	{"responses", true, []func(string) frame{withID(200, false)}, false},
	{"rejects", false, []func(string) frame{withID(503, true)}, false},
	{"fails", true, []func(string) frame{withID(500, false)}, false},
	{"rejects without an id", false, []func(string) frame{withoutID(400, true)}, false},
	{"responses twice", true, []func(string) frame{withID(200, false), withID(200, false)}, false},
	{"responses, then rejects", true, []func(string) frame{withID(200, false), withID(503, true)}, false},
	{"responses, then rejects without an id", true, []func(string) frame{withID(200, false), withoutID(503, true)}, false},
	{"responses, then fails without an id", true, []func(string) frame{withID(200, false), withoutID(500, false)}, false},
	{"responses another one first", true, []func(string) frame{staleFrame, withID(200, false)}, false},
	{"breaks off", true, []func(string) frame{truncatedResponse}, true},
	{"runs and resets", true, nil, true},
	{"resets unseen", false, nil, true},
	{"runs without a response", true, nil, false},
}

// lateArrival is when the frames of a call that come after the first one arrive.
type lateArrival int

const (
	beforeReuse    lateArrival = iota // before the connection is put back
	whileIdle                         // before it is checked
	afterIdleCheck                    // before the response to the next call
	afterResponse                     // after it
	lateArrivals
)

// modelClient is the client's side as the code has it, or with a fault planted.
type modelClient struct {
	trustsMissingID       bool // takes any rejection without an id for its own
	skipsIdleCheck        bool // does not check a kept connection
	reusesWithUnreadBytes bool // gives a connection back on which more has come
	reusesAfterTruncation bool // gives a connection back whose response broke off
	retriesAfterReset     bool // takes a reset to mean that the request has not run
	retriesAfterTimeout   bool // takes a timeout to mean that
	trustsAnyID           bool // takes a response with another id
}

// modelConnection is the connection between them.
type modelConnection struct {
	client modelClient
	buffer []frame
	used   bool
	reset  bool
}

// callResult is how a call ends for its caller.
type callResult struct {
	responseOf  string // whose response it got; empty = none
	notExecuted bool   // it learns that the request has not run
	mayRetry    bool   // the client may send it again although it must not run twice
}

// call plays one call to its end and reports whether the connection may be used again.
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

// playTwoCalls plays two calls, the second on the first one's connection if that is kept. The late frames of the first arrive at
// a point in between. It returns what is wrong.
func playTwoCalls(client modelClient, first, second behaviour, late lateArrival) string {
	m := &modelConnection{client: client}
	firstResult, reusable := m.call("a", first)
	if wrong := checkResult("a", first, firstResult); wrong != "" {
		return wrong
	}
	var rest []frame
	if len(first.responses) > 1 && first.responses[0]("a").owner == "a" {
		rest = append(rest, first.responses[1]("a"))
	}
	if late == beforeReuse {
		m.buffer = append(m.buffer, rest...)
	}
	if !reusable || len(m.buffer) > 0 && !client.reusesWithUnreadBytes {
		m = &modelConnection{client: client} // a fresh connection
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
		m.buffer = append(m.buffer, frame{"a", "a", 200, false, true}) // the rest of a response that broke off
	}
	secondResult, _ := m.call("b", second)
	return checkResult("b", second, secondResult)
}

func checkResult(id string, b behaviour, got callResult) string {
	switch {
	case got.responseOf != "" && got.responseOf != id:
		return "call " + id + " got the response of " + got.responseOf
	case got.notExecuted && b.runs:
		return "call " + id + " ran and is said not to have"
	case got.mayRetry && b.runs:
		return "call " + id + " ran and may be sent again"
	}
	return ""
}

// playAllInterleavings plays all pairs of calls and returns how many there were and what went wrong.
func playAllInterleavings(client modelClient) (played int, wrong []string) {
	for _, first := range behaviours {
		for _, second := range behaviours {
			for late := range lateArrivals {
				played++
				if problem := playTwoCalls(client, first, second, late); problem != "" {
					wrong = append(wrong, first.name+", "+second.name+": "+problem)
				}
			}
		}
	}
	return played, wrong
}

func TestExchangesOnOneConnectionNeverGetEachOthersResponses(t *testing.T) {
	played, wrong := playAllInterleavings(modelClient{})
	require.Empty(t, wrong)
	t.Logf("%d interleavings", played)
}

func TestInterleavingsCatchPlantedFaults(t *testing.T) {
	for name, client := range map[string]modelClient{
		"a rejection without an id is trusted":     {trustsMissingID: true},
		"a response with another id is taken":      {trustsAnyID: true},
		"a request is repeated after a reset":      {retriesAfterReset: true},
		"a request is repeated after a timeout":    {retriesAfterTimeout: true},
		"a kept connection is not checked":         {skipsIdleCheck: true, trustsMissingID: true},
		"one on which more has come is kept":       {reusesWithUnreadBytes: true, trustsAnyID: true},
		"one whose response broke off is put back": {reusesAfterTruncation: true, trustsAnyID: true},
		"one that was not checked, with its rest":  {skipsIdleCheck: true, trustsAnyID: true},
	} {
		played, wrong := playAllInterleavings(client)
		require.NotEmpty(t, wrong, name)
		t.Logf("%s: %d of %d interleavings", name, len(wrong), played)
	}
}
