package replica

import (
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/fleet/errkind"
	"linenwheel.dev/linenwheel/internal/fleet/operator"
)

// confirmationTimeout is how long a member waits for the confirmation of a rejection. After that it does not
// reply.
const confirmationTimeout = 700 * time.Millisecond

// ack is the first acknowledgement of an order.
type ack struct {
	revision int64
	at       time.Duration
}

// onReply records the outcome of an order as the operator sees it: a rejection counts only after it is confirmed.
func (sim *simulation) onReply(n *node, reply Reply) {
	order, known := sim.submitted[reply.ID]
	if !known {
		return
	}
	if reply.Unconfirmed && sim.faults.rejectionUnconfirmed {
		sim.onRejected(order, reply)
		return
	}
	if reply.Unconfirmed {
		sim.awaitConfirmation(n, n.starts, sim.now, sim.now+confirmationTimeout, reply.Epoch, func() { sim.onRejected(order, reply) })
		return
	}
	if reply.Err == nil {
		sim.onAcknowledged(order, reply.Revision)
	}
}

// ackCount returns how often an order was acknowledged.
func (sim *simulation) ackCount(order operator.Order) int { return sim.ackCounts[order.Digest()] }

func (sim *simulation) awaitConfirmation(n *node, starts int, since, deadline time.Duration, epoch uint64, then func()) {
	if !n.up || n.starts != starts || sim.now > deadline {
		return
	}
	if n.machine.View().Epoch != epoch && !sim.faults.rejectionOfEarlierEpoch {
		return
	}
	if n.machine.ViewConfirmed() > since {
		then()
		return
	}
	sim.schedule(tickInterval/5, func() { sim.awaitConfirmation(n, starts, since, deadline, epoch, then) })
}

func (sim *simulation) onRejected(order operator.Order, reply Reply) {
	if op := sim.operations[order.Digest()]; op != nil && isRejection(reply.Err) {
		result := configResult{known: true, rejected: true}
		sim.completedCalls = append(sim.completedCalls, operation{op.call, result, sim.submittedAt[reply.ID], sim.now})
	}
	unknown := errkind.KindOf(reply.Err) == errkind.OutcomeUnknown // the reply is neither an acknowledgement nor a rejection
	if revision, acked := sim.ackedRevisions[order.Digest()]; acked && !unknown {
		sim.reportViolation("the order for revision %d was acknowledged and later rejected", revision)
	}
}

func (sim *simulation) onAcknowledged(order operator.Order, revision int64) {
	digest := order.Digest()
	sim.ackCounts[digest]++
	if previous, again := sim.ackedRevisions[digest]; again {
		if previous != revision {
			sim.reportViolation("one order was acknowledged as revision %d and as revision %d", previous, revision)
		}
		return
	}
	if other, acked := sim.ackedByBase[order.Base]; acked && other != digest {
		sim.reportViolation("two orders with base revision %d were acknowledged", order.Base)
	}
	if op := sim.operations[digest]; op != nil {
		op.result, op.endedAt = configResult{known: true}, sim.now
	}
	sim.ackedRevisions[digest], sim.ackedByBase[order.Base] = revision, digest
	sim.ackLog = append(sim.ackLog, ack{revision, sim.now})
}

// lastAcked returns the highest acknowledged revision.
func (sim *simulation) lastAcked() int64 {
	latest := int64(0)
	for _, ack := range sim.ackLog {
		latest = max(latest, ack.revision)
	}
	return latest
}

// submit submits an order to the head according to the view of a random member.
func (sim *simulation) submit(order operator.Order) {
	n := sim.nodes[sim.rand.IntN(len(sim.nodes))]
	if !n.up || n.frozen {
		return
	}
	head := sim.node(n.machine.View().Head().Address)
	if head == nil || !head.up || head.frozen {
		return
	}
	sim.lastID++
	id := sim.lastID
	sim.submitted[id], sim.submittedAt[id] = order, sim.now
	sim.step(head, func() Ready { return head.machine.Submit(sim.now, id, order) })
}

// submitAt submits an order to the head according to the view of the given member, unless the two are partitioned.
func (sim *simulation) submitAt(n *node, order operator.Order) {
	if !n.up || n.frozen {
		return
	}
	head := sim.node(n.machine.View().Head().Address)
	if head == nil || !head.up || head != n && (sim.isPartitioned(n, head) || sim.isPartitioned(head, n)) {
		return
	}
	sim.lastID++
	id := sim.lastID
	sim.submitted[id] = order
	sim.step(head, func() Ready { return head.machine.Submit(sim.now, id, order) })
}

// read reads at the tail according to the view of a random member, and checks that the result is not older than
// the last revision acknowledged before the read.
func (sim *simulation) read(done func(revision int64)) {
	n := sim.nodes[sim.rand.IntN(len(sim.nodes))]
	if !n.up || n.frozen {
		return
	}
	tail := sim.node(n.machine.View().Tail().Address)
	if tail == nil || !tail.up || tail.frozen {
		return
	}
	latest := sim.lastAcked()
	sim.awaitRead(tail, tail.starts, sim.now, latest, done)
}

