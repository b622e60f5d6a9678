package statemachine

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func name(i int) []byte { return append(make([]byte, 15), byte(i+1)) }

// TestRandomCallHistoriesRunNoNameTwice applies histories of runs that are claimed, end, are abandoned by their
// nodes and are claimed again with other windows. It guards against a name that runs twice within its windows, two
// responses for one name, and a member that behaves differently after it was restored from an image.
func TestRandomCallHistoriesRunNoNameTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(), New()
		var opened uint64
		now, number := 0.0, uint64(0)
		do := func(body any) Reply {
			number++
			c := Command{At: now, Session: opened, Number: number, Confirmed: number - 1, Component: ComponentCalls, Body: encode(body)}
			r := apply(t, a, c)
			assert.Equal(t, r, apply(t, b, c))
			return r
		}
		opened = apply(t, a, Command{Body: encode(Opening{Name: "n"})}).Index
		apply(t, b, Command{Body: encode(Opening{Name: "n"})})
		type run struct {
			token  uint64
			since  float64
			window float64 // window of its claim
		}
		ran, answer := map[int]run{}, map[int]string{}
		forget := func(i int) {
			delete(ran, i)
			delete(answer, i)
		}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.Float64Range(0, 300).Draw(t, "ms")
			i := rapid.IntRange(0, 3).Draw(t, "name")
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0, 1:
				token, window := uint64(step+1), rapid.SampledFrom([]float64{1000, 100, 3000}).Draw(t, "window")
				r := do(ClaimCommand(Claim{Name: name(i), Fingerprint: name(9), AnsweredWindow: window, InDoubtWindow: window, RunTimeout: 500, Node: fmt.Sprint(step % 2),
					Incarnation: 1, Token: token}))
				require.Equal(t, OK, r.Code, r.Text)
				var o ClaimReply
				require.NoError(t, json.Unmarshal(r.Body, &o))
				had, known := ran[i]
				if known && now-had.since > had.window-2 { // the shortest time for which a run is remembered, to whole ms
					forget(i)
					known = false
				}
				switch o.Result {
				case ClaimGranted:
					assert.False(t, known, "it ran %f ms ago", now-had.since)
					forget(i)
					ran[i] = run{token, now, window}
				case ClaimReplayed:
					if first, ok := answer[i]; ok {
						assert.Equal(t, first, string(o.Body))
					}
				}
			case 2:
				if r, ok := ran[i]; ok && answer[i] == "" {
					end := rapid.SampledFrom([]string{OutcomeServed, OutcomeNotExecuted, OutcomeInDoubt}).Draw(t, "how")
					body := fmt.Sprint("answer ", step)
					if do(CompletionCommand(Completion{Name: name(i), Token: r.token, Outcome: end, Body: []byte(body)})).Code == OK {
						switch end {
						case OutcomeNotExecuted:
							forget(i)
						case OutcomeServed:
							answer[i] = body
						}
					}
				}
			case 3:
				do(ProcessStartCommand(ProcessStart{Node: fmt.Sprint(step % 2), Incarnation: uint64(step + 2)}))
			default: // one member is restored from an image
				text, fresh := frozen(t, b), New()
				require.NoError(t, fresh.Restore([]byte(text)))
				require.Equal(t, text, frozen(t, fresh))
				b = fresh
			}
		}
		assert.Equal(t, frozen(t, a), frozen(t, b))
	})
}

// TestClaimsCompletionsAndLookups guards against a second secret in one fleet, a run that another claimant can
// complete, a run that is not ended by a later process of its node, a body that is too large, and different
// content under one name.
func TestClaimsCompletionsAndLookups(t *testing.T) {
	m := New()
	s := apply(t, m, Command{Body: encode(Opening{Name: "n"})}).Index
	n := uint64(0)
	do := func(at float64, body any) Reply {
		n++
		return apply(t, m, Command{At: at, Session: s, Number: n, Confirmed: n - 1, Component: ComponentCalls, Body: encode(body)})
	}
	claim := Claim{Name: name(1), Fingerprint: name(1), AnsweredWindow: 1000, InDoubtWindow: 1000, RunTimeout: 500, Node: "a", Incarnation: 1, Token: 7}
	outcome := func(r Reply) (o ClaimReply) {
		require.Equal(t, OK, r.Code, r.Text)
		require.NoError(t, json.Unmarshal(r.Body, &o))
		return o
	}
	assert.Equal(t, OK, do(1, ProcessStartCommand(ProcessStart{Node: "a", Incarnation: 1, Secret: []byte("x")})).Code)
	assert.Equal(t, Conflict, do(1, ProcessStartCommand(ProcessStart{Node: "b", Incarnation: 1, Secret: []byte("y")})).Code)
	assert.Equal(t, ClaimGranted, outcome(do(2, ClaimCommand(claim))).Result)
	assert.Equal(t, ClaimGranted, outcome(do(2, ClaimCommand(claim))).Result, "the same run claimed again")
	other := claim
	other.Token, other.Node = 8, "b"
	assert.Equal(t, ClaimReply{Result: ClaimRunning, Node: "a"}, outcome(do(3, ClaimCommand(other))))
	assert.Equal(t, Conflict, do(3, CompletionCommand(Completion{Name: name(1), Token: 8, Outcome: OutcomeNotExecuted})).Code)
	assert.Equal(t, OK, do(4, ProcessStartCommand(ProcessStart{Node: "a", Incarnation: 2, Secret: []byte("x")})).Code)
	assert.Equal(t, ClaimInDoubt, outcome(do(5, ClaimCommand(other))).Result, "its node has restarted")
	assert.Equal(t, ClaimInDoubt, outcome(m.Query(Request{ComponentCalls, encode(Lookup{Name: name(1), Fingerprint: name(1)})})).Result)
	other.Fingerprint = name(2)
	assert.Equal(t, ClaimMismatch, outcome(do(6, ClaimCommand(other))).Result)
	other.Name, other.Fingerprint = name(3), name(3)
	assert.Equal(t, ClaimGranted, outcome(do(7, ClaimCommand(other))).Result)
	assert.Equal(t, OK, do(8, CompletionCommand(Completion{Name: name(3), Token: 8, Outcome: OutcomeServed, Body: make([]byte, MaxOneBodyBytes+1)})).Code)
	assert.Equal(t, ClaimExecuted, outcome(do(9, ClaimCommand(other))).Result)
	assert.Equal(t, Invalid, do(9, ClaimCommand(Claim{Name: []byte("short")})).Code)
	assert.Equal(t, ClaimUnknown, outcome(m.Query(Request{ComponentCalls, encode(Lookup{Name: name(4), Fingerprint: name(4)})})).Result)
}

