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
	transferTimeout = 500 * time.Millisecond // for another member to become leader when this one ends
	redirectTime    = 200 * time.Millisecond // for clients to be told the new leader then
)

// Run takes part until ctx ends, then transfers leadership and ends. An error says why it had to end before.
func (r *Replica) Run(ctx context.Context) error {
	r.log.Info("the keeper has started", "address", r.Addr(), "id", fmt.Sprintf("%x", r.store.ID), "starts", r.store.Starts,
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

// run owns the state machine.
func (r *Replica) run(ctx context.Context, ticks <-chan time.Time, diskFailed <-chan error) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-diskFailed:
			r.log.Error("the disk fails: this keeper votes no more", "error", err)
			return fmt.Errorf("keeping: %w", err)
		case err := <-r.rejections:
			r.log.Error("the others turn this keeper away: it votes no more", "error", err)
			return err
		case <-ticks:
			r.tick()
		case do := <-r.inbox:
			do()
		}
		r.drainInbox()
		if err := r.flush(); err != nil {
			r.log.Error("the agreed log cannot be carried out: this keeper votes no more", "error", err)
			return err
		}
	}
}

// drainInbox runs what is in the inbox, at most maxBatch functions, so that they share one flush.
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

// submit has the owner of the state machine run a function, and reports false once the replica has ended. The owner itself must
// not call it: it would wait for itself where the inbox is full.
func (r *Replica) submit(do func()) bool {
	select {
	case r.inbox <- do:
		return true
	case <-r.ended:
		return false
	}
}

// transferLeadership transfers leadership, and waits for another member to have it and for clients to be redirected to it.
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
			_ = r.flush() // the replica ends in any case
		case <-redirected:
			return
		}
	}
}

// shutdown ends all connections, senders and workers.
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
		case <-r.inbox: // whoever waits in submit goes on
		case <-done:
			return
		}
	}
}

// tick advances the member's clock.
func (r *Replica) tick() {
	r.ticks++
	r.member.Tick()
	if r.member.Leads() {
		r.member.Promote()
		r.recordStarts()
	}
	r.expireRequests()
}

// recordStarts proposes what the leader knows of the members and the log does not: how often they have started, so that every
// member recognizes an older copy of a directory, and which version they read, so that none is written that one cannot read.
func (r *Replica) recordStarts() {
	own := r.peer(r.store.ID)
	own.starts, own.version = r.store.Starts, statemachine.Version
	for id, p := range r.peers {
		m, ok := r.member.State().Members().Get(id)
		if ok && (m.Starts < p.starts || p.version > 0 && m.ReadsVersion != p.version) {
			_ = r.member.Propose(r.clock.Now(), statemachine.Command{Component: statemachine.ComponentMembers,
				Body: encode(statemachine.Started{ID: id, Starts: p.starts, ReadsVersion: p.version})}) // the next tick tries again
		}
	}
}

// flush does what the state machine wants done.
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

// observeMembership logs changes of the leader and of this member's vote, ends the senders to removed members, and redirects the
// clients of a replica that does not lead.
func (r *Replica) observeMembership() {
	if leader := r.member.Leader(); leader != r.leader {
		r.leader = leader
		term, _, _ := r.member.Position()
		if leader == 0 {
			r.log.Warn("nobody leads", "term", term)
		} else {
			r.log.Info("a keeper leads", "leader", r.nameOf(leader), "term", term)
		}
	}
	for id, s := range r.senders { // at the address of one that was replaced another answers
		if m, ok := r.member.State().Members().Get(id); ok && m.Role == statemachine.Removed {
			s.Close()
			delete(r.senders, id)
		}
	}
	if voter := r.member.Voter(); voter != r.voter {
		r.voter = voter
		r.log.Info("the keeper's vote has changed", "votes", voter)
	}
	switch {
	case r.member.Leads():
	case r.member.Leader() != 0:
		r.redirectAll("another keeper leads since it was asked")
	default:
		r.redirectAll("this keeper does not lead any more")
	}
}

// nameOf returns a member's name, "" if it is not known.
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
