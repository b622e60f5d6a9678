package storage

import (
	"errors"
	"fmt"
	"os"
	"slices"

	"linenwheel.dev/linenwheel/internal/fleet/operator"
	"linenwheel.dev/linenwheel/internal/fleet/replica"
)

// errNoConfiguration means that a directory contains no complete file, or only the state before the first order.
var errNoConfiguration = errors.New("no configuration is stored here")

// Configuration is the newest configuration on one disk. The last order may not have been committed. Among the
// disks of a majority of the voters, the one with the highest Seq has every acknowledged order.
type Configuration struct {
	Epoch    uint64 // of the view
	Seq      uint64 // number of orders that led to this configuration
	Revision int64
	Document []byte // JSON
}

// obsoleteProposal is the value of keyObsoleteView: in the obsolete format a view contained the state with which
// its chain begins.
type obsoleteProposal struct {
	View  replica.View
	Seq   uint64
	State operator.Snapshot
}

// obsoleteEntry is the value of an entry in the obsolete format, in which the order was encoded field by field.
type obsoleteEntry struct {
	Epoch uint64
	Seq   uint64
	Order struct {
		Method string
		Base   int64
		Body   []byte
	}
}

// ReadConfiguration reads the newest configuration from a directory that no process is using. It supports the
// current and the obsolete format, and does not modify the directory.
func ReadConfiguration(dir string) (Configuration, error) {
	s := &Store{files: OperatingSystem{}, dir: dir}
	generations, err := s.generations()
	if err != nil {
		return Configuration{}, err
	}
	for _, generation := range slices.Backward(generations) {
		path := s.path(generation)
		content, err := os.ReadFile(path)
		if err != nil {
			return Configuration{}, fmt.Errorf("storage: %w", err)
		}
		_, values := intactPrefix(content)
		if _, complete := values[keyComplete]; !complete {
			continue
		}
		configuration, err := decodeConfiguration(values)
		if err != nil {
			return Configuration{}, fmt.Errorf("storage: %s: %w", path, err)
		}
		return configuration, nil
	}
	return Configuration{}, fmt.Errorf("storage: %s: %w", dir, errNoConfiguration)
}

func decodeConfiguration(values map[string][]byte) (Configuration, error) {
	epoch, seq, state, err := decodeBase(values)
	if err != nil {
		return Configuration{}, err
	}
	for {
		order, present, err := decodeOrder(values, seq+1)
		if err != nil {
			return Configuration{}, err
		}
		if !present {
			break
		}
		next, err := state.Apply(order)
		if err != nil { // the entry follows one that was replaced
			break
		}
		state, seq = next, seq+1
	}
	if seq == 0 {
		return Configuration{}, errNoConfiguration
	}
	return Configuration{Epoch: epoch, Seq: seq, Revision: state.Document.Revision, Document: state.Document.JSON()}, nil
}

// decodeOrder returns the order of the entry with a sequence number, and reports whether that entry exists.
func decodeOrder(values map[string][]byte, seq uint64) (order operator.Order, present bool, err error) {
	key := entryKey(seq)
	if _, present := values[key]; !present {
		return order, false, nil
	}
	if _, obsolete := values[keyObsoleteView]; obsolete {
		var entry obsoleteEntry
		err := decode(values, key, &entry)
		return operator.Order(entry.Order), true, err
	}
	var entry replica.Entry
	err = decode(values, key, &entry)
	return entry.Order, true, err
}

// decodeBase returns the state to which the entries are applied, with its sequence number and the epoch of the
// view.
func decodeBase(values map[string][]byte) (epoch, seq uint64, state *operator.State, err error) {
	if _, obsolete := values[keyObsoleteView]; obsolete {
		var proposal obsoleteProposal
		if err := decode(values, keyObsoleteView, &proposal); err != nil {
			return 0, 0, nil, err
		}
		state, err := operator.FromSnapshot(proposal.State)
		return proposal.View.Epoch, proposal.Seq, state, err
	}
	var stored replica.Stored
	if err := decodeView(values, &stored); err != nil {
		return 0, 0, nil, err
	}
	if stored.View != nil {
		epoch = stored.View.View.Epoch
	}
	if stored.Snapshot != nil {
		seq = stored.Snapshot.Seq
	}
	state, err = snapshotState(stored.Snapshot)
	return epoch, seq, state, err
}
