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

// place gives a record its key and value.
func place(record replica.Record) (string, any) {
	switch record := record.(type) {
	case replica.SaveIdentity:
		return keyIdentity, identity(record)
	case replica.SavePromise:
		return keyPromise, record
	case replica.SaveAccepted:
		return keyAccepted, record.Accepted
	case replica.SaveView:
		return keyView, record.Proposal
	case replica.SaveEntry:
		return fmt.Sprintf("%s%020d", keyEntry, record.Entry.Seq), record.Entry
	}
	panic(fmt.Sprintf("storage: record %T", record))
}

// apply notes a record that was stored.
func apply(held *replica.Stored, record replica.Record) {
	switch record := record.(type) {
	case replica.SaveIdentity:
		held.Self, held.Founder, held.Founders = record.Self, record.Founder, record.Founders
	case replica.SavePromise:
		held.Promised = record.Ballot
	case replica.SaveAccepted:
		held.Accepted = &record.Accepted
	case replica.SaveView:
		held.Base = &record.Proposal
		held.Entries, held.Promised, held.Accepted = nil, replica.Ballot{}, nil
	case replica.SaveEntry:
		held.Entries = append(slices.Clone(held.Entries), record.Entry)
	}
}

// records gives what is held as records.
func records(held *replica.Stored) []replica.Record {
	var all []replica.Record
	if held.Self.Address != "" {
		all = append(all, replica.SaveIdentity{Self: held.Self, Founder: held.Founder, Founders: held.Founders})
	}
	if held.Base != nil {
		all = append(all, replica.SaveView{Proposal: *held.Base})
	}
	if held.Promised.Round > 0 {
		all = append(all, replica.SavePromise{Epoch: nextEpoch(held), Ballot: held.Promised})
	}
	if held.Accepted != nil {
		all = append(all, replica.SaveAccepted{Accepted: *held.Accepted})
	}
	for _, entry := range held.Entries {
		all = append(all, replica.SaveEntry{Entry: entry})
	}
	return all
}

func nextEpoch(held *replica.Stored) uint64 {
	if held.Base == nil {
		return 1
	}
	return held.Base.View.Epoch + 1
}

// decodeAll gives what the values of a generation hold. Records of earlier epochs are void.
func decodeAll(values map[string][]byte) (replica.Stored, error) {
	var held replica.Stored
	var who identity
	if err := decode(values, keyIdentity, &who); err != nil {
		return held, err
	}
	held.Self, held.Founder, held.Founders = who.Self, who.Founder, who.Founders
	if _, present := values[keyView]; present {
		held.Base = &replica.Proposal{}
		if err := decode(values, keyView, held.Base); err != nil {
			return held, err
		}
	}
	if err := decodeVote(values, &held); err != nil {
		return held, err
	}
	return held, decodeEntries(values, &held)
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
		held.Promised = replica.HigherBallot(held.Promised, accepted.Ballot)
	}
	return nil
}

func decodeEntries(values map[string][]byte, held *replica.Stored) error {
	if held.Base == nil {
		return nil
	}
	for seq := held.Base.Seq + 1; ; seq++ {
		var entry replica.Entry
		key := fmt.Sprintf("%s%020d", keyEntry, seq)
		if _, present := values[key]; !present {
			return nil
		}
		if err := decode(values, key, &entry); err != nil {
			return err
		}
		if entry.Epoch != held.Base.View.Epoch {
			return nil
		}
		held.Entries = append(held.Entries, entry)
	}
}

func encode(key string, value any) (string, error) {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(value); err != nil {
		return "", fmt.Errorf("storage: %w", err)
	}
	return sealValue(key, buffer.Bytes()), nil
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
