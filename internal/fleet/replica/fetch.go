package replica

import (
	"bytes"
	"crypto/sha256"
	"encoding/gob"
	"errors"
	"slices"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/operator"
)

// errChecksum means that the assembled chunks of a snapshot do not match the checksum of the encoded snapshot.
var errChecksum = errors.New("replica: the snapshot does not match its checksum")

// maxFetchTimeouts is the number of consecutive unanswered fetch requests after which another source is used.
const maxFetchTimeouts = 3

const checksumSize = sha256.Size

// transfer is the state of what a member fetches, and the snapshot that it serves. At most one fetch request is in
// flight.
type transfer struct {
	install       *pendingInstall
	source        Member
	inFlight      bool
	requestSentAt time.Duration
	nextRequestAt time.Duration // no request before then; limits the transfer rate
	timeouts      int           // consecutive requests without a reply
	incoming      incomingSnapshot
	outgoing      *encodedSnapshot
}

// incomingSnapshot collects the chunks of a snapshot. It is kept when a source stops replying, so that another
// source, or the same one later, can provide the remaining chunks.
type incomingSnapshot struct {
	position Position
	checksum [checksumSize]byte // of all chunks together
	count    int
	chunks   [][]byte
}

// fetchTarget returns the state that this member lacks and the members that have it; the zero position stands for
// the last committed state. It reports whether there is anything to fetch.
func (m *Machine) fetchTarget() (want Position, sources []Member, needed bool) {
	if install := m.transfer.install; install != nil {
		if m.now-install.receivedAt < installExpiry && !m.log.hasPosition(install.request.Base) {
			return install.request.Base, []Member{install.request.Source}, true
		}
		m.transfer.install = nil
	}
	if m.view.Epoch == 0 || m.inSync() {
		return Position{}, nil, false
	}
	for _, member := range m.view.Chain {
		p := m.peers[member.Address]
		if p == nil || !m.reachable(member) || p.status.Epoch < m.view.Epoch || !p.status.Holds {
			continue
		}
		if p.status.Committed > m.log.committed {
			sources = append(sources, member)
		}
	}
	return Position{}, sources, len(sources) > 0
}

// fetch requests what this member lacks, with one request in flight at a time.
func (m *Machine) fetch() Ready {
	t := &m.transfer
	want, sources, needed := m.fetchTarget()
	if !needed {
		t.inFlight, t.timeouts = false, 0
		return Ready{}
	}
	if t.inFlight && m.now-t.requestSentAt >= m.config.RetryInterval {
		t.inFlight = false
		t.timeouts++
	}
	if t.inFlight || m.now < t.nextRequestAt {
		return Ready{}
	}
	if !slices.Contains(sources, t.source) || t.timeouts >= maxFetchTimeouts {
		t.source = m.nextSource(sources)
		t.timeouts = 0
	}
	t.inFlight, t.requestSentAt = true, m.now
	body := FetchRequest{Have: m.log.committedPosition(), Want: want, Snapshot: t.incoming.position, Piece: len(t.incoming.chunks)}
	return Ready{Messages: []Envelope{m.envelope(t.source, body)}}
}

// nextSource returns the member before the current source in the chain, or the last one if there is no current
// source. The head comes last, because it has the highest load.
func (m *Machine) nextSource(sources []Member) Member {
	index := slices.Index(sources, m.transfer.source)
	if index < 0 {
		index = len(sources)
	}
	return sources[(index+len(sources)-1)%len(sources)]
}

// matchReply reports whether a reply comes from the source of the request in flight, and if so marks the request
// as answered.
func (m *Machine) matchReply(from Member) bool {
	t := &m.transfer
	if !t.inFlight || t.source != from {
		return false
	}
	t.inFlight, t.timeouts = false, 0
	return true
}

func (m *Machine) onFetchReply(from Member, body FetchReply) Ready {
	if !m.matchReply(from) || body.From != m.log.committedPosition() {
		return Ready{}
	}
	var out Ready
	for _, entry := range body.Entries {
		saved, ok := m.acceptEntry(entry)
		if !ok {
			m.transfer.nextRequestAt = m.now + m.config.RetryInterval
			break
		}
		out.Records = append(out.Records, saved...)
	}
	m.advanceCommitted(body.Committed)
	out.add(m.sendInstalled())
	out.add(m.fetch())
	return out
}

// acceptEntry appends a fetched entry, replacing an uncommitted entry with the same index. It returns the records
// to be stored, and reports whether the log contains the entry now.
func (m *Machine) acceptEntry(entry Entry) ([]Record, bool) {
	if last, present := m.log.lastEntry(); present && last.position() == entry.position() {
		return nil, true
	}
	before := m.log
	if entry.Seq == m.log.seq {
		m.log = m.log.withoutPending()
	}
	if !m.restoreEntry(entry) {
		m.log = before
		return nil, false
	}
	return []Record{SaveEntry{Entry: entry}}, true
}

// advanceCommitted records the last index that the source of the entries knows to be committed.
func (m *Machine) advanceCommitted(committed uint64) {
	if committed >= m.log.seq {
		m.log = m.log.withCommitted(committed)
		m.pendingSince = 0
	}
	m.hasBase = m.hasBase || m.log.passedThrough(m.base)
}

func (m *Machine) onSnapshotChunk(from Member, body SnapshotChunk) Ready {
	if !m.matchReply(from) || sha256.Sum256(body.Bytes) != body.Sum {
		return Ready{}
	}
	incoming := &m.transfer.incoming
	if incoming.position != body.Snapshot || incoming.checksum != body.Whole {
		*incoming = incomingSnapshot{position: body.Snapshot, checksum: body.Whole, count: body.Count}
	}
	if body.Index == len(incoming.chunks) {
		incoming.chunks = append(incoming.chunks, body.Bytes)
	}
	m.transfer.nextRequestAt = m.now + time.Duration(len(body.Bytes))*time.Second/time.Duration(m.config.TransferRate)
	var out Ready
	if len(incoming.chunks) == incoming.count {
		out = m.installSnapshot()
	}
	out.add(m.fetch())
	return out
}

// installSnapshot replaces the log by a snapshot whose chunks are complete, provided that the snapshot is later
// than the committed state of this member and its digests match.
func (m *Machine) installSnapshot() Ready {
	incoming := m.transfer.incoming
	m.transfer.incoming = incomingSnapshot{}
	snapshot, err := incoming.decode()
	if err != nil || incoming.position.Seq <= m.log.committed {
		return Ready{}
	}
	state, err := operator.FromSnapshot(snapshot)
	if err != nil || state.History() != incoming.position.History {
		return Ready{}
	}
	m.log = newLogAt(incoming.position.Seq, state)
	m.pendingSince = 0
	m.hasBase = m.hasBase || m.log.passedThrough(m.base)
	out := Ready{Records: []Record{SaveSnapshot{Snapshot{Seq: incoming.position.Seq, State: snapshot}}}}
	out.add(m.sendInstalled())
	return out
}

// decode returns the snapshot whose chunks are complete. It returns errChecksum if the chunks do not match the
// checksum of the encoded snapshot.
func (s *incomingSnapshot) decode() (operator.Snapshot, error) {
	var snapshot operator.Snapshot
	compressed := slices.Concat(s.chunks...)
	if sha256.Sum256(compressed) != s.checksum {
		return snapshot, errChecksum
	}
	encoded, err := operator.Decompress(compressed)
	if err != nil {
		return snapshot, err
	}
	return snapshot, gob.NewDecoder(bytes.NewReader(encoded)).Decode(&snapshot)
}