// TestFullTableRejectsWithAWaitAndRestores uses a full table. It guards against a claim that is rejected without
// the time after which to retry, a run that is forgotten, and a replica that cannot start from the image of such a
// table.
func TestFullTableRejectsWithAWaitAndRestores(t *testing.T) {
	const capacity = 400
	fresh := func() *calls {
		c := newCalls()
		c.capacity = capacity
		c.table = newCallTable(c.classes, capacity)
		return c
	}
	c, now := fresh(), 1000.0
	named := func(i int) []byte { return fmt.Appendf(nil, "%016d", i) }
	claim := func(i int, tenant string, token uint64) (o ClaimReply) {
		r := c.Apply(0, now, 0, encode(ClaimCommand(Claim{Name: named(i), Fingerprint: named(i), Tenant: tenant, AnsweredWindow: 60000, InDoubtWindow: 60000, RunTimeout: 30000,
			Node: "n", Incarnation: 1, Token: token})))
		require.Equal(t, OK, r.Code, r.Text)
		require.NoError(t, json.Unmarshal(r.Body, &o))
		return o
	}
	end := func(i int, token uint64, body string) Code {
		return c.Apply(0, now, 0, encode(CompletionCommand(Completion{Name: named(i), Token: token, Outcome: OutcomeServed, Body: []byte(body)}))).Code
	}
	at := 10
	fill := func(tenant string) (n int, o ClaimReply) {
		for ; at < 2*capacity; at, n = at+1, n+1 {
			if o = claim(at, tenant, 9); o.Result != ClaimGranted {
				break
			}
			require.Equal(t, OK, end(at, 9, ""))
		}
		return n, o
	}
	require.Equal(t, ClaimGranted, claim(1, "large", 7).Result)
	n, o := fill("large")
	assert.Greater(t, n, capacity/2, "one tenant may use four times the unused capacity")
	assert.Equal(t, ClaimReply{Result: ClaimFull, Wait: 60000}, o)
	for i := range 10 {
		_, o = fill(fmt.Sprint("another ", i))
		assert.Equal(t, ClaimFull, o.Result)
	}
	assert.Greater(t, c.table.Counts().Entries, capacity-10)
	for _, compact := range []bool{false, true} { // restore the component from its image
		text, err := c.Freeze()()
		require.NoError(t, err)
		other := fresh()
		if compact {
			image, err := c.FreezeCompact()()
			require.NoError(t, err)
			require.NoError(t, other.LoadCompact(image))
		} else {
			require.NoError(t, other.Load(text))
		}
		again, err := other.Freeze()()
		require.NoError(t, err)
		require.Equal(t, string(text), string(again))
		c = other
	}
	assert.Equal(t, ClaimFull, claim(2, "large", 8).Result)
	assert.Equal(t, ClaimRunning, claim(1, "large", 8).Result)
	assert.Equal(t, ClaimGranted, claim(1, "large", 7).Result, "the same run claimed again")
	assert.Equal(t, OK, end(1, 7, "answer"))
	assert.Equal(t, ClaimReply{Result: ClaimReplayed, Body: []byte("answer")}, claim(1, "large", 8))
	now += 60001
	assert.Equal(t, ClaimGranted, claim(2, "large", 8).Result, "the windows are over")
}

// TestAbandonedRunIsInDoubtUntilItsWindowEnds guards against a run that is never completed and counts as running
// forever, or that is forgotten before its window ends.
func TestAbandonedRunIsInDoubtUntilItsWindowEnds(t *testing.T) {
	c := newCalls()
	at := func(now float64, token uint64) (o ClaimReply) {
		r := c.Apply(0, now, 0, encode(ClaimCommand(Claim{Name: name(1), Fingerprint: name(1), AnsweredWindow: 1000, InDoubtWindow: 1000, RunTimeout: 500, Node: "n", Incarnation: 1, Token: token})))
		require.NoError(t, json.Unmarshal(r.Body, &o))
		return o
	}
	assert.Equal(t, ClaimGranted, at(1000, 1).Result)
	assert.Equal(t, ClaimRunning, at(1499, 2).Result)
	assert.Equal(t, ClaimInDoubt, at(1500, 2).Result)
	assert.Equal(t, Conflict, c.Apply(0, 1501, 0, encode(CompletionCommand(Completion{Name: name(1), Token: 1, Outcome: OutcomeServed}))).Code)
	assert.Equal(t, ClaimInDoubt, at(2499, 2).Result)
	assert.Equal(t, ClaimGranted, at(2500, 2).Result)
}
