// Package replica runs one member of the agreed log: its state machine, disk, links and clock. What it decides is in package
// group; here are a goroutine that owns the state machine, one that writes to the disk, one a connection, one a sender.
//
// Bounds: MaxClients connections of clients with mostWaiting requests and one wait for a hint each; a sender holds slowMost bytes
// for a slow member; what waits to be agreed is bounded by uncommitted.
package replica

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/node/consensus/member"
	"linenwheel.dev/linenwheel/internal/node/consensus/protocol"
	"linenwheel.dev/linenwheel/internal/node/consensus/storage"
	"linenwheel.dev/linenwheel/internal/node/consensus/transport"
	"linenwheel.dev/linenwheel/internal/node/statemachine"
	"linenwheel.dev/linenwheel/internal/node/wal"
)

// MaxClients is how many connections of clients a keeper has at once.
const MaxClients = 1024

const (
	mostWaiting = statemachine.Window
	slowMost    = 8 << 20
	uncommitted = 16 << 20
	inbox       = 1024
	batch       = 512 // events before what they lead to is carried out
	waitTicks   = 200 // after which nobody waits for an answer any more
	handLimit   = 500 * time.Millisecond
	partLimit   = 200 * time.Millisecond
	dialMost    = 2 * time.Second
)

// Settings describe a keeper.
type Settings struct {
	Fleet      string
	Name       string
	Listen     string
	Directory  string
	Synced     bool
	Addresses  map[string]string // of keepers, by name; of others the agreed ones are used
	Heartbeat  float64           // ms
	Election   float64           // ms
	ImageEvery int               // bytes
	Trail      int               // entries
	Release    string
	Wrap       func(wal.Folder) wal.Folder // of the disk, for rigs; nil = none
}

// Replica is one running member.
type Replica struct {
	set    Settings
	log    *slog.Logger
	clock  clock.Clock
	store  *storage.Store
	listen net.Listener
	events chan func()
	disk   chan job
	ended  chan struct{}
	life   uint64 // of this process

	last     atomic.Uint64 // entry that the disk holds
	known    atomic.Uint64 // entry up to which the agreed state is known here
	dials    atomic.Uint64
	clients  atomic.Int64
	writes   atomic.Uint64
	images   uint64
	refusals chan error // final ones

	// Of the goroutine that owns the state machine.
	group   *member.Member
	senders map[uint64]*transport.Sender
	names   map[uint64]string // of keepers that have connected, by number
	starts  map[uint64]uint64
	speaks  map[uint64]int    // the version of the ledger that members know
	lives   map[uint64]uint64 // by number, of the process that was heard last
	dialled map[uint64]uint64 // of keepers since their last start, the latest that was heard
	waiting map[key][]*waiter
	reads   map[uint64]*waiter
	waits   map[*transport.Conn]*waiter // for hints: one a connection
	number  uint64
	tick    uint64
	leader  uint64
	voter   bool
	todo    []job // for the disk, which is behind

	mu    sync.Mutex
	conns map[*transport.Conn]uint64 // that were accepted, with the keeper's number
}

type key struct{ session, number uint64 }

// waiter is a client's request that is under way.
type waiter struct {
	ask    *protocol.Request
	answer func(protocol.Answer)
	since  uint64 // tick
}

// job is work for the disk.
type job struct {
	write member.Write
	image *member.Image
}

// New opens the directory and listens.
func New(set Settings, log *slog.Logger) (*Replica, error) {
	k := &Replica{set: set, log: log, clock: clock.NewSystem(), events: make(chan func(), inbox), disk: make(chan job, inbox),
		ended: make(chan struct{}), refusals: make(chan error, 1), senders: map[uint64]*transport.Sender{}, names: map[uint64]string{},
		starts: map[uint64]uint64{}, speaks: map[uint64]int{}, dialled: map[uint64]uint64{}, lives: map[uint64]uint64{}, life: rand.Uint64()>>1 | 1,
		waiting: map[key][]*waiter{}, reads: map[uint64]*waiter{}, waits: map[*transport.Conn]*waiter{}, conns: map[*transport.Conn]uint64{}}
	var err error
	if k.store, err = storage.Open(set.Directory, set.Fleet, set.Name, set.Synced, set.Wrap); err != nil {
		return nil, fmt.Errorf("peers.directory %s: %w", set.Directory, err)
	}
	if err = k.begin(); err == nil {
		k.listen, err = net.Listen("tcp", set.Listen)
	}
	if err != nil {
		_ = k.store.Close() // the first error counts
		return nil, err
	}
	return k, nil
}

