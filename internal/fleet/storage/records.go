package storage

// This file says how records are written under keys, and what the values of a generation hold.

import (
	"bytes"
	"encoding/gob"
	"errors"
	"fmt"
	"slices"
	"strings"

	"linenwheel.dev/linenwheel/internal/fleet/replica"
)

// identity is what keyIdentity holds.
type identity struct {
	Self     replica.Member
	Founder  bool
	Founders []string
}

// keyValue gives a record its key and value.
func keyValue(record replica.Record) (string, any) {
	switch record := record.(type) {
	case replica.SaveIdentity:
		return keyIdentity, identity(record)
	case replica.SavePromise:
		return keyPromise, record
	case replica.SaveAccepted:
		return keyAccepted, record.Accepted
	case replica.SaveView:
		return keyView, record.Proposal
	case replica.SaveSnapshot:
		return keySnapshot, record.Snapshot
	case replica.SaveEntry:
		return entryKey(record.Entry.Seq), record.Entry
	}
	panic(fmt.Sprintf("storage: record %T", record))
}

// applyRecord notes a record that was stored.
func applyRecord(held *replica.Stored, record replica.Record) {
	switch record := record.(type) {
	case replica.SaveIdentity:
		held.Self, held.Founder, held.Founders = record.Self, record.Founder, record.Founders
	case replica.SavePromise:
		held.Promised = record.Ballot
	case replica.SaveAccepted:
		held.Accepted = &record.Accepted
	case replica.SaveView:
		held.View = &record.Proposal
		held.Promised, held.Accepted = replica.Ballot{}, nil
	case replica.SaveSnapshot:
		held.Snapshot, held.Entries = &record.Snapshot, nil
	case replica.SaveEntry:
		held.Entries = append(entriesBefore(held.Entries, record.Entry.Seq), record.Entry)
	}
}

// entriesBefore gives a copy of the entries that come before a place.
func entriesBefore(entries []replica.Entry, seq uint64) []replica.Entry {
	return slices.DeleteFunc(slices.Clone(entries), func(e replica.Entry) bool { return e.Seq >= seq })
}

// recordsOf gives what is held as records.
func recordsOf(held *replica.Stored) []replica.Record {
	var all []replica.Record
	if held.Self.Address != "" {
		all = append(all, replica.SaveIdentity{Self: held.Self, Founder: held.Founder, Founders: held.Founders})
	}
	if held.View != nil {
		all = append(all, replica.SaveView{Proposal: *held.View})
	}
	if held.Promised.Round > 0 {
		all = append(all, replica.SavePromise{Epoch: nextEpoch(held), Ballot: held.Promised})
	}
	if held.Accepted != nil {
		all = append(all, replica.SaveAccepted{Accepted: *held.Accepted})
	}
	if held.Snapshot != nil {
		all = append(all, replica.SaveSnapshot{Snapshot: *held.Snapshot})
	}
	for _, entry := range held.Entries {
		all = append(all, replica.SaveEntry{Entry: entry})
	}
	return all
}

func nextEpoch(held *replica.Stored) uint64 {
	if held.View == nil {
		return 1
	}
	return held.View.View.Epoch + 1
}

// decodeStored gives what the values of a generation hold. Records of earlier epochs are void.
func decodeStored(values map[string][]byte) (replica.Stored, error) {
	var held replica.Stored
	var who identity
	if err := decode(values, keyIdentity, &who); err != nil {
		return held, err
	}
	held.Self, held.Founder, held.Founders = who.Self, who.Founder, who.Founders
	if err := decodeView(values, &held); err != nil {
		return held, err
	}
	if err := decodeVote(values, &held); err != nil {
		return held, err
	}
	return held, decodeEntries(values, &held)
}

func decodeView(values map[string][]byte, held *replica.Stored) error {
	if _, present := values[keyEarlierView]; present {
		return errObsoleteFormat
	}
	if _, present := values[keyView]; present {
		held.View = &replica.Proposal{}
		if err := decode(values, keyView, held.View); err != nil {
			return err
		}
	}
	if _, present := values[keySnapshot]; present {
		held.Snapshot = &replica.Snapshot{}
		return decode(values, keySnapshot, held.Snapshot)
	}
	return nil
}

func decodeVote(values map[string][]byte, held *replica.Stored) error {
	var promise replica.SavePromise
	var accepted replica.Accepted
	if err := errors.Join(decode(values, keyPromise, &promise), decode(values, keyAccepted, &accepted)); err != nil {
		return err
	}
	if promise.Epoch == nextEpoch(held) {
		held.Promised = promise.Ballot
	}
	if accepted.Proposal.View.Epoch == nextEpoch(held) {
		held.Accepted = &accepted
		held.Promised = replica.MaxBallot(held.Promised, accepted.Ballot)
	}
	return nil
}

// decodeEntries gives the entries after the snapshot, up to the first one that does not follow: it is of an epoch that ended
// before it was committed, and was replaced. The replica looks at the digests too.
func decodeEntries(values map[string][]byte, held *replica.Stored) error {
	seq := uint64(1)
	if held.Snapshot != nil {
		seq = held.Snapshot.Seq + 1
	}
	for ; ; seq++ {
		var entry replica.Entry
		key := entryKey(seq)
		if _, present := values[key]; !present {
			return nil
		}
		if err := decode(values, key, &entry); err != nil {
			return err
		}
		if held.View == nil || entry.Seq > held.View.Base.Seq && entry.Epoch != held.View.View.Epoch {
			return nil
		}
		held.Entries = append(held.Entries, entry)
	}
}

func entryKey(seq uint64) string { return fmt.Sprintf("%s%020d", keyEntry, seq) }

func encode(key string, value any) (string, error) {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(value); err != nil {
		return "", fmt.Errorf("storage: %w", err)
	}
	return appendChecksum(key, buffer.Bytes()), nil
}

func decode(values map[string][]byte, key string, into any) error {
	payload, present := values[key]
	if !present {
		return nil
	}
	if err := gob.NewDecoder(bytes.NewReader(payload)).Decode(into); err != nil {
		return fmt.Errorf("storage: key %s: %w", strings.TrimSpace(key), err)
	}
	return nil
}
