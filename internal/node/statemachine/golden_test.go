package statemachine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/golden"
	"linenwheel.dev/linenwheel/internal/node/quota"
	"linenwheel.dev/linenwheel/internal/node/quota/lease"
	"linenwheel.dev/linenwheel/internal/node/rollout"
)

// TestEncodedTypesKeepTheirForm guards against a change of the JSON form of a command, query, reply or image, in
// any field.
func TestEncodedTypesKeepTheirForm(t *testing.T) {
	golden.JSON[Command](t, "command")
	golden.JSON[Reply](t, "reply")
	golden.JSON[Request](t, "ask")
	golden.JSON[Opening](t, "opening")
	golden.JSON[image](t, "image")
	golden.JSON[Member](t, "member")
	golden.JSON[Started](t, "members-started")
	golden.JSON[Raise](t, "members-raise")
	golden.JSON[Value](t, "register-value")
	golden.JSON[Set](t, "register-set")
	golden.JSON[Get](t, "register-get")
	golden.JSON[Ordered](t, "orders-ordered")
	golden.JSON[Order](t, "orders-order")
	golden.JSON[OrdersOf](t, "orders-of")
	golden.JSON[callsCommand](t, "calls-command")
	golden.JSON[Usage](t, "calls-held")
	golden.JSON[Lookup](t, "calls-look")
	golden.JSON[ClaimReply](t, "calls-outcome")
	golden.JSON[callsImage](t, "calls-image")
	golden.JSON[PolicyCommand](t, "policy-command")
	golden.JSON[PolicyQuestion](t, "policy-question")
	golden.JSON[QuotaLeaseCommand](t, "room-command")
}

// TestEncodedWordsKeepTheirForm guards against a changed name of a component, code, role or result: these names
// are stored on disk and sent between processes.
func TestEncodedWordsKeepTheirForm(t *testing.T) {
	words := []any{ComponentMembers, ComponentRegister, ComponentCalls, ComponentOrders, ComponentPolicy, ComponentQuotaLeases, OK, Conflict, Invalid, Full, SessionLost, Voter, Learner, Removed,
		ClaimGranted, ClaimRunning, ClaimReplayed, ClaimExecuted, ClaimInDoubt, ClaimMismatch, ClaimFull, ClaimUnknown, OutcomeServed, OutcomeNotExecuted, OutcomeInDoubt,
		rollout.Validating, rollout.Pausing, rollout.Activated, rollout.Rejected}
	golden.Check(t, "words", fmt.Append(nil, words))
}

