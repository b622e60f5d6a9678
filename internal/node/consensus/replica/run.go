package replica

import (
	"context"
	"fmt"
	"sync"
	"time"

	"linenwheel.dev/linenwheel/internal/node/consensus/member"
	"linenwheel.dev/linenwheel/internal/node/consensus/protocol"
	"linenwheel.dev/linenwheel/internal/node/statemachine"
)

const (
	transferTimeout = 500 * time.Millisecond // for another member to become leader when this one stops
	redirectTime    = 200 * time.Millisecond // for redirecting clients to the new leader after that
)

// Run runs the replica until ctx ends, then transfers leadership and stops. The error is the reason if it had to
// stop earlier.
func (r *Replica) Run(ctx context.Context) error {
	r.log.Info("replica started", "address", r.Addr(), "id", fmt.Sprintf("%x", r.store.ID), "starts", r.store.Starts,
		"applied", r.member.State().Index())
	var workers sync.WaitGroup
	diskFailed := make(chan error, 1)
	workers.Go(r.accept)
	workers.Go(func() {
		if err := r.runDisk(); err != nil {
			diskFailed <- err
		}
	})
	ticker := time.NewTicker(milliseconds(r.settings.Heartbeat))
	defer ticker.Stop()
	err := r.run(ctx, ticker.C, diskFailed)
	r.transferLeadership()
	r.shutdown(&workers)
	if closeErr := r.store.Close(); err == nil {
		err = closeErr
	}
	return err
}

// run is the goroutine that owns the state machine.
func (r *Replica) run(ctx context.Context, ticks <-chan time.Time, diskFailed <-chan error) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-diskFailed:
			r.log.Error("disk write failed: replica stops and no longer votes", "error", err)
			return fmt.Errorf("writing to the disk: %w", err)
		case err := <-r.rejections:
			r.log.Error("rejected by another replica: replica stops and no longer votes", "error", err)
			return err
		case <-ticks:
			r.tick()
		case do := <-r.inbox:
			do()
		}
		r.drainInbox()
		if err := r.flush(); err != nil {
			r.log.Error("cannot apply the replicated log: replica stops and no longer votes", "error", err)
			return err
		}
	}
}

// drainInbox runs the queued functions of the inbox, at most maxBatch, so that they share one flush.
func (r *Replica) drainInbox() {
	for range maxBatch {
		select {
		case do := <-r.inbox:
			do()
		default:
			return
		}
	}
}

// submit passes a function to the owner of the state machine, and returns false once the replica has stopped. The
// owner itself must not call it: if the inbox were full, it would deadlock.
func (r *Replica) submit(do func()) bool {
	select {
	case r.inbox <- do:
		return true
	case <-r.ended:
		return false
	}
}

// transferLeadership transfers leadership, and waits until another member is the leader and clients have had time
// to be redirected to it.
func (r *Replica) transferLeadership() {
	if !r.member.Leads() || !r.member.TransferLeadership() {
		return
	}
	timeout := time.After(transferTimeout)
	for r.member.Leads() || r.member.Leader() == 0 {
		if r.flush() != nil {
			return
		}
		select {
		case do := <-r.inbox:
			do()
		case <-timeout:
			return
		}
	}
	redirected := time.After(redirectTime)
	for {
		select {
		case do := <-r.inbox:
			do()
			_ = r.flush() // the replica stops in any case
		case <-redirected:
			return
		}
	}
}

// shutdown closes all connections and senders, and waits for the workers.
func (r *Replica) shutdown(workers *sync.WaitGroup) {
	close(r.ended)
	_ = r.listener.Close()
	r.mu.Lock()
	for c := range r.conns {
		_ = c.Close()
	}
	r.mu.Unlock()
	for _, s := range r.senders {
		s.Close()
	}
	close(r.disk)
	done := make(chan struct{})
	go func() { workers.Wait(); close(done) }()
	for {
		select {
		case <-r.inbox: // unblock goroutines that wait in submit
		case <-done:
			return
		}
	}
}

