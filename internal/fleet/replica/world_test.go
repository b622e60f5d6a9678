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
	sentAt   map[uint64]time.Duration
	acked    map[operator.Digest]int64
	acks     map[operator.Digest]int
	ackedAt  []ack
	ackBases map[int64]operator.Digest
	views    map[uint64]string
	broken   []string

	orders map[operator.Digest]*operation // by what was sent, each once
	calls  []operation                    // refusals and reads
	until  time.Duration                  // until when operators send orders

	checkNext    bool          // that the next loss can be borne, at each tick
	nextLossBad  time.Duration // for how long in all it could not
	catchUp      time.Duration
	lastChecked  time.Duration
	slowUntil    time.Duration // until when messages are slow: all machines count as slowed
	overlapAt    time.Duration // when more machines were lost than are tolerated
	garblePieces bool
	transferRate int // 0: the default
}

type ack struct {
	revision int64
	at       time.Duration
}

// planted is a fault that is put into the members' surroundings on purpose, to see that the world notices.
type planted struct {
	entriesNotStored   bool // a member hands orders on before they are stored
	promisesNotStored  bool
	wipedKeepsName     bool // a member whose disk was lost goes on as the one it was
	digestsDropped     bool // a restarted member forgets which orders were taken
	readsUnconfirmed   bool
	refusalUnconfirmed bool
	refusalOfBefore    bool // a refusal of an earlier epoch is confirmed by a later one
	leaseUnconfirmed   bool // a lease is taken to hold from now on
	outsiderHolds      bool // voters outside the chain offer their copies as whole, those in it do not
	promiseTwice       bool // a voter's promise counts for another voter too
	acceptTwice        bool // a voter's acceptance counts for another voter too
	committedEarly     bool // the head is told that an order is committed as soon as the next member has it
	newestForgotten    bool // a member that restarts has lost its newest entry
	oldView            bool // a member that restarts has lost its newest view
	leavesAtOnce       bool // a member that leaves does not wait until it is released
	anotherOrder       bool // a member down the chain gets another order than the head has
}

type node struct {
	address  string
	domain   string
	machine  *Machine
	disk     Stored
	previous *Proposal // the view before the newest one
	up       bool
	frozen   bool
	outside  bool // it can be no voter
	badDisk  bool
	founder  bool
	leaving  bool
	cutOff   bool
	upSince  time.Duration
	held     []func() // events that wait for a frozen node
	life     int
	noted    uint64 // the epoch whose view was checked last
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
	w := &world{tolerated: 1, catchUp: 4 * time.Second, slowest: 2 * time.Millisecond, rand: rand.New(rand.NewPCG(seed, 1)), now: time.Millisecond, cuts: map[[2]string]bool{}, pending: map[uint64]operator.Order{}, sentAt: map[uint64]time.Duration{},
		acked: map[operator.Digest]int64{}, acks: map[operator.Digest]int{}, ackBases: map[int64]operator.Digest{}, views: map[uint64]string{}, orders: map[operator.Digest]*operation{}, until: 24 * time.Second}
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

func (w *world) options() Config {
	options := DefaultConfig()
	options.MaxFailures = w.tolerated
	options.Seeds = w.presentSeeds()
	if w.transferRate > 0 {
		options.TransferRate = w.transferRate
	}
	return options
}

// presentSeeds are the seeds that the settings of a process name when it starts: machines that are there then.
func (w *world) presentSeeds() []string {
	var seeds []string
	for _, n := range w.nodes[:min(len(w.seeds), len(w.nodes))] {
		seeds = append(seeds, n.address)
	}
	return seeds
}

func (w *world) start(n *node) {
	if n.up {
		return
	}
	if n.disk.Self.Address == "" {
		n.disk.Self = Member{Address: n.address, Incarnation: w.rand.Uint64() | 1, Domain: n.domain}
		if n.founder {
			n.disk.Founder, n.disk.Founders = true, w.seeds
		}
		n.founder = false
	}
	n.noted = 0
	w.spoil(n)
	options := w.options()
	options.CanVote = !n.outside
	machine, err := New(options, n.disk, w.now)
	if err != nil {
		w.fail("%s cannot start: %v", n.address, err)
		return
	}
	n.machine, n.up, n.frozen, n.leaving, n.upSince = machine, true, false, false, w.now
	n.life++
	w.tick(n, n.life)
}

// spoil does to a disk at a start what a planted fault says.
func (w *world) spoil(n *node) {
	disk := &n.disk
	if w.planted.newestForgotten && len(disk.Entries) > 0 {
		disk.Entries = disk.Entries[:len(disk.Entries)-1]
	}
	if w.planted.oldView && n.previous != nil {
		disk.View, disk.Promised, disk.Accepted = n.previous, Ballot{}, nil
	}
	if w.planted.digestsDropped && len(disk.Entries) > 0 {
		machine, err := New(w.options(), *disk, w.now)
		if err != nil {
			return
		}
		snapshot := Snapshot{Seq: machine.log.seq, State: machine.log.state.Snapshot()}
		snapshot.State.Digests, snapshot.State.Made = nil, nil
		disk.Snapshot, disk.Entries = &snapshot, nil
	}
}

func (w *world) tick(n *node, life int) {
	if !n.up || n.life != life {
		return
	}
	w.step(n, func() Ready { return n.machine.Tick(w.now) })
	w.checkNextLoss()
	if n.up && !n.badDisk && !n.machine.Healthy() {
		n.machine.SetHealthy()
	}
	w.after(worldTick, func() { w.tick(n, life) })
}

// step runs a member's machine, stores, sends and replies.
func (w *world) step(n *node, run func() Ready) {
	if !n.up {
		return
	}
	if n.frozen {
		n.held = append(n.held, func() { w.step(n, run) })
		return
	}
	before := n.machine.Checkpoint()
	out := run()
	if n.badDisk && len(out.Records) > 0 {
		n.machine.Rollback(before)
		return
	}
	for _, record := range out.Records {
		w.store(n, record)
	}
	w.noteView(n)
	w.checkLease(n)
	for _, envelope := range out.Messages {
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
		n.previous = n.disk.View
		n.disk.View, n.disk.Promised, n.disk.Accepted = &proposal, Ballot{}, nil
	case SaveSnapshot:
		snapshot := record.Snapshot
		n.disk.Snapshot, n.disk.Entries = &snapshot, nil
	case SaveEntry:
		if !w.planted.entriesNotStored {
			entries := slices.DeleteFunc(slices.Clone(n.disk.Entries), func(e Entry) bool { return e.Seq >= record.Entry.Seq })
			n.disk.Entries = append(entries, record.Entry)
		}
	}
}

func (w *world) post(from *node, envelope Envelope) {
	to := w.node(envelope.To.Address)
	if to == nil || w.cuts[[2]string{from.address, to.address}] {
		return
	}
	envelope = w.tamper(from, to, envelope)
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
		w.step(to, func() Ready { return to.machine.Step(w.now, envelope) })
	})
}