// script returns the commands of a history that contains at least one command of each kind and leaves no component
// empty.
func script() (commands []Command) {
	add := func(at float64, session, number uint64, component string, body any) {
		commands = append(commands, Command{Version: Version, At: at, Session: session, Number: number, Confirmed: number / 4, Component: component, Body: encode(body)})
	}
	name := func(b byte) []byte { return bytes.Repeat([]byte{b}, 16) }
	add(1_000_100, 0, 71, "", Opening{Name: "node-1"})
	add(1_000_200, 0, 72, "", Opening{Name: "node-2"})
	add(1_000_300, 0, 0, ComponentMembers, Started{ID: 11, Starts: 4, ReadsVersion: 2})
	n := map[uint64]uint64{}
	do := func(at float64, session uint64, component string, body any) {
		n[session]++
		add(at, session, n[session], component, body)
	}
	do(1_000_400, 1, ComponentRegister, Set{Name: "colour", Value: "blue"})
	do(1_000_500, 2, ComponentRegister, Set{Name: "colour", Value: "red", ExpectedNumber: new(uint64(4))})
	do(1_000_600, 1, ComponentRegister, Set{Name: "size", Value: "large"})
	for _, o := range []Order{{"node-1", "drain", ""}, {"node-1", "suspend", "rater-2"}, {"node-2", "suspend", "rater-3"}, {"node-2", "suspend", "rater-4"},
		{"node-2", "resume", "rater-3"}, {"node-3", "drain", ""}, {"node-3", "activate", ""}} {
		do(1_000_700, 1, ComponentOrders, o)
	}
	do(1_000_800, 1, ComponentCalls, ProcessStartCommand(ProcessStart{Node: "node-1", Incarnation: 5, Secret: []byte("secret"), Predecessor: 4}))
	for b := byte(1); b <= 6; b++ {
		do(1_000_900+float64(b), 2, ComponentCalls, ClaimCommand(Claim{Name: name(b), Fingerprint: name(b + 100), Tenant: fmt.Sprint("tenant ", b), AnsweredWindow: 60_000 + float64(b%2),
			InDoubtWindow: 90_000, RunTimeout: 30_000, Node: fmt.Sprint("node-", b%2+1), Incarnation: 5, Token: uint64(b) + 40}))
	}
	for b, e := range []Completion{{Outcome: OutcomeServed, Body: []byte("an answer")}, {Outcome: OutcomeServed}, {Outcome: OutcomeInDoubt}, {Outcome: OutcomeNotExecuted}} {
		e.Name, e.Token = name(byte(b+1)), uint64(b)+41
		do(1_001_000+float64(b), 2, ComponentCalls, CompletionCommand(e))
	}
	report := func(at float64, r rollout.Report) {
		do(at, 1, ComponentPolicy, PolicyCommand{Report: &r})
	}
	propose := func(at float64, p rollout.Proposal) { do(at, 2, ComponentPolicy, PolicyCommand{Propose: &p}) }
	propose(1_001_100, rollout.Proposal{ID: "first", Text: "a document", By: "ada"}) // activated at once: no member has to validate it
	propose(1_001_110, rollout.Proposal{ID: "late", Text: "another", By: "bob"})
	report(1_001_120, rollout.Report{Node: "node-1", Incarnation: 5, InForce: 1, Lease: 8000})
	report(1_001_130, rollout.Report{Node: "node-2", Incarnation: 6, InForce: 1, Lease: 8000, WithoutLease: true})
	report(1_001_135, rollout.Report{Node: "node-3", Incarnation: 7, InForce: 1, Lease: 8000})
	propose(1_001_140, rollout.Proposal{ID: "faulty", Text: "a wrong document", Base: 1, By: "bob"})
	report(1_001_150, rollout.Report{Node: "node-1", Incarnation: 5, InForce: 1, Lease: 8000, Validated: "faulty", Rejection: "line 1"})
	do(1_001_160, 1, ComponentPolicy, PolicyCommand{DeadNode: "node-3"})
	propose(1_001_170, rollout.Proposal{ID: "second", Text: "a second document", Base: 1, By: "ada"})
	report(1_001_180, rollout.Report{Node: "node-1", Incarnation: 5, InForce: 1, Lease: 8000, Validated: "second"})
	report(1_001_190, rollout.Report{Node: "node-2", Incarnation: 6, InForce: 1, Lease: 8000, WithoutLease: true, Validated: "second"})
	report(1_001_200, rollout.Report{Node: "node-1", Incarnation: 5, InForce: 1, Lease: 8000, Validated: "second", Paused: "second"})
	tree := lease.Tree{Number: 1, Leased: .9, Settings: quota.Settings{Root: quota.Amount{100, 50}, Floor: .05, Priorities: 2, Burst: 1, LongWindow: 60, Reserved: .1,
		DebtDecay: 30, RepayTime: 10, RepayFraction: .25, MaxRetryAfter: 2, Nodes: []quota.Node{{Name: "a", Share: .5}, {Name: "b", Share: .3, RateLimit: quota.Amount{40}, Burst: 2},
			{Name: "c", Share: .1, NoBorrowing: true}, {Name: "d", Parent: "a", Share: .4, LongLimit: quota.Amount{30}, NoLending: true}, {Name: "e", Guarantee: quota.Amount{1, 1}}}}}
	do(1_001_300, 1, ComponentQuotaLeases, QuotaLeaseCommand{Tree: &tree})
	for i := range 6 {
		at := 1_001_400 + 500*float64(i)
		for j := range 2 {
			do(at+float64(j), uint64(j+1), ComponentQuotaLeases, QuotaLeaseCommand{Report: &lease.Report{Node: fmt.Sprint("node-", j+1), Life: uint64(j + 5), Tree: tree.Hash(), Length: 8000,
				HeldLease: uint64(2*(i-1) + j + 1), Demand: []lease.NodeDemand{{Node: 1, Requested: .1 * float64(i), Admitted: .05}, {Node: 2, Requested: .9, Admitted: .4 * float64(j)}, {Node: 4, Requested: .02, Admitted: .01}}}})
		}
	}
	return commands
}

