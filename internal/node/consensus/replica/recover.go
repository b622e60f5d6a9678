package replica

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"

	pb "go.etcd.io/raft/v3/raftpb"

	"linenwheel.dev/linenwheel/internal/node/consensus/backup"
	"linenwheel.dev/linenwheel/internal/node/consensus/member"
	"linenwheel.dev/linenwheel/internal/node/consensus/storage"
	"linenwheel.dev/linenwheel/internal/node/statemachine"
)

// Leftover is the remaining state of a fleet that has permanently lost a majority, read from the directory of one
// replica or from a backup.
type Leftover struct {
	Fleet   string
	Name    string
	Agreed  uint64                // index up to which this replica knew that entries were committed
	Last    uint64                // index of its last entry; entries after Agreed may or may not have been committed
	At      float64               // cluster time of the last entry, ms
	Members []statemachine.Member // as of the last entry
	Calls   statemachine.Usage
	Policy  uint64 // number of the active policy
	state   *statemachine.Machine
}

// InspectDisk reads the directory of a replica that is not running. It changes nothing there except the number of
// starts.
func InspectDisk(settings Settings, fleet string) (l Leftover, err error) {
	store, err := storage.Open(settings.Directory, fleet, settings.Name, true, nil)
	if err != nil {
		return l, err
	}
	defer func() { err = errors.Join(err, store.Close()) }()
	saved := store.Saved()
	if saved.Image == nil {
		return l, fmt.Errorf("%s contains no state", settings.Directory)
	}
	l = Leftover{Fleet: fleet, Name: settings.Name, Last: max(saved.Image.GetMetadata().GetIndex(), saved.LastIndex())}
	hard := saved.Hard
	if hard == nil {
		hard = &pb.HardState{}
	}
	l.Agreed = max(hard.GetCommit(), saved.Image.GetMetadata().GetIndex())
	// Entries after Agreed may have been committed and acknowledged to a client, so all of them are applied.
	saved.Hard = &pb.HardState{Term: new(max(1, hard.GetTerm())), Vote: hard.Vote, Commit: new(l.Last)}
	if l.state, err = replay(store.ID, saved, l.Last); err != nil {
		return l, err
	}
	return l, l.describe()
}

// replay returns the state after applying the entries up to last, which are marked as committed in saved.
func replay(id uint64, saved member.Saved, last uint64) (*statemachine.Machine, error) {
	m, err := member.New(member.Settings{ID: id, Election: 10, Heartbeat: 1, ImageEvery: 1 << 40, Trail: 0, Uncommitted: 1, Logger: member.Quiet{}}, saved)
	if err != nil {
		return nil, err
	}
	for {
		work, err := m.Ready(0)
		if err != nil {
			return nil, err
		}
		for _, w := range work.Write {
			if err := m.Persisted(w); err != nil {
				return nil, err
			}
		}
		_, _, applied := m.Position()
		if applied >= last {
			return m.State(), nil
		}
		if len(work.Applied)+len(work.Write)+len(work.Messages) == 0 {
			return nil, fmt.Errorf("entries end at %d instead of %d", applied, last)
		}
	}
}

// describe fills in the fields that operators base their decision on.
func (l *Leftover) describe() error {
	l.At, l.Members = l.state.Now(), l.state.Members().All()
	var policy struct {
		Number uint64 `json:"number"`
	}
	for component, to := range map[string]any{statemachine.ComponentCalls: &l.Calls, statemachine.ComponentPolicy: &policy} {
		if reply := l.state.Query(statemachine.Request{Component: component, Body: []byte("{}")}); json.Unmarshal(reply.Body, to) != nil {
			return fmt.Errorf("cannot read component %s", component)
		}
	}
	l.Policy = policy.Number
	return nil
}

// InspectBackup reads a backup that linenwheel peers copy has written.
func InspectBackup(file string) (l Leftover, err error) {
	fleet, index, image, err := backup.Read(file)
	if err != nil {
		return l, err
	}
	l = Leftover{Fleet: fleet, Name: "the copy", Agreed: index, Last: index, state: statemachine.New()}
	if err := l.state.Restore(image); err != nil {
		return l, err
	}
	return l, l.describe()
}

// Recover bootstraps a fleet with a different name from a leftover, with this replica as its only member. It
// returns the path to which the previous directory was moved; "" = there was none. The different name separates
// the replicas of the lost fleet: if they came back and formed a majority, they could commit entries without this
// replica.
func Recover(settings Settings, l Leftover, log *slog.Logger) (kept string, err error) {
	if settings.Fleet == l.Fleet {
		return "", errors.New("the recovered fleet needs a different name from the lost one: otherwise replicas that come back could form a majority without it")
	}
	kept = fmt.Sprintf("%s.of-%s", settings.Directory, l.Fleet)
	if _, err := os.Stat(kept); err == nil {
		return "", fmt.Errorf("%s already exists", kept)
	}
	if err := os.Rename(settings.Directory, kept); errors.Is(err, fs.ErrNotExist) {
		kept = "" // there was no directory
	} else if err != nil {
		return "", err
	}
	store, err := storage.Open(settings.Directory, settings.Fleet, settings.Name, true, nil)
	if err != nil {
		return kept, err
	}
	defer func() { err = errors.Join(err, store.Close()) }()
	l.state.MakeSoleMember(statemachine.Member{ID: store.ID, Name: settings.Name, Address: settings.Listen, Starts: store.Starts})
	data, err := l.state.Freeze()()
	if err != nil {
		return kept, err
	}
	if err := store.Bootstrap(&pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{ConfState: &pb.ConfState{Voters: []uint64{store.ID}},
		Index: new(l.Last), Term: new(uint64(1))}}); err != nil {
		return kept, err
	}
	log.Warn("fleet recovered from the state of one replica", "fleet", settings.Fleet, "before", l.Fleet, "agreed", l.Agreed, "last", l.Last)
	return kept, nil
}
