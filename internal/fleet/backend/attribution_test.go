package backend

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestWhatEachEventProves(t *testing.T) {
	reset := errors.New("reset")
	sent := exchangeState{id: "a", size: 10, written: 10}
	require.Equal(t, NotSent, (&exchangeState{id: "a", size: 10}).failed(reset).Outcome, "nothing was written")
	require.Equal(t, MayHaveRun, (&exchangeState{id: "a", size: 10, written: 1}).failed(reset).Outcome, "a part was written")
	require.Equal(t, MayHaveRun, sent.failed(reset).Outcome)
	for name, one := range map[string]struct {
		fresh   bool
		strays  int
		status  int
		id      string
		bounded bool
		want    attribution
	}{
		"its id":                                    {false, 0, 200, "a", true, ownResponse},
		"its id, a refusal":                         {false, 0, 503, "a", true, ownResponse},
		"its id, after others":                      {false, 3, 503, "a", true, ownResponse},
		"its id, ended by the connection":           {false, 0, 200, "a", false, ownResponse},
		"another id":                                {false, 0, 200, "b", true, staleResponse},
		"another id, a refusal":                     {false, 0, 503, "b", true, staleResponse},
		"another id, ended by the connection":       {false, 0, 200, "b", false, unattributableResponse},
		"another id, one too many":                  {false, maxStaleResponses - 1, 200, "b", true, unattributableResponse},
		"no id, a refusal, kept connection":         {false, 0, 503, "", true, unattributableResponse},
		"no id, a refusal, the first ever":          {true, 0, 400, "", true, ownResponse},
		"no id, a refusal, after another one":       {true, 1, 400, "", true, unattributableResponse},
		"no id, a success, the first ever":          {true, 0, 200, "", true, unattributableResponse},
		"no id, a success, kept connection":         {false, 0, 200, "", true, unattributableResponse},
		"no id, a refusal, ended by the connection": {true, 0, 400, "", false, ownResponse},
	} {
		judge := exchangeState{fresh: one.fresh, id: "a", size: 10, written: 10, staleResponses: one.strays}
		require.Equal(t, one.want, judge.attribute(one.status, one.id, one.bounded), name)
	}
	half := exchangeState{fresh: true, id: "a", size: 10, written: 9}
	require.Equal(t, unattributableResponse, half.attribute(200, "a", true), "an answer to a request that is not written whole")
}

// ---- All interleavings of two calls on one connection ----

// frame is something that a rater puts on the connection.
type frame struct {
	owner  string // of the request that it truly belongs to
	id     string // that it carries
	status int
	notRun bool
	half   bool // it breaks off
}

// conduct is what a rater does with a request.
type conduct struct {
	name    string
	runs    bool
	answers []func(owner string) frame // in order; those after the first may come late
	breaks  bool                       // then the connection breaks
}

func stamped(status int, notRun bool) func(string) frame {
	return func(owner string) frame { return frame{owner, owner, status, notRun, false} }
}

func unstamped(status int, notRun bool) func(string) frame {
	return func(owner string) frame { return frame{owner, "", status, notRun, false} }
}

func broken(owner string) frame { return frame{owner, owner, 200, false, true} }

func foreign(string) frame { return frame{"x", "x", 200, false, false} }

var conducts = []conduct{
	{"answers", true, []func(string) frame{stamped(200, false)}, false},
	{"refuses", false, []func(string) frame{stamped(503, true)}, false},
	{"fails", true, []func(string) frame{stamped(500, false)}, false},
	{"refuses without an id", false, []func(string) frame{unstamped(400, true)}, false},
	{"answers twice", true, []func(string) frame{stamped(200, false), stamped(200, false)}, false},
	{"answers, then refuses", true, []func(string) frame{stamped(200, false), stamped(503, true)}, false},
	{"answers, then refuses without an id", true, []func(string) frame{stamped(200, false), unstamped(503, true)}, false},
	{"answers, then fails without an id", true, []func(string) frame{stamped(200, false), unstamped(500, false)}, false},
	{"answers another one first", true, []func(string) frame{foreign, stamped(200, false)}, false},
	{"breaks off", true, []func(string) frame{broken}, true},
	{"runs and resets", true, nil, true},
	{"resets unseen", false, nil, true},
	{"runs in silence", true, nil, false},
}

// arrival is when the frames of a call that come after the first one arrive.
type arrival int

const (
	atOnce      arrival = iota // before the connection is given back
	whileIdle                  // before it is looked at
	afterLook                  // before the answer to the next call
	afterAnswer                // after it
	arrivals
)

// modelClient is the client's side as the code has it, or with a fault planted.
type modelClient struct {
	believesUnstamped  bool // takes any refusal without an id for its own
	reusesUnseen       bool // does not look at a kept connection
	reusesLeftOver     bool // gives a connection back on which more has come
	reusesBroken       bool // gives a connection back whose answer broke off
	repeatsAfterReset  bool // takes a reset to mean that the request has not run
	repeatsAfterSilent bool // takes silence to mean that
	takesAnyID         bool // takes an answer with another id
}

