package storage

import (
	"bytes"
	"encoding/gob"
	"errors"
	"fmt"
	"strings"

	"linenwheel.dev/linenwheel/internal/fleet/replica"
)

// The keys of the database. They are part of the on-disk format.
const (
	keyIdentity = "identity"
	keyPromise  = "promise"
	keyAccepted = "accepted"
	keyView     = "agreed-view"
	keySnapshot = "snapshot"
	keyComplete = "complete" // the last key that a compaction writes
	keyEntry    = "entry/"   // followed by the index in 20 digits

	keyObsoleteView = "view" // of the obsolete format, in which a view contained the state
)

// identity is the value of keyIdentity. Its fields are encoded by name.
type identity struct {
	Self     replica.Member
	Founder  bool
	Founders []string
}

func entryKey(seq uint64) string { return fmt.Sprintf("%s%020d", keyEntry, seq) }

// keyValue returns the key under which a record is stored and the value to encode.
func keyValue(record replica.Record) (key string, value any) {
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
	panic(fmt.Sprintf("storage: unknown record %T", record))
}

// recordsOf returns the records that represent a stored state.
func recordsOf(stored *replica.Stored) []replica.Record {
	var records []replica.Record
	if stored.Self.Address != "" {
		records = append(records, replica.SaveIdentity{Self: stored.Self, Founder: stored.Founder, Founders: stored.Founders})
	}
	if stored.View != nil {
		records = append(records, replica.SaveView{Proposal: *stored.View})
	}
	if stored.Promised.Round > 0 {
		records = append(records, replica.SavePromise{Epoch: nextEpoch(stored), Ballot: stored.Promised})
	}
	if stored.Accepted != nil {
		records = append(records, replica.SaveAccepted{Accepted: *stored.Accepted})
	}
	if stored.Snapshot != nil {
		records = append(records, replica.SaveSnapshot{Snapshot: *stored.Snapshot})
	}
	for _, entry := range stored.Entries {
		records = append(records, replica.SaveEntry{Entry: entry})
	}
	return records
}

// nextEpoch returns the epoch to which the promise and the accepted proposal of a stored state apply.
func nextEpoch(stored *replica.Stored) uint64 {
	if stored.View == nil {
		return 1
	}
	return stored.View.View.Epoch + 1
}

// decodeStored returns the state that the values of a generation represent. Records of earlier epochs are ignored.
func decodeStored(values map[string][]byte) (replica.Stored, error) {
	var stored replica.Stored
	var self identity
	if err := decode(values, keyIdentity, &self); err != nil {
		return stored, err
	}
	stored.Self, stored.Founder, stored.Founders = self.Self, self.Founder, self.Founders
	if err := decodeView(values, &stored); err != nil {
		return stored, err
	}
	if err := decodeVote(values, &stored); err != nil {
		return stored, err
	}
	return stored, decodeEntries(values, &stored)
}

func decodeView(values map[string][]byte, stored *replica.Stored) error {
	if _, present := values[keyObsoleteView]; present {
		return errObsoleteFormat
	}
	if _, present := values[keyView]; present {
		stored.View = &replica.Proposal{}
		if err := decode(values, keyView, stored.View); err != nil {
			return err
		}
	}
	if _, present := values[keySnapshot]; present {
		stored.Snapshot = &replica.Snapshot{}
		return decode(values, keySnapshot, stored.Snapshot)
	}
	return nil
}

// decodeVote decodes the promise and the accepted proposal, unless their epoch has been decided since.
func decodeVote(values map[string][]byte, stored *replica.Stored) error {
	var promised replica.SavePromise
	var accepted replica.Accepted
	if err := errors.Join(decode(values, keyPromise, &promised), decode(values, keyAccepted, &accepted)); err != nil {
		return err
	}
	if promised.Epoch == nextEpoch(stored) {
		stored.Promised = promised.Ballot
	}
	if accepted.Proposal.View.Epoch == nextEpoch(stored) {
		stored.Accepted = &accepted
		stored.Promised = replica.MaxBallot(stored.Promised, accepted.Ballot)
	}
	return nil
}

// decodeEntries decodes the entries after the snapshot, up to the first one that does not follow its predecessor:
// that entry is of an epoch that ended before the entry was committed, and was replaced. The replica verifies the
// digests as well.
func decodeEntries(values map[string][]byte, stored *replica.Stored) error {
	seq := uint64(1)
	if stored.Snapshot != nil {
		seq = stored.Snapshot.Seq + 1
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
		if stored.View == nil || entry.Seq > stored.View.Base.Seq && entry.Epoch != stored.View.View.Epoch {
			return nil
		}
		stored.Entries = append(stored.Entries, entry)
	}
}

// encode returns the stored form of a value: its gob encoding, preceded by a checksum.
func encode(key string, value any) (string, error) {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(value); err != nil {
		return "", fmt.Errorf("storage: key %s: %w", key, err)
	}
	return prependChecksum(key, buffer.Bytes()), nil
}

// decode decodes the value of a key into the variable to which into points. If the key is absent, it leaves the
// variable unchanged.
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
