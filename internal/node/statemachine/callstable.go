package statemachine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"linenwheel.dev/linenwheel/internal/node/idempotency"
)

// calls is the component that holds the idempotency keys: the table that a node without replication also uses, and
// the owner of each run.
type calls struct {
	table      *idempotency.Table
	classes    []idempotency.Class // of the table, by number; an image restores them in the same order
	running    map[idempotency.Key]claimOwner
	nextExpiry float64 // cluster time at which the next run becomes in doubt, ms; +Inf = no runs
	secret     []byte  // digest of the fleet's secret; nil = no process has started yet
	capacity   int     // maximum number of names: MaxCalls except in tests
}

// claimOwner is the owner of a claim: the process that runs the call.
type claimOwner struct {
	Ref         idempotency.Ref `json:"-"`
	Node        string          `json:"node"`
	Incarnation uint64          `json:"life"`
	Token       uint64          `json:"token"`
	Until       float64         `json:"until"` // cluster time at which the run becomes in doubt, ms
}

func newCalls() *calls {
	c := &calls{running: map[idempotency.Key]claimOwner{}, nextExpiry: math.Inf(1), classes: []idempotency.Class{{AtMostOnce: true}}, capacity: MaxCalls}
	c.table = newCallTable(c.classes, c.capacity)
	return c
}

func newCallTable(classes []idempotency.Class, capacity int) *idempotency.Table {
	table, err := idempotency.New(idempotency.Settings{Classes: classes, Tenants: tenantBuckets, MaxEntries: capacity, MaxBodyBytes: MaxBodyBytes, PinnedRatio: tenantAlpha})
	if err != nil {
		panic(err) // the settings are constants that New accepts
	}
	return table
}

// toName converts the 16 bytes of a name or a fingerprint. It returns false if b has another length.
func toName(b []byte) (n idempotency.Key, ok bool) {
	return n, len(b) == copy(n[:], b) && len(b) == len(n)
}

// Apply applies a claim, a completion or the start of a process.
func (c *calls) Apply(_ uint64, now float64, _ uint64, body json.RawMessage) Reply {
	var cmd callsCommand
	if err := json.Unmarshal(body, &cmd); err != nil {
		return Reply{Code: Invalid, Text: err.Error()}
	}
	now = math.Floor(now) // whole ms, so that an image restores exactly the same times
	c.expire(now)
	switch {
	case cmd.Claim != nil:
		return c.claim(now, cmd.Claim)
	case cmd.Completion != nil:
		return c.complete(now, cmd.Completion)
	case cmd.Start != nil:
		return c.startProcess(now, cmd.Start)
	}
	return Reply{Code: Invalid, Text: "want take, ended or fresh"}
}

// expire ends, as in doubt, the runs that were not completed in time.
func (c *calls) expire(now float64) {
	c.table.Tick(now)
	if now >= c.nextExpiry {
		c.endInDoubt(now, func(owner claimOwner) bool { return owner.Until <= now })
	}
}

// endInDoubt ends the runs of the selected owners as in doubt, and returns their number. It proceeds in the order
// of the names, because the table evicts calls in the order in which they ended, which must be the same on all
// members.
func (c *calls) endInDoubt(now float64, selected func(claimOwner) bool) int {
	var names []idempotency.Key
	for name, owner := range c.running {
		if selected(owner) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b idempotency.Key) int { return bytes.Compare(a[:], b[:]) })
	for _, name := range names {
		c.table.Complete(now, c.running[name].Ref, idempotency.OutcomeInDoubt, nil, 0)
		delete(c.running, name)
	}
	c.nextExpiry = math.Inf(1)
	for _, owner := range c.running {
		c.nextExpiry = min(c.nextExpiry, owner.Until)
	}
	return len(names)
}

// valid reports whether all windows are within their bounds. NaN is not.
func (c *Claim) valid() bool {
	return c.AnsweredWindow >= 0 && c.AnsweredWindow <= maxRetentionMillis && c.InDoubtWindow >= 0 && c.InDoubtWindow <= maxRetentionMillis && c.RunTimeout > 0 && c.RunTimeout <= maxRetentionMillis
}

// claim grants a name to its claimant unless the call has been claimed before.
func (c *calls) claim(now float64, claim *Claim) Reply {
	name, ok := toName(claim.Name)
	fingerprint, ok2 := toName(claim.Fingerprint)
	if !ok || !ok2 || !claim.valid() {
		return Reply{Code: Invalid, Text: "want a name, a print and windows"}
	}
	class, ok := c.findOrAddClass(claim.AnsweredWindow, claim.InDoubtWindow)
	if !ok {
		return Reply{Code: Full, Text: "too many different windows"}
	}
	if owner, running := c.running[name]; running && owner.Token == claim.Token { // the same run, retried in another session
		return Reply{Code: OK, Body: encode(ClaimReply{Result: ClaimGranted})}
	}
	decision := c.table.Claim(now, idempotency.Call{Key: name, Fingerprint: idempotency.Fingerprint(fingerprint), Class: c.classOf(name, class),
		Tenant: int(xxhash.Sum64String(claim.Tenant) % tenantBuckets)})
	if decision.Verdict == idempotency.Run {
		c.setRunning(name, claimOwner{Ref: decision.Ref, Node: claim.Node, Incarnation: claim.Incarnation, Token: claim.Token, Until: now + math.Ceil(claim.RunTimeout)})
	}
	return Reply{Code: OK, Body: encode(c.replyTo(name, decision))}
}