// wire is the connection between them.
type wire struct {
	client modelClient
	buffer []frame
	used   bool
	reset  bool
}

// outcome is how a call ends for its caller.
type outcome struct {
	from    string // whose answer it got; empty = none
	notRun  bool   // it is told that it has not run
	repeats bool   // the client may send it again although it must not run twice
}

// call plays one call to its end, and tells whether the connection may be used again.
func (w *wire) call(id string, how conduct) (outcome, bool) {
	judge := exchangeState{fresh: !w.used, id: id, size: 1}
	w.used = true
	if w.reset {
		return outcome{notRun: true, repeats: judge.failed(nil).Outcome == NotSent}, false
	}
	judge.recordWrite(1)
	if len(how.answers) > 0 {
		w.buffer = append(w.buffer, how.answers[0](id))
		if first := how.answers[0](id); first.owner != id {
			w.buffer = append(w.buffer, how.answers[1](id))
		}
	}
	for len(w.buffer) > 0 {
		next := w.buffer[0]
		w.buffer = w.buffer[1:]
		verdict := judge.attribute(next.status, next.id, true)
		if w.client.believesUnstamped && next.id == "" && next.status >= 400 || w.client.takesAnyID {
			verdict = ownResponse
		}
		switch {
		case verdict == unattributableResponse:
			return outcome{}, false
		case verdict == staleResponse:
			continue
		case next.half:
			return outcome{from: next.owner}, w.client.reusesBroken
		}
		return outcome{from: next.owner, notRun: next.notRun, repeats: next.notRun}, true
	}
	silent := !how.breaks
	repeats := w.client.repeatsAfterReset && !silent || w.client.repeatsAfterSilent && silent
	return outcome{notRun: repeats, repeats: repeats}, false
}

// playTwo plays two calls, the second on the first one's connection if that is kept. The late frames of the first arrive at
// a point in between. It gives what is wrong.
func playTwo(client modelClient, first, second conduct, late arrival) string {
	w := &wire{client: client}
	one, reusable := w.call("a", first)
	if wrong := check("a", first, one); wrong != "" {
		return wrong
	}
	var rest []frame
	if len(first.answers) > 1 && first.answers[0]("a").owner == "a" {
		rest = append(rest, first.answers[1]("a"))
	}
	if late == atOnce {
		w.buffer = append(w.buffer, rest...)
	}
	if !reusable || len(w.buffer) > 0 && !client.reusesLeftOver {
		w = &wire{client: client} // a fresh connection
		rest = nil
	}
	if late == whileIdle {
		w.buffer = append(w.buffer, rest...)
		if len(rest) > 0 && !client.reusesUnseen {
			w = &wire{client: client}
		}
	}
	if late == afterLook {
		w.buffer = append(w.buffer, rest...)
	}
	if w.used && first.breaks {
		w.buffer = append(w.buffer, frame{"a", "a", 200, false, true}) // the rest of an answer that broke off
	}
	two, _ := w.call("b", second)
	return check("b", second, two)
}

func check(id string, how conduct, got outcome) string {
	switch {
	case got.from != "" && got.from != id:
		return "call " + id + " got the answer of " + got.from
	case got.notRun && how.runs:
		return "call " + id + " ran and is said not to have"
	case got.repeats && how.runs:
		return "call " + id + " ran and may be sent again"
	}
	return ""
}

// eachInterleaving plays all of them and gives the number that were played and what went wrong.
func eachInterleaving(client modelClient) (played int, wrong []string) {
	for _, first := range conducts {
		for _, second := range conducts {
			for late := range arrivals {
				played++
				if problem := playTwo(client, first, second, late); problem != "" {
					wrong = append(wrong, first.name+", "+second.name+": "+problem)
				}
			}
		}
	}
	return played, wrong
}

func TestTwoCallsOnOneConnectionNeverGetEachOthersAnswers(t *testing.T) {
	played, wrong := eachInterleaving(modelClient{})
	require.Empty(t, wrong)
	t.Logf("%d interleavings", played)
}

func TestFaultsPlantedInTheClientAreCaught(t *testing.T) {
	for name, client := range map[string]modelClient{
		"a refusal without an id is believed":       {believesUnstamped: true},
		"an answer with another id is taken":        {takesAnyID: true},
		"a request is repeated after a reset":       {repeatsAfterReset: true},
		"a request is repeated after silence":       {repeatsAfterSilent: true},
		"a kept connection is not looked at":        {reusesUnseen: true, believesUnstamped: true},
		"one on which more has come is kept":        {reusesLeftOver: true, takesAnyID: true},
		"one whose answer broke off is given back":  {reusesBroken: true, takesAnyID: true},
		"one that was not looked at, with its rest": {reusesUnseen: true, takesAnyID: true},
	} {
		played, wrong := eachInterleaving(client)
		require.NotEmpty(t, wrong, name)
		t.Logf("%s: %d of %d interleavings", name, len(wrong), played)
	}
}