func (sim *simulation) awaitRead(tail *node, starts int, since time.Duration, latest int64, done func(int64)) {
	if !tail.up || tail.starts != starts || sim.now-since > time.Second {
		return
	}
	confirmed := tail.machine.StateConfirmed() > since || sim.faults.readsUnconfirmed
	if tail.frozen || !confirmed {
		sim.schedule(tickInterval/5, func() { sim.awaitRead(tail, starts, since, latest, done) })
		return
	}
	_, state := tail.machine.Committed()
	if state.Document.Revision < latest {
		sim.reportViolation("%s reads revision %d, but revision %d was acknowledged before", tail.address, state.Document.Revision, latest)
	}
	result := configResult{known: true, revision: state.Document.Revision}
	sim.completedCalls = append(sim.completedCalls, operation{configCall{read: true}, result, since, sim.now})
	done(state.Document.Revision)
}

// readAt reads at a member and returns the revision that it confirms within a time, -1 if it confirms none.
func (sim *simulation) readAt(n *node, within time.Duration) int64 {
	read := int64(-1)
	sim.awaitRead(n, n.starts, sim.now, sim.lastAcked(), func(revision int64) { read = revision })
	sim.runUntil(sim.now + within)
	return read
}

// newOrder returns an order with a base revision and records it as an operation.
func (sim *simulation) newOrder(base, revision int64, text string) operator.Order {
	body := fmt.Sprintf(`{"Revision":%d,"Note":%q}`, revision, text)
	order := operator.Order{Method: http.MethodPatch, Base: base, Body: []byte(body)}
	sim.recordOperation(order, revision)
	return order
}

// submitUntilCommitted submits an order repeatedly until it is acknowledged, as the operator does, and returns how
// long that took.
func (sim *simulation) submitUntilCommitted(t *testing.T, base, revision int64) time.Duration {
	t.Helper()
	begin := sim.now
	order := sim.newOrder(base, revision, "test")
	for range 100 {
		sim.submit(order)
		sim.runUntil(sim.now + 100*time.Millisecond)
		if _, acked := sim.ackedRevisions[order.Digest()]; acked {
			return sim.now - begin
		}
	}
	require.Fail(t, "not acknowledged", "revision %d", revision)
	return 0
}

// commitThroughOthers submits an order at all members except one until it is acknowledged.
func (sim *simulation) commitThroughOthers(t *testing.T, except *node) {
	t.Helper()
	order := sim.newOrder(sim.lastAcked(), sim.lastAcked()+1, fmt.Sprint("by the others at ", sim.now))
	for range 60 {
		for _, n := range sim.nodes {
			if n != except {
				sim.submitAt(n, order)
			}
		}
		sim.runUntil(sim.now + 50*time.Millisecond)
		if _, acked := sim.ackedRevisions[order.Digest()]; acked {
			return
		}
	}
	require.Fail(t, "not acknowledged")
}

// commitQuickly submits an order until it is acknowledged, at an interval of about the time that a message takes
// through the chain.
func (sim *simulation) commitQuickly(t *testing.T) {
	t.Helper()
	sim.commitEvery(t, sim.newOrder(sim.lastAcked(), sim.lastAcked()+1, "quick"), 15*time.Millisecond)
}

// commitEvery submits an order repeatedly, at an interval, until it is acknowledged.
func (sim *simulation) commitEvery(t *testing.T, order operator.Order, interval time.Duration) {
	t.Helper()
	for range 1000 {
		sim.submit(order)
		sim.runUntil(sim.now + interval)
		if _, acked := sim.ackedRevisions[order.Digest()]; acked {
			return
		}
	}
	require.Fail(t, "not acknowledged")
}

// commitLargeOrders commits orders whose total size exceeds maxEntryBytes, so that a new member can reach the
// current state only through a snapshot.
func (sim *simulation) commitLargeOrders(t *testing.T) {
	t.Helper()
	const orders, size = 6, 400 << 10
	require.Greater(t, orders*size, maxEntryBytes)
	for range orders {
		base := sim.lastAcked()
		order := sim.newOrder(base, base+1, sim.incompressibleText(size))
		for range 50 {
			sim.submit(order)
			sim.runUntil(sim.now + 100*time.Millisecond)
			if _, acked := sim.ackedRevisions[order.Digest()]; acked {
				break
			}
		}
		require.Contains(t, sim.ackedRevisions, order.Digest())
	}
}

// incompressibleText returns random text that does not compress much.
func (sim *simulation) incompressibleText(size int) string {
	text := make([]byte, size)
	for i := range text {
		text[i] = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789+-"[sim.rand.IntN(64)]
	}
	return string(text)
}

// operate submits orders based on the last acknowledged revision, each of them several times.
func (sim *simulation) operate(number int) {
	if sim.now > sim.operateUntil {
		return
	}
	base := sim.lastAcked()
	order := sim.newOrder(base, base+1+int64(sim.rand.IntN(3)), fmt.Sprintf("operator %d at %v", number, sim.now))
	for i := range 1 + sim.rand.IntN(4) {
		sim.schedule(time.Duration(i*(20+sim.rand.IntN(700)))*time.Millisecond, func() { sim.submit(order) })
	}
	if sim.rand.IntN(6) == 0 { // resubmit the order later
		old := order
		sim.schedule(time.Duration(sim.rand.IntN(9))*time.Second, func() { sim.submit(old) })
	}
	sim.schedule(time.Duration(sim.rand.IntN(300))*time.Millisecond, func() { sim.read(func(int64) {}) })
	sim.schedule(time.Duration(100+sim.rand.IntN(900))*time.Millisecond, func() { sim.operate(number) })
}

// isRejection reports whether an error rejects an order permanently, so that resubmitting it cannot succeed.
func isRejection(err error) bool {
	var kindErr *errkind.Error
	return errors.As(err, &kindErr) && (kindErr.Kind == errkind.InvalidConfig || kindErr.Kind == errkind.VersionConflict)
}