func (c *calls) setRunning(name idempotency.Key, owner claimOwner) {
	c.running[name] = owner
	c.nextExpiry = min(c.nextExpiry, owner.Until)
}

// findOrAddClass returns the number of the table's class with the given windows, in ms, adding it if necessary. It
// returns false if the table has no room for another class.
func (c *calls) findOrAddClass(answered, doubt float64) (int, bool) {
	want := idempotency.Class{AtMostOnce: true, AnsweredWindow: math.Floor(answered), InDoubtWindow: math.Floor(doubt)}
	if index := slices.Index(c.classes, want); index >= 0 {
		return index, true
	}
	index, ok := c.table.AddClass(want)
	if ok {
		c.classes = append(c.classes, want)
	}
	return index, ok
}

// classOf returns the class of a known name, otherwise the given one: if the windows have been changed meanwhile,
// it is still the same call.
func (c *calls) classOf(name idempotency.Key, class int) int {
	if known, ok := c.table.ClassOf(name); ok {
		return known
	}
	return class
}

// replyTo translates a decision of the table into a reply.
func (c *calls) replyTo(name idempotency.Key, decision idempotency.Decision) ClaimReply {
	reply := ClaimReply{Wait: decision.RetryAfter}
	switch decision.Verdict {
	case idempotency.Run, idempotency.RunUnrecorded:
		reply.Result = ClaimGranted
	case idempotency.Join:
		reply.Result, reply.Node = ClaimRunning, c.running[name].Node
	case idempotency.Replay:
		reply.Result, reply.Body = ClaimReplayed, decision.Body.([]byte)
	case idempotency.Executed:
		reply.Result = ClaimExecuted
	case idempotency.InDoubt:
		reply.Result = ClaimInDoubt
	case idempotency.Mismatch:
		reply.Result = ClaimMismatch
	case idempotency.Full:
		reply.Result = ClaimFull
	}
	return reply
}

// complete ends a run with its outcome. It is rejected once the run is in doubt, because another node may already
// have been told so.
func (c *calls) complete(now float64, completion *Completion) Reply {
	name, ok := toName(completion.Name)
	owner, running := c.running[name]
	if !ok || !running || owner.Token != completion.Token {
		return Reply{Code: Conflict, Text: "the run is not known, or counts as one that may have run"}
	}
	end, body, size := idempotency.OutcomeInDoubt, any(nil), 0
	switch completion.Outcome {
	case OutcomeServed:
		end, size = idempotency.OutcomeServed, MaxBodyBytes+1 // a size for which the table keeps no body
		if len(completion.Body) > 0 && len(completion.Body) <= MaxOneBodyBytes {
			body, size = completion.Body, len(completion.Body)
		}
	case OutcomeNotExecuted:
		end = idempotency.OutcomeNotExecuted
	}
	c.table.Complete(now, owner.Ref, end, body, size)
	delete(c.running, name)
	return Reply{Code: OK}
}

// startProcess ends, as in doubt, the runs of earlier processes of the node, except for a predecessor that still
// completes its own runs.
func (c *calls) startProcess(now float64, start *ProcessStart) Reply {
	if c.secret == nil {
		c.secret = start.Secret
	}
	if !bytes.Equal(c.secret, start.Secret) {
		return Reply{Code: Conflict, Text: "names are hashed under another secret in this fleet"}
	}
	n := c.endInDoubt(now, func(owner claimOwner) bool {
		return owner.Node == start.Node && owner.Incarnation != start.Incarnation && owner.Incarnation != start.Predecessor
	})
	return Reply{Code: OK, Text: fmt.Sprint(n)}
}

// Query answers a Lookup. It changes nothing: runs that have expired since the last entry are ended by the next
// entry.
func (c *calls) Query(body json.RawMessage) Reply {
	var lookup Lookup
	err := json.Unmarshal(body, &lookup)
	if err == nil && lookup.Name == nil {
		usage := c.table.Counts()
		return Reply{Code: OK, Body: encode(Usage{Names: usage.Entries, Running: len(c.running), Bytes: usage.Bytes})}
	}
	name, ok := toName(lookup.Name)
	if err != nil || !ok {
		return Reply{Code: Invalid, Text: "want a name"}
	}
	class, known := c.table.ClassOf(name)
	if !known {
		return Reply{Code: OK, Body: encode(ClaimReply{Result: ClaimUnknown})}
	}
	fingerprint, _ := toName(lookup.Fingerprint)
	decision := c.table.Peek(idempotency.Call{Key: name, Fingerprint: idempotency.Fingerprint(fingerprint), Class: class})
	return Reply{Code: OK, Body: encode(c.replyTo(name, decision))}
}