// tamper does to a message what a planted fault says.
func (w *world) tamper(from, to *node, envelope Envelope) Envelope {
	switch body := envelope.Body.(type) {
	case Promise:
		if w.planted.outsiderHolds && body.Epoch > 1 {
			body.Holds = !body.Holds
			envelope.Body = body
		}
		if w.planted.promiseTwice {
			w.forge(to, envelope)
		}
	case AcceptReply:
		if w.planted.acceptTwice {
			w.forge(to, envelope)
		}
	case Append:
		chain := from.machine.View().Chain
		if w.planted.committedEarly && len(chain) > 0 && chain[0] == from.machine.Self() {
			early := Committed{Epoch: body.Entry.Epoch, Seq: body.Entry.Seq}
			w.after(time.Millisecond, func() {
				w.step(from, func() Ready { return from.machine.Step(w.now, Envelope{To: from.machine.Self(), Body: early}) })
			})
		}
		if w.planted.anotherOrder && w.rand.IntN(5) == 0 {
			body.Entry.Order.Body = append(slices.Clone(body.Entry.Order.Body), ' ')
			next, err := from.machine.log.withoutPending().state.Apply(body.Entry.Order)
			if err == nil {
				body.Entry.History = next.History()
				envelope.Body = body
			}
		}
	case SnapshotChunk:
		if w.garblePieces && w.rand.IntN(4) == 0 {
			body.Bytes = slices.Clone(body.Bytes)
			body.Bytes[w.rand.IntN(len(body.Bytes))] ^= 1
			envelope.Body = body
		}
	}
	return envelope
}

// forge delivers a voter's answer as another voter's too.
func (w *world) forge(to *node, envelope Envelope) {
	if to.machine == nil {
		return
	}
	for _, voter := range to.machine.voters() {
		if voter.Address != envelope.From.Address && voter.Address != to.address {
			forged := envelope
			forged.From = voter
			w.after(time.Millisecond, func() { w.step(to, func() Ready { return to.machine.Step(w.now, forged) }) })
			return
		}
	}
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
	_, state := n.machine.Committed()
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
	if reply.Unconfirmed && w.planted.refusalUnconfirmed {
		w.refused(order, reply)
		return
	}
	if reply.Unconfirmed {
		w.confirm(n, n.life, w.now, w.now+700*time.Millisecond, reply.Epoch, func() { w.refused(order, reply) })
		return
	}
	if reply.Err == nil {
		w.acknowledge(order, reply.Revision)
	}
}

// answered is how often an order was acknowledged.
func (w *world) answered(order operator.Order) int { return w.acks[order.Digest()] }

func (w *world) confirm(n *node, life int, since, deadline time.Duration, epoch uint64, then func()) {
	if !n.up || n.life != life || w.now > deadline {
		return
	}
	if n.machine.View().Epoch != epoch && !w.planted.refusalOfBefore {
		return
	}
	if n.machine.ViewConfirmed() > since {
		then()
		return
	}
	w.after(worldTick/5, func() { w.confirm(n, life, since, deadline, epoch, then) })
}

