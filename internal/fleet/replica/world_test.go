package replica

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/operator"
)

// world plays members, their disks and their network in virtual time. It is told of every order and answer, and notes what
// must never be.
type world struct {
	rand      *rand.Rand
	now       time.Duration
	events    events
	lastSeq   int
	nodes     []*node
	cuts      map[[2]string]bool // from, to
	planted   planted
	seeds     []string
	tolerated int
	slowest   time.Duration // that a message takes

	lastID   uint64
	pending  map[uint64]operator.Order
	acked    map[operator.Digest]int64
	ackedAt  []ack
	ackBases map[int64]operator.Digest
	views    map[uint64]string
	broken   []string
}

type ack struct {
	revision int64
	at       time.Duration
}

// planted is a fault that is put into the members' surroundings on purpose, to see that the world notices.
type planted struct {
	entriesNotStored  bool // a member hands orders on before they are stored
	promisesNotStored bool
	wipedKeepsName    bool // a member whose disk was lost goes on as the one it was
	digestsDropped    bool
	readsUnconfirmed  bool
	leaseUnconfirmed  bool // a lease is taken to hold from now on
}

type node struct {
	address string
	machine *Machine
	disk    Stored
	up      bool
	frozen  bool
	outside bool // it can be no voter
	badDisk bool
	founder bool
	held    []func() // events that wait for a frozen node
	life    int
	noted   uint64 // the epoch whose view was checked last
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

const worldTick = 50 * time.Millisecond

func newWorld(seed uint64, members int) *world {
	w := &world{tolerated: 1, slowest: 2 * time.Millisecond, rand: rand.New(rand.NewPCG(seed, 1)), now: time.Millisecond, cuts: map[[2]string]bool{}, pending: map[uint64]operator.Order{},
		acked: map[operator.Digest]int64{}, ackBases: map[int64]operator.Digest{}, views: map[uint64]string{}}
	for i := range members {
		w.seeds = append(w.seeds, fmt.Sprintf("m%d", i))
	}
	for _, address := range w.seeds {
		n := &node{address: address, founder: true}
		w.nodes = append(w.nodes, n)
		w.after(time.Duration(w.rand.IntN(300))*time.Millisecond, func() { w.start(n) })
	}
	return w
}

func (w *world) fail(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
}

func (w *world) after(wait time.Duration, run func()) {
	w.lastSeq++
	heap.Push(&w.events, event{w.now + wait, w.lastSeq, run})
}

func (w *world) runUntil(end time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= end {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		next.run()
	}
	w.now = end
}

func (w *world) options() Options {
	options := DefaultOptions()
	options.Tolerated = w.tolerated
	options.Seeds = w.seeds
	return options
}

func (w *world) start(n *node) {
	if n.up {
		return
	}
	if n.disk.Self.Address == "" {
		n.disk.Self = Member{Address: n.address, Incarnation: w.rand.Uint64() | 1}
		if n.founder {
			n.disk.Founder, n.disk.Founders = true, w.seeds
		}
		n.founder = false
	}
	n.noted = 0
	options := w.options()
	options.Core = !n.outside
	machine, err := New(options, n.disk, w.now)
	if err != nil {
		w.fail("%s cannot start: %v", n.address, err)
		return
	}
	n.machine, n.up, n.frozen = machine, true, false
	n.life++
	w.tick(n, n.life)
}

func (w *world) tick(n *node, life int) {
	if !n.up || n.life != life {
		return
	}
	w.step(n, func() Output { return n.machine.Tick(w.now) })
	if n.up && !n.badDisk && !n.machine.Healthy() {
		n.machine.SetHealthy()
	}
	w.after(worldTick, func() { w.tick(n, life) })
}

// step runs a member's machine, stores, sends and replies.
func (w *world) step(n *node, run func() Output) {
	if !n.up {
		return
	}
	if n.frozen {
		n.held = append(n.held, func() { w.step(n, run) })
		return
	}
	before := n.machine.Checkpoint()
	out := run()
	if n.badDisk && len(out.Save) > 0 {
		n.machine.Rollback(before)
		return
	}
	for _, record := range out.Save {
		w.store(n, record)
	}
	w.noteView(n)
	w.checkLease(n)
	for _, envelope := range out.Send {
		w.post(n, envelope)
	}
	for _, reply := range out.Replies {
		w.answer(n, reply)
	}
}

func (w *world) store(n *node, record Record) {
	switch record := record.(type) {
	case SavePromise:
		if !w.planted.promisesNotStored {
			n.disk.Promised = record.Ballot
		}
	case SaveAccepted:
		if !w.planted.promisesNotStored {
			accepted := record.Accepted
			n.disk.Accepted = &accepted
		}
	case SaveView:
		proposal := record.Proposal
		if w.planted.digestsDropped {
			proposal.State.Digests, proposal.State.Made = nil, nil
		}
		n.disk.Base, n.disk.Entries, n.disk.Promised, n.disk.Accepted = &proposal, nil, Ballot{}, nil
	case SaveEntry:
		if !w.planted.entriesNotStored {
			n.disk.Entries = append(slices.Clone(n.disk.Entries), record.Entry)
		}
	}
}

func (w *world) post(from *node, envelope Envelope) {
	to := w.node(envelope.To.Address)
	if to == nil || w.cuts[[2]string{from.address, to.address}] {
		return
	}
	delay := 200*time.Microsecond + time.Duration(w.rand.Int64N(int64(w.slowest)))
	if from == to {
		delay = 0
	} else if w.rand.IntN(200) == 0 { // now and then a message is lost
		return
	}
	w.after(delay, func() {
		if w.cuts[[2]string{from.address, to.address}] {
			return
		}
		w.step(to, func() Output { return to.machine.Step(w.now, envelope) })
	})
}

func (w *world) node(address string) *node {
	for _, n := range w.nodes {
		if n.address == address {
			return n
		}
	}
	return nil
}

// noteView checks that an epoch has one view.
func (w *world) noteView(n *node) {
	view := n.machine.View()
	if view.Epoch == n.noted {
		return
	}
	n.noted = view.Epoch
	text := fmt.Sprint(view)
	if was, known := w.views[view.Epoch]; known && was != text {
		w.fail("epoch %d has two views: %s and %s", view.Epoch, was, text)
	}
	w.views[view.Epoch] = text
}

// checkLease checks that a state that a member holds for confirmed was the newest one then.
func (w *world) checkLease(n *node) {
	confirmed := n.machine.StateConfirmed()
	if confirmed == 0 {
		return
	}
	if w.planted.leaseUnconfirmed {
		confirmed = w.now
	}
	_, state := n.machine.Agreed()
	for _, one := range w.ackedAt {
		if one.at < confirmed && one.revision > state.Document.Revision {
			w.fail("%s holds revision %d for the newest one at %v, %d was acknowledged at %v", n.address,
				state.Document.Revision, confirmed, one.revision, one.at)
		}
	}
}

// answer takes an order's end as the operator sees it; a refusal only once it is confirmed, as the adapter has it.
func (w *world) answer(n *node, reply Reply) {
	order, known := w.pending[reply.ID]
	if !known {
		return
	}
	if reply.Unconfirmed {
		w.confirm(n, n.life, w.now, w.now+700*time.Millisecond, func() { w.refused(order) })
		return
	}
	if reply.Err == nil {
		w.acknowledge(order, reply.Revision)
	}
}

func (w *world) confirm(n *node, life int, since, deadline time.Duration, then func()) {
	if !n.up || n.life != life || w.now > deadline {
		return
	}
	if n.machine.ViewConfirmed() > since {
		then()
		return
	}
	w.after(worldTick/5, func() { w.confirm(n, life, since, deadline, then) })
}

func (w *world) refused(order operator.Order) {
	if revision, taken := w.acked[order.Digest()]; taken {
		w.fail("the order of revision %d was acknowledged and is refused", revision)
	}
}

func (w *world) acknowledge(order operator.Order, revision int64) {
	digest := order.Digest()
	if _, again := w.acked[digest]; again {
		return
	}
	if other, taken := w.ackBases[order.Base]; taken && other != digest {
		w.fail("two orders on %d were acknowledged", order.Base)
	}
	w.acked[digest], w.ackBases[order.Base] = revision, digest
	w.ackedAt = append(w.ackedAt, ack{revision, w.now})
}

func (w *world) newest() int64 {
	newest := int64(0)
	for _, one := range w.ackedAt {
		newest = max(newest, one.revision)
	}
	return newest
}

// submit sends an order to the head that some member knows.
func (w *world) submit(order operator.Order) {
	n := w.nodes[w.rand.IntN(len(w.nodes))]
	if !n.up || n.frozen {
		return
	}
	head := w.node(n.machine.View().Head().Address)
	if head == nil || !head.up || head.frozen {
		return
	}
	w.lastID++
	id := w.lastID
	w.pending[id] = order
	w.step(head, func() Output { return head.machine.Submit(w.now, id, order) })
}

// read reads at the tail that some member knows, and checks that no older version is given than was acknowledged before.
func (w *world) read(done func(revision int64)) {
	n := w.nodes[w.rand.IntN(len(w.nodes))]
	if !n.up || n.frozen {
		return
	}
	tail := w.node(n.machine.View().Tail().Address)
	if tail == nil || !tail.up || tail.frozen {
		return
	}
	newest := w.newest()
	w.awaitRead(tail, tail.life, w.now, newest, done)
}

func (w *world) awaitRead(tail *node, life int, since time.Duration, newest int64, done func(int64)) {
	if !tail.up || tail.life != life || w.now-since > time.Second {
		return
	}
	confirmed := tail.machine.StateConfirmed() > since || w.planted.readsUnconfirmed
	if tail.frozen || !confirmed {
		w.after(worldTick/5, func() { w.awaitRead(tail, life, since, newest, done) })
		return
	}
	_, state := tail.machine.Agreed()
	if state.Document.Revision < newest {
		w.fail("%s reads %d, %d was acknowledged before", tail.address, state.Document.Revision, newest)
	}
	done(state.Document.Revision)
}

// ---- Troubles ----

func (w *world) crash(n *node) {
	n.up, n.frozen, n.held = false, false, nil
}

func (w *world) wipe(n *node) {
	w.crash(n)
	name := n.disk.Self
	n.disk = Stored{}
	if w.planted.wipedKeepsName {
		n.disk.Self, n.disk.Founder, n.disk.Founders = name, true, w.seeds
	}
}

func (w *world) freeze(n *node) { n.frozen = n.up }

func (w *world) thaw(n *node) {
	n.frozen = false
	held := n.held
	n.held = nil
	for _, run := range held {
		run()
	}
}

func (w *world) cut(from, to *node, both bool) {
	w.cuts[[2]string{from.address, to.address}] = true
	if both {
		w.cuts[[2]string{to.address, from.address}] = true
	}
}

func (w *world) heal() { clear(w.cuts) }

// order makes an order that builds on a version.
func (w *world) order(base, revision int64, text string) operator.Order {
	body := fmt.Sprintf(`{"Revision":%d,"Note":%q}`, revision, text)
	return operator.Order{Method: http.MethodPatch, Base: base, Body: []byte(body)}
}

func (w *world) problems() string { return strings.Join(w.broken, "\n") }
