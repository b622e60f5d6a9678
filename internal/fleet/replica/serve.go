package replica

import (
	"bytes"
	"crypto/sha256"
	"encoding/gob"

	"linenwheel.dev/linenwheel/internal/fleet/operator"
)

// Maximum sizes of one message of a state transfer, in bytes.
const (
	chunkSize     = 64 << 10 // of an encoded snapshot
	maxBatchBytes = 64 << 10 // of order bodies, unless a single one is larger
)

// encodedSnapshot is a state that is encoded once for all members that fetch it.
type encodedSnapshot struct {
	position Position
	encoded  []byte // compressed gob
	checksum [checksumSize]byte
}

// onFetchRequest replies with entries if this log contains the position of the sender and the entries after it,
// else with a chunk of a snapshot. It serves committed orders, and the uncommitted one if the sender was asked to
// install it.
func (m *Machine) onFetchRequest(from Member, body FetchRequest) Ready {
	lastSeq := m.log.committed
	if body.Want.Seq > 0 && body.Want == m.log.lastPosition() {
		lastSeq = body.Want.Seq
	}
	if lastSeq <= body.Have.Seq {
		return Ready{}
	}
	if first, known := m.log.indexAfter(body.Have); known {
		entries := m.log.batch(first, lastSeq, maxBatchBytes)
		reply := FetchReply{From: body.Have, Entries: entries, Committed: m.log.committed}
		return Ready{Messages: []Envelope{m.envelope(from, reply)}}
	}
	return Ready{Messages: []Envelope{m.envelope(from, m.chunkFor(body))}}
}

// chunkFor returns the requested chunk, or the first chunk of a later snapshot.
func (m *Machine) chunkFor(request FetchRequest) SnapshotChunk {
	snapshot := m.currentSnapshot()
	index := 0
	if request.Snapshot == snapshot.position {
		index = request.Piece
	}
	count := (len(snapshot.encoded) + chunkSize - 1) / chunkSize
	index = min(index, count-1)
	chunk := snapshot.encoded[index*chunkSize : min((index+1)*chunkSize, len(snapshot.encoded))]
	return SnapshotChunk{Snapshot: snapshot.position, Index: index, Count: count, Bytes: chunk, Sum: sha256.Sum256(chunk),
		Whole: snapshot.checksum}
}

// currentSnapshot returns the encoded snapshot that this member serves. A new snapshot is encoded only when the
// entries in memory no longer continue from the previous one, so that chunks that were already fetched remain
// useful.
func (m *Machine) currentSnapshot() *encodedSnapshot {
	if current := m.transfer.outgoing; current != nil {
		if _, known := m.log.indexAfter(current.position); known && current.position.Seq <= m.log.committed {
			return current
		}
	}
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(m.log.committedState.Snapshot()); err != nil {
		panic(err) // a struct of plain data always encodes
	}
	encoded := operator.Compress(buffer.Bytes())
	m.transfer.outgoing = &encodedSnapshot{position: m.log.committedPosition(), encoded: encoded, checksum: sha256.Sum256(encoded)}
	return m.transfer.outgoing
}