// Addr is where it listens.
func (k *Replica) Addr() string { return k.listen.Addr().String() }

// ID is its number.
func (k *Replica) ID() uint64 { return k.store.ID }

// begin makes the state machine from what the disk holds.
func (k *Replica) begin() (err error) {
	saved := k.store.Saved()
	k.last.Store(lastOf(saved))
	k.group, err = member.New(member.Settings{ID: k.store.ID, Election: max(3, int(k.set.Election/k.set.Heartbeat)), Heartbeat: 1,
		ImageEvery: k.set.ImageEvery, Trail: k.set.Trail, Uncommitted: uncommitted, Seed: k.store.Starts,
		Logger: member.Quiet{Warn: func(text string) { k.log.Warn("the consensus library warns", "text", text) }}}, saved)
	return err
}

func lastOf(s member.Saved) uint64 {
	if n := len(s.Entries); n > 0 {
		return s.Entries[n-1].GetIndex()
	}
	return s.Image.GetMetadata().GetIndex()
}

// Run keeps copies until ctx ends, then hands the lead on and ends; an error is why it had to end before.
func (k *Replica) Run(ctx context.Context) error {
	k.log.Info("the keeper has started", "address", k.Addr(), "id", fmt.Sprintf("%x", k.store.ID), "starts", k.store.Starts,
		"applied", k.group.State().Index())
	var work sync.WaitGroup
	failed := make(chan error, 1)
	work.Go(k.accept)
	work.Go(func() {
		if err := k.write(); err != nil {
			failed <- err
		}
	})
	ticker := time.NewTicker(time.Duration(k.set.Heartbeat * 1e6))
	defer ticker.Stop()
	why := k.loop(ctx, ticker.C, failed)
	k.part()
	close(k.ended)
	_ = k.listen.Close()
	k.mu.Lock()
	for c := range k.conns {
		_ = c.Close()
	}
	k.mu.Unlock()
	for _, s := range k.senders {
		s.Close()
	}
	close(k.disk)
	for stop := false; !stop; { // whoever waits to tell something is let go
		done := make(chan struct{})
		go func() { work.Wait(); close(done) }()
		for !stop {
			select {
			case <-k.events:
			case <-done:
				stop = true
			}
		}
	}
	if err := k.store.Close(); why == nil && err != nil {
		why = err
	}
	return why
}

// loop owns the state machine.
func (k *Replica) loop(ctx context.Context, ticks <-chan time.Time, failed <-chan error) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-failed:
			k.log.Error("the disk fails: this keeper votes no more", "error", err)
			return fmt.Errorf("keeping: %w", err)
		case err := <-k.refusals:
			k.log.Error("the others turn this keeper away: it votes no more", "error", err)
			return err
		case <-ticks:
			k.beat()
		case do := <-k.events:
			do()
		}
		for range batch {
			select {
			case do := <-k.events:
				do()
				continue
			default:
			}
			break
		}
		if err := k.flush(); err != nil {
			k.log.Error("the agreed log cannot be carried out: this keeper votes no more", "error", err)
			return err
		}
	}
}

// part hands the lead on, and waits for another to have it.
func (k *Replica) part() {
	if !k.group.Leads() || !k.group.Hand() {
		return
	}
	late := time.After(handLimit)
	for k.group.Leads() || k.group.Leader() == 0 {
		if k.flush() != nil {
			return
		}
		select {
		case do := <-k.events:
			do()
		case <-late:
			return
		}
	}
	settle := time.After(partLimit) // in which those who asked here are told who leads
	for {
		select {
		case do := <-k.events:
			do()
			_ = k.flush()
		case <-settle:
			return
		}
	}
}

// tell has the owner of the state machine do something; false once the keeper has ended.
func (k *Replica) tell(do func()) bool {
	select {
	case k.events <- do:
		return true
	case <-k.ended:
		return false
	}
}

