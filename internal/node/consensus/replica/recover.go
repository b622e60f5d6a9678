package replica

import (
	"encoding/json"
	"errors"
	"fmt"
	pb "go.etcd.io/raft/v3/raftpb"
	"io/fs"
	"log/slog"
	"os"

	"linenwheel.dev/linenwheel/internal/node/consensus/backup"
	"linenwheel.dev/linenwheel/internal/node/consensus/member"
	"linenwheel.dev/linenwheel/internal/node/consensus/storage"
	"linenwheel.dev/linenwheel/internal/node/statemachine"
)

// Leftover is what the folder of one keeper holds, where a majority of a fleet's keepers is lost for good.
type Leftover struct {
	Fleet   string
	Name    string
	Agreed  uint64                // entry up to which this keeper knew that a majority had agreed
	Last    uint64                // the last entry that it holds; those after Agreed may have been agreed, or not
	At      float64               // ms of the fleet's time at the last entry
	Members []statemachine.Member // as of then
	Calls   statemachine.Usage
	Policy  uint64 // number of the policy that holds
	state   *statemachine.Machine
}

// InspectDisk reads what a keeper that is down has left. The folder stays as it is, but for one more start.
func InspectDisk(set Settings, fleet string) (r Leftover, err error) {
	s, err := storage.Open(set.Directory, fleet, set.Name, true, nil)
	if err != nil {
		return r, err
	}
	defer func() { err = errors.Join(err, s.Close()) }()
	saved := s.Saved()
	if saved.Image == nil {
		return r, fmt.Errorf("%s holds nothing", set.Directory)
	}
	r = Leftover{Fleet: fleet, Name: set.Name, Last: saved.Image.GetMetadata().GetIndex()}
	if n := len(saved.Entries); n > 0 {
		r.Last = max(r.Last, saved.Entries[n-1].GetIndex())
	}
	hard := saved.Hard
	if hard == nil {
		hard = &pb.HardState{}
	}
	r.Agreed = max(hard.GetCommit(), saved.Image.GetMetadata().GetIndex())
	// What it holds beyond may have been promised to somebody: it counts.
	saved.Hard = &pb.HardState{Term: new(max(1, hard.GetTerm())), Vote: hard.Vote, Commit: new(r.Last)}
	g, err := member.New(member.Settings{ID: s.ID, Election: 10, Heartbeat: 1, ImageEvery: 1 << 40, Trail: 0, Uncommitted: 1, Logger: member.Quiet{}}, saved)
	if err != nil {
		return r, err
	}
	for {
		work, err := g.TakeWork(0)
		if err != nil {
			return r, err
		}
		for _, w := range work.Write {
			if err := g.WriteDone(w); err != nil {
				return r, err
			}
		}
		if _, _, at := g.Position(); at >= r.Last {
			break
		} else if len(work.Applied)+len(work.Write)+len(work.Messages) == 0 {
			return r, fmt.Errorf("its entries end at %d, not at %d", at, r.Last)
		}
	}
	r.state = g.State()
	return r, r.describe()
}

// describe reads from the state what is told of it.
func (r *Leftover) describe() error {
	r.At, r.Members = r.state.Now(), r.state.Members().All()
	var view struct {
		Number uint64 `json:"number"`
	}
	for part, to := range map[string]any{statemachine.ComponentCalls: &r.Calls, statemachine.ComponentPolicy: &view} {
		if reply := r.state.Query(statemachine.Request{Part: part, Body: []byte("{}")}); json.Unmarshal(reply.Body, to) != nil {
			return fmt.Errorf("its part %s cannot be read", part)
		}
	}
	r.Policy = view.Number
	return nil
}

// InspectBackup reads a copy that linenwheel peers copy has made.
func InspectBackup(file string) (r Leftover, err error) {
	fleet, index, image, err := backup.Read(file)
	if err != nil {
		return r, err
	}
	r = Leftover{Fleet: fleet, Name: "the copy", Agreed: index, Last: index, state: statemachine.New()}
	if err := r.state.Restore(image); err != nil {
		return r, err
	}
	return r, r.describe()
}

// Recover founds a fleet of another name with what one keeper had left, that keeper its only member; the folder as it was is kept
// beside. Keepers of the fleet before are no members of this one, and their folders are another fleet's.
func Recover(set Settings, r Leftover, log *slog.Logger) (kept string, err error) {
	if set.Fleet == r.Fleet {
		return "", errors.New("the fleet that goes on needs another name than the one that was lost: else machines that come back could agree without it")
	}
	kept = fmt.Sprintf("%s.of-%s", set.Directory, r.Fleet)
	if _, err := os.Stat(kept); err == nil {
		return "", fmt.Errorf("%s is there already", kept)
	}
	if err := os.Rename(set.Directory, kept); errors.Is(err, fs.ErrNotExist) {
		kept = "" // an empty machine
	} else if err != nil {
		return "", err
	}
	s, err := storage.Open(set.Directory, set.Fleet, set.Name, true, nil)
	if err != nil {
		return kept, err
	}
	defer func() { err = errors.Join(err, s.Close()) }()
	r.state.Alone(statemachine.Member{ID: s.ID, Name: set.Name, Address: set.Listen, Starts: s.Starts})
	data, err := r.state.Freeze()()
	if err != nil {
		return kept, err
	}
	if err := s.Begin(&pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{ConfState: &pb.ConfState{Voters: []uint64{s.ID}},
		Index: new(r.Last), Term: new(uint64(1))}}); err != nil {
		return kept, err
	}
	log.Warn("a fleet goes on with what one keeper had left", "fleet", set.Fleet, "before", r.Fleet, "agreed", r.Agreed, "last", r.Last)
	return kept, nil
}
