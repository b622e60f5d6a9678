package replica

import (
	"errors"
	"fmt"

	"linenwheel.dev/linenwheel/internal/node/consensus/member"
	"linenwheel.dev/linenwheel/internal/node/consensus/protocol"
	"linenwheel.dev/linenwheel/internal/node/statemachine"
)

// changeMembership handles a request to add or remove a member. It is answered once the change is proposed.
func (r *Replica) changeMembership(request *protocol.Request, respond func(protocol.Answer)) {
	if len(request.Members) != 1 {
		respond(protocol.Answer{Fault: protocol.Rejected, Text: "want one member"})
		return
	}
	change := r.addLearner
	if request.Kind == protocol.Remove {
		change = r.remove
	}
	if err := change(request.Members[0]); err != nil {
		respond(r.failure(err))
		return
	}
	respond(protocol.Answer{State: r.status()})
}

// addLearner proposes to add a member. It is idempotent.
func (r *Replica) addLearner(learner statemachine.Member) error {
	members := r.member.State().Members()
	present, known := members.Get(learner.ID)
	switch {
	case !r.member.Leads():
		return member.ErrNotLeader
	case known && present.Role != statemachine.Removed:
		return nil
	case known:
		return fmt.Errorf("number %x was taken out: empty the directory of %q", learner.ID, learner.Name)
	}
	named, found := members.ByName(learner.Name)
	switch {
	case learner.Replaces == 0 && found:
		return fmt.Errorf("there is a %q: replace it", learner.Name)
	case learner.Replaces != 0 && (!found || named.ID != learner.Replaces):
		return fmt.Errorf("number %x is not that of %q any more", learner.Replaces, learner.Name)
	}
	return r.member.AddLearner(learner)
}

// remove proposes to remove a member that is not the last voter. It is idempotent. A leader that is to be removed
// first transfers its leadership and returns ErrBusy, so that the client retries: otherwise there would be no
// leader until the election timeout of the other members.
func (r *Replica) remove(leaving statemachine.Member) error {
	members := r.member.State().Members()
	present, known := members.Get(leaving.ID)
	voters := 0
	for _, m := range members.All() {
		if m.Role == statemachine.Voter {
			voters++
		}
	}
	switch {
	case !r.member.Leads():
		return member.ErrNotLeader
	case !known || present.Role == statemachine.Removed:
		return nil
	case present.Role == statemachine.Voter && voters == 1:
		return errors.New("it is the last that votes")
	case leaving.ID == r.ID() && r.member.TransferLeadership():
		return member.ErrBusy
	}
	return r.member.Remove(leaving.ID)
}

// bootstrap makes this replica one of the first members. The replica must be empty. bootstrap is idempotent.
func (r *Replica) bootstrap(request *protocol.Request) error {
	included := false
	for _, m := range request.Members {
		included = included || m.ID == r.store.ID && m.Name == r.settings.Name
	}
	term, _, applied := r.member.Position()
	switch {
	case applied > 0:
		for _, m := range request.Members {
			if present, ok := r.member.State().Members().Get(m.ID); !ok || present.Name != m.Name {
				return errors.New("it has been founded before, with other members")
			}
		}
		return nil
	case !included:
		return errors.New("it is not among the members that it is founded with")
	case term > 0 || len(r.peers) > 0:
		return nil // the others have been bootstrapped already and have a leader, which sends this replica the state
	}
	image, err := member.Bootstrap(request.Members, request.Now)
	if err != nil {
		return err
	}
	if err := r.store.Bootstrap(image); err != nil {
		return err
	}
	if err := r.openMember(); err != nil {
		return err
	}
	r.log.Info("replica bootstrapped", "members", len(request.Members))
	return nil
}