// beat is a tick of the clock.
func (k *Replica) beat() {
	k.tick++
	k.group.Tick()
	if k.group.Leads() {
		k.group.Promote()
		k.noteStarts()
	}
	for id, w := range k.reads {
		if k.tick-w.since > waitTicks {
			delete(k.reads, id)
		}
	}
	for c, w := range k.waits {
		if k.tick-w.since > waitTicks {
			delete(k.waits, c)
			w.answer(protocol.Answer{Fault: protocol.Later, Text: "there is nothing new"})
		}
	}
	for id, list := range k.waiting {
		list = slices.DeleteFunc(list, func(w *waiter) bool { return k.tick-w.since > waitTicks })
		if k.waiting[id] = list; len(list) == 0 {
			delete(k.waiting, id)
		}
	}
}

// noteStarts has it agreed how often members have started, so that a copy of an older directory is known by all, and what they know,
// so that nothing is written that one of them cannot read.
func (k *Replica) noteStarts() {
	k.starts[k.store.ID], k.speaks[k.store.ID] = k.store.Starts, statemachine.Version
	for id, n := range k.starts {
		m, ok := k.group.State().Members().Get(id)
		if speaks := k.speaks[id]; ok && (m.Starts < n || speaks > 0 && m.Speaks != speaks) {
			_ = k.group.Propose(k.clock.Now(), statemachine.Command{Part: statemachine.ComponentMembers,
				Body: encode(statemachine.Started{ID: id, Starts: n, Speaks: speaks})}) // it is tried again
		}
	}
}

// passOn sends those who wait here to whoever leads now. What they asked may have been agreed, or be lost with this keeper's lead: asked
// again under its number it is applied once.
func (k *Replica) passOn(text string) {
	a := protocol.Answer{Fault: protocol.Later, Text: text, Leader: k.nameOf(k.leader)}
	for id, list := range k.waiting {
		delete(k.waiting, id)
		for _, w := range list {
			w.answer(a)
		}
	}
	for id, w := range k.reads {
		delete(k.reads, id)
		w.answer(a)
	}
	for c, w := range k.waits {
		delete(k.waits, c)
		w.answer(a)
	}
}

// flush carries out what the state machine wants.
func (k *Replica) flush() error {
	work, err := k.group.TakeWork(k.clock.Now())
	if err != nil {
		return err
	}
	_, _, applied := k.group.Position()
	k.known.Store(applied)
	k.send(work.Messages)
	for _, a := range work.Applied {
		k.applied(a)
	}
	if len(work.Applied) > 0 {
		k.hint()
	}
	for _, r := range work.Reads {
		if w := k.reads[r.Number]; w != nil {
			delete(k.reads, r.Number)
			reply := k.group.Query(statemachine.Request{Part: w.ask.Part, Body: w.ask.Body})
			w.answer(protocol.Answer{Reply: &reply})
		}
	}
	for _, w := range work.Write {
		k.todo = append(k.todo, job{write: w})
	}
	if work.Image != nil {
		k.images++
		k.todo = append(k.todo, job{image: work.Image})
	}
	for full := false; len(k.todo) > 0 && !full; { // the rest when the disk has told of some: neither waits for the other
		select {
		case k.disk <- k.todo[0]:
			k.todo = k.todo[1:]
		default:
			full = true
		}
	}
	k.watch()
	return nil
}

// watch logs who leads, and lets those go who waited for this one while it led.
func (k *Replica) watch() {
	if now := k.group.Leader(); now != k.leader {
		k.leader = now
		term, _, _ := k.group.Position()
		if now == 0 {
			k.log.Warn("nobody leads", "term", term)
		} else {
			k.log.Info("a keeper leads", "leader", k.nameOf(now), "term", term)
		}
	}
	if now := k.group.Leader(); now != 0 && !k.group.Leads() {
		k.passOn("another keeper leads since it was asked")
	}
	for id, s := range k.senders { // to one that was replaced another answers under its address
		if m, ok := k.group.State().Members().Get(id); ok && m.Role == statemachine.Removed {
			s.Close()
			delete(k.senders, id)
		}
	}
	if voter := k.group.Voter(); voter != k.voter {
		k.voter = voter
		k.log.Info("the keeper's vote has changed", "votes", voter)
	}
	if !k.group.Leads() {
		k.passOn("this keeper does not lead any more")
	}
}

func (k *Replica) applied(a member.Applied) {
	id := key{a.Command.Session, a.Command.Number}
	for _, w := range k.waiting[id] {
		w.answer(protocol.Answer{Reply: &a.Reply})
	}
	delete(k.waiting, id)
}