// tick advances the member's clock and expires old requests.
func (r *Replica) tick() {
	r.ticks++
	r.member.Tick()
	if r.member.Leads() {
		r.member.Promote()
		r.recordStarts()
	}
	r.expireRequests()
}

// recordStarts proposes what the leader knows about the members and the log does not contain: how often each has
// started, so that every member recognizes an older copy of a directory, and which version it reads, so that no
// version is written that a member cannot read.
func (r *Replica) recordStarts() {
	own := r.peer(r.store.ID)
	own.starts, own.version = r.store.Starts, statemachine.Version
	for id, p := range r.peers {
		m, ok := r.member.State().Members().Get(id)
		if ok && (m.Starts < p.starts || p.version > 0 && m.ReadsVersion != p.version) {
			_ = r.member.Propose(r.clock.Now(), statemachine.Command{Component: statemachine.ComponentMembers,
				Body: encode(statemachine.Started{ID: id, Starts: p.starts, ReadsVersion: p.version})}) // the next tick retries
		}
	}
}

// flush carries out the outstanding work of the state machine.
func (r *Replica) flush() error {
	work, err := r.member.Ready(r.clock.Now())
	if err != nil {
		return err
	}
	_, _, applied := r.member.Position()
	r.lastApplied.Store(applied)
	r.send(work.Messages)
	for _, a := range work.Applied {
		r.answerProposal(a)
	}
	if len(work.Applied) > 0 {
		r.answerLongPolls()
	}
	for _, read := range work.Reads {
		r.answerRead(read)
	}
	r.queueForDisk(work)
	r.observeMembership()
	return nil
}

// observeMembership logs a change of the leader or of this member's right to vote, closes the senders to removed
// members, and redirects clients if this replica is not the leader.
func (r *Replica) observeMembership() {
	if leader := r.member.Leader(); leader != r.leader {
		r.leader = leader
		term, _, _ := r.member.Position()
		if leader == 0 {
			r.log.Warn("no leader", "term", term)
		} else {
			r.log.Info("leader changed", "leader", r.nameOf(leader), "term", term)
		}
	}
	for id, s := range r.senders { // another replica answers at the address of a replaced one
		if m, ok := r.member.State().Members().Get(id); ok && m.Role == statemachine.Removed {
			s.Close()
			delete(r.senders, id)
		}
	}
	if voter := r.member.Voter(); voter != r.voter {
		r.voter = voter
		r.log.Info("voter status changed", "votes", voter)
	}
	switch {
	case r.member.Leads():
	case r.member.Leader() != 0:
		r.redirectAll("another keeper leads since it was asked")
	default:
		r.redirectAll("this keeper does not lead any more")
	}
}

// nameOf returns the name of a member; "" = not known.
func (r *Replica) nameOf(id uint64) string {
	if m, ok := r.member.State().Members().Get(id); ok {
		return m.Name
	}
	if p := r.peers[id]; p != nil {
		return p.name
	}
	return ""
}

// status returns the state of the replica for operators.
func (r *Replica) status() *protocol.State {
	state := r.member.State()
	s := &protocol.State{Fleet: r.settings.Fleet, Name: r.settings.Name, ID: r.store.ID, Release: r.settings.Release, Starts: r.store.Starts,
		Leader: r.nameOf(r.member.Leader()), Time: state.Now(), Changing: r.member.Changing(), Synced: r.settings.Synced, Sessions: state.Sessions(),
		Images: r.imageCount, Writes: r.writes.Load(), Clients: int(r.clients.Load())}
	s.Term, s.Committed, s.Applied = r.member.Position()
	s.Role = roleOf(r.member, s.Applied)
	for _, m := range state.Members().All() {
		v := protocol.Member{Member: m}
		if sender := r.senders[m.ID]; sender != nil {
			v.Up, v.Bytes = sender.Up()
		}
		v.Match, v.Heard = r.member.FollowerProgress(m.ID)
		s.Members = append(s.Members, v)
	}
	return s
}

func roleOf(m *member.Member, applied uint64) string {
	switch {
	case m.Leads():
		return "leader"
	case m.Voter():
		return "voter"
	case applied > 0:
		return "learner"
	}
	return "blank"
}