// queries returns one query of each kind for each component.
func queries() (all []Request) {
	for component, bodies := range map[string][]any{
		ComponentMembers:  {struct{}{}},
		ComponentRegister: {Get{}, Get{Name: "colour"}},
		ComponentOrders:   {OrdersOf{Node: "node-1"}, OrdersOf{Node: "node-2"}},
		ComponentCalls: {Lookup{}, Lookup{Name: bytes.Repeat([]byte{1}, 16), Fingerprint: bytes.Repeat([]byte{101}, 16)}, Lookup{Name: bytes.Repeat([]byte{2}, 16), Fingerprint: bytes.Repeat([]byte{102}, 16)},
			Lookup{Name: bytes.Repeat([]byte{3}, 16), Fingerprint: bytes.Repeat([]byte{103}, 16)}, Lookup{Name: bytes.Repeat([]byte{5}, 16), Fingerprint: bytes.Repeat([]byte{105}, 16)}},
		ComponentPolicy:      {PolicyQuestion{}, PolicyQuestion{Progress: true}, PolicyQuestion{Outcome: "faulty"}, PolicyQuestion{Proposed: "second"}, PolicyQuestion{Document: new(uint64(1))}},
		ComponentQuotaLeases: {struct{}{}},
	} {
		for _, b := range bodies {
			all = append(all, Request{Component: component, Body: encode(b)})
		}
	}
	return all
}

func answers(m *Machine) map[string]Reply {
	out := map[string]Reply{}
	for _, q := range queries() {
		out[q.Component+" "+string(q.Body)] = m.Query(q)
	}
	return out
}

// TestImagesAndHistoryOfAnEarlierBuild guards against commands, replies, images and answers that this build writes
// or reads differently from an earlier build of the release. The golden files hold a history, the replies to its
// commands, the images in both forms, and the answers to all queries.
func TestImagesAndHistoryOfAnEarlierBuild(t *testing.T) {
	var text bytes.Buffer
	for _, c := range script() {
		text.Write(append(encode(c), '\n'))
	}
	golden.Check(t, "history.jsonl", text.Bytes())

	m := Bootstrap([]Member{{ID: 11, Name: "k0", Address: "h0:1", ReadsVersion: 2}, {ID: 12, Name: "k1", Address: "h1:1", Starts: 3, ReadsVersion: 2}}, 1e6)
	m.AddLearner(0, Member{ID: 13, Name: "k2", Address: "h2:1", Replaces: 12, ReadsVersion: 2})
	m.AddLearner(0, Member{ID: 14, Name: "k3", Address: "h3:1", ReadsVersion: 2})
	m.RemoveMember(0, 14)
	replies := []Reply{}
	for line := range bytes.Lines(golden.File(t, "history.jsonl", nil)) {
		var c Command
		require.NoError(t, json.Unmarshal(line, &c))
		require.Equal(t, string(bytes.TrimSpace(line)), string(encode(c)), "a command that was read is encoded to the same bytes")
		_, r, err := m.Apply(m.Index()+1, line)
		require.NoError(t, err)
		require.Equal(t, OK, r.Code, "%s: %s", line, r.Text)
		replies = append(replies, r)
	}
	golden.Check(t, "replies.json", encode(replies))
	golden.Check(t, "answers.json", encode(answers(m)))

	for name, raised := range map[string]int{"image-plain": 0, "image-compact": 2} {
		t.Run(name, func(t *testing.T) {
			m.members.raisedVersion = raised
			frozen, err := m.Freeze()()
			require.NoError(t, err)
			golden.Check(t, name, frozen)
			other := New()
			require.NoError(t, other.Restore(golden.File(t, name, nil)))
			require.Equal(t, m.now, other.now)
			require.Equal(t, m.index, other.index)
			require.Equal(t, m.members, other.members)
			require.Equal(t, m.sessions, other.sessions)
			require.Equal(t, answers(m), answers(other))
			again, err := other.Freeze()()
			require.NoError(t, err)
			require.Equal(t, frozen, again)
			for _, component := range []string{ComponentMembers, ComponentRegister, ComponentOrders, ComponentPolicy, ComponentQuotaLeases, ComponentCalls} {
				want, err := m.components[component].Freeze()()
				require.NoError(t, err)
				got, err := other.components[component].Freeze()()
				require.NoError(t, err)
				require.Equal(t, string(want), string(got), component)
				require.Greater(t, len(want), 50, "%s is not empty", component)
			}
		})
	}
}