// nameOf is a member's name, as far as it is known.
func (k *Replica) nameOf(id uint64) string {
	if m, ok := k.group.State().Members().Get(id); ok {
		return m.Name
	}
	return k.names[id]
}

// addressOf is where a member is reached: as this keeper's own file says, else as was agreed.
func (k *Replica) addressOf(id uint64) string {
	if a := k.set.Addresses[k.nameOf(id)]; a != "" {
		return a
	}
	m, _ := k.group.State().Members().Get(id)
	return m.Address
}

// send gives messages to the senders.
func (k *Replica) send(list []*pb.Message) {
	for _, m := range list {
		id := m.GetTo()
		s := k.sender(id)
		if s == nil {
			k.group.Unreachable(id)
			continue
		}
		text, err := proto.Marshal(m)
		if err != nil {
			k.log.Warn("a message cannot be written", "error", err)
			continue
		}
		var sent func(bool)
		if m.GetType() == pb.MsgSnap {
			sent = func(ok bool) { go k.tell(func() { k.group.ImageSent(id, ok) }) }
		}
		s.Send(transport.KindRaft, text, sent)
	}
}

// sender gives the one to a member, nil if it cannot be reached. A member that is slow to answer is given twice the time with each
// attempt, up to dialMost: else two that are both slow would never meet.
func (k *Replica) sender(id uint64) *transport.Sender {
	if s := k.senders[id]; s != nil {
		return s
	}
	address, name := k.addressOf(id), k.nameOf(id)
	if address == "" {
		return nil
	}
	within := time.Duration(max(k.set.Election, 100) * 1e6)
	limits := transport.Limits{Bytes: slowMost, Write: max(2*time.Second, within), FirstPause: 50 * time.Millisecond,
		LastPause: time.Second}
	patience := within
	s := transport.NewSender(limits,
		func() (*transport.Conn, error) {
			c, err := k.dial(address, name, id, patience)
			if patience = min(2*patience, max(within, dialMost)); err == nil {
				patience = within
			}
			return c, err
		},
		func() {
			select { // how it does is told by its silence, too
			case k.events <- func() { k.group.Unreachable(id) }:
			default:
			}
		},
		func(err error) {
			if err != nil {
				k.log.Warn("a keeper cannot be reached", "peer", name, "address", address, "error", err)
			} else {
				k.log.Info("a keeper can be reached again", "peer", name, "address", address)
			}
		})
	k.senders[id] = s
	return s
}

func (k *Replica) dial(address, name string, id uint64, within time.Duration) (*transport.Conn, error) {
	c, w, err := transport.Dial(address, transport.Hello{Fleet: k.set.Fleet, Release: k.set.Release, Name: k.set.Name, To: name, Want: id, ID: k.store.ID,
		Starts: k.store.Starts, Life: k.life, Dial: k.dials.Add(1), Last: k.last.Load(), Applied: k.known.Load(), StateVersion: statemachine.Version}, within)
	switch {
	case errors.Is(err, transport.ErrRefused) && w.Final:
		select {
		case k.refusals <- err:
		default:
		}
	case err == nil && w.ID != id:
		_ = c.Close()
		return nil, fmt.Errorf("%s is another keeper %q than the one that is wanted: number %x, not %x", address, name, w.ID, id)
	}
	return c, err
}

// write does the disk's work, what waits together at once.
func (k *Replica) write() error {
	for first := range k.disk {
		jobs, image := []member.Write{}, first.image
		if image == nil {
			jobs = append(jobs, first.write)
		}
		for image == nil && len(k.disk) > 0 && len(jobs) < batch {
			next, ok := <-k.disk
			if !ok {
				break
			}
			if image = next.image; image == nil {
				jobs = append(jobs, next.write)
			}
		}
		if len(jobs) > 0 {
			if err := k.store.Write(jobs); err != nil {
				return err
			}
			k.writes.Add(1)
			k.last.Store(lastOf(k.store.Saved()))
			k.tell(func() {
				for _, w := range jobs {
					if err := k.group.WriteDone(w); err != nil {
						k.log.Error("what was written cannot be taken", "error", err)
					}
					k.send(w.Answers(k.store.ID))
				}
			})
		}
		if image != nil {
			snapshot, err := image.Make()
			if err == nil {
				err = k.store.Keep(snapshot, k.set.Trail)
			}
			if err != nil {
				return err
			}
			k.tell(func() { k.group.Kept(snapshot) })
		}
	}
	return nil
}