func (w *world) refused(order operator.Order, reply Reply) {
	if one := w.orders[order.Digest()]; one != nil && IsRejection(reply.Err) {
		w.calls = append(w.calls, operation{call: one.call, end: configEnd{known: true, refused: true}, began: w.sentAt[reply.ID], ended: w.now})
	}
	if revision, taken := w.acked[order.Digest()]; taken {
		w.fail("the order of revision %d was acknowledged and is refused", revision)
	}
}

func (w *world) acknowledge(order operator.Order, revision int64) {
	digest := order.Digest()
	w.acks[digest]++
	if was, again := w.acked[digest]; again {
		if was != revision {
			w.fail("one order was acknowledged as revision %d and as %d", was, revision)
		}
		return
	}
	if other, taken := w.ackBases[order.Base]; taken && other != digest {
		w.fail("two orders on %d were acknowledged", order.Base)
	}
	if one := w.orders[digest]; one != nil {
		one.end, one.ended = configEnd{known: true}, w.now
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
	w.pending[id], w.sentAt[id] = order, w.now
	w.step(head, func() Ready { return head.machine.Submit(w.now, id, order) })
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
	_, state := tail.machine.Committed()
	if state.Document.Revision < newest {
		w.fail("%s reads %d, %d was acknowledged before", tail.address, state.Document.Revision, newest)
	}
	w.calls = append(w.calls, operation{call: configCall{read: true}, end: configEnd{known: true, revision: state.Document.Revision},
		began: since, ended: w.now})
	done(state.Document.Revision)
}

// ---- Troubles ----

func (w *world) crash(n *node) {
	n.up, n.frozen, n.held = false, false, nil
}

// leave has a machine end for good in order, as the control process does on SIGTERM: it stays until it is released, or
// until its time is over.
func (w *world) leave(n *node, within time.Duration, then func()) {
	if !n.up || n.frozen {
		w.crash(n)
		then()
		return
	}
	n.leaving = true
	w.step(n, func() Ready { return n.machine.Leave(w.now) })
	w.awaitRelease(n, n.life, w.now+within, then)
}

func (w *world) awaitRelease(n *node, life int, deadline time.Duration, then func()) {
	if n.up && n.life == life && !w.planted.leavesAtOnce && w.now < deadline && (n.frozen || !n.machine.Released()) {
		w.after(worldTick, func() { w.awaitRelease(n, life, deadline, then) })
		return
	}
	then()
	if n.life == life {
		w.crash(n)
	}
}

// lost are the machines that count as lost now: those that do not serve, and those that have done so for less than the time
// to catch up, newcomers among them.
func (w *world) lost() int {
	lost := 0
	for _, n := range w.nodes {
		if w.isLost(n) {
			lost++
		}
	}
	return lost
}

func (w *world) isLost(n *node) bool {
	return !n.outside && (!n.up || n.frozen || n.badDisk || n.cutOff || w.now-n.upSince < w.catchUp)
}

// checkNextLoss checks that the fleet goes on after whatever loss may come next: a majority of the voters and a whole copy
// are left, whichever machines go with their disks.
func (w *world) checkNextLoss() {
	if !w.checkNext || w.lastChecked == w.now {
		return
	}
	passed := w.now - w.lastChecked
	w.lastChecked = w.now
	more := w.tolerated - w.lost()
	if more < 0 {
		w.overlapAt = w.now
	}
	if more < 0 || len(w.cuts) > 0 || w.now < w.slowUntil+w.catchUp || w.overlapAt > 0 && w.now-w.overlapAt < recoverWithin {
		return
	}
	if !w.survivesNextLoss(more) {
		if w.nextLossBad += passed; w.nextLossBad > passed {
			return // it was noted
		}
		w.fail("the loss of %d more leaves no majority or no copy: view %v", more, w.view())
	}
}

func (w *world) survivesNextLoss(more int) bool {
	view := w.view()
	var whole []*node
	for _, n := range w.nodes {
		if !w.isLost(n) && !n.outside {
			whole = append(whole, n)
		}
	}
	return w.survivesAny(view, whole, more)
}

// survivesAny tells whether a view goes on without any so many of the machines that are whole.
func (w *world) survivesAny(view View, whole []*node, more int) bool {
	if more == 0 || len(whole) == 0 {
		voters, copies := 0, 0
		for _, n := range whole {
			if slices.Contains(view.Voters, n.machine.Self()) {
				voters++
			}
			if slices.Contains(view.Chain, n.machine.Self()) {
				copies++
			}
		}
		return voters >= majority(len(view.Voters)) && copies > 0
	}
	for i := range whole {
		if !w.survivesAny(view, slices.Delete(slices.Clone(whole), i, i+1), more-1) {
			return false
		}
	}
	return true
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
	order := operator.Order{Method: http.MethodPatch, Base: base, Body: []byte(body)}
	w.noteOrder(order, revision)
	return order
}

// problems are the first things that went wrong.
func (w *world) problems() string { return strings.Join(w.broken[:min(len(w.broken), 40)], "\n") }
