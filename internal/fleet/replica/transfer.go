package replica

import (
	"bytes"
	"crypto/sha256"
	"encoding/gob"
	"slices"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/operator"
)

// The figures of transfers.
const (
	checksumSize     = sha256.Size
	chunkSize        = 64 << 10 // bytes of an encoded snapshot in one message
	maxBatchBytes    = 64 << 10 // bytes of orders in one message, unless a single one is larger
	maxFetchTimeouts = 3        // pulls in a row, after which another member is asked
	installExpiry    = 3 * time.Second
)

// transfer is what a member is pulling, and the snapshot that it gives out. There is one transfer at a time.
type transfer struct {
	install       *pendingInstall
	source        Member
	inFlight      bool
	requestSentAt time.Duration
	nextRequestAt time.Duration // the pace of the next pull
	timeouts      int
	incoming      incomingSnapshot
	outgoing      *encodedSnapshot
}

// pendingInstall is a state that a proposer wants stored here.
type pendingInstall struct {
	request    Install
	proposer   Member
	receivedAt time.Duration
}

// incomingSnapshot gathers the pieces of a snapshot. It outlives a source that falls silent and comes back.
type incomingSnapshot struct {
	position Position
	checksum [checksumSize]byte
	count    int
	chunks   [][]byte
}

// encodedSnapshot is a state, encoded once for all members that pull it.
type encodedSnapshot struct {
	position Position
	encoded  []byte
	checksum [checksumSize]byte
}

// ---- The member that is behind ----

// fetchTarget is the state that this member lacks and whom it asks for it.
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

// fetch asks for what this member lacks, one message at a time.
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
	return Ready{Messages: []Envelope{m.send(t.source, body)}}
}

// nextSource gives the member after the present source, from the end of the chain on: the head has the most to do.
func (m *Machine) nextSource(sources []Member) Member {
	place := slices.Index(sources, m.transfer.source)
	if place < 0 {
		place = len(sources)
	}
	return sources[(place+len(sources)-1)%len(sources)]
}

// matchReply notes that the source answered, and tells whether the answer is one that was asked for.
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

// acceptEntry takes an entry that was pulled, in place of an uncommitted one that it replaces.
func (m *Machine) acceptEntry(entry Entry) ([]Record, bool) {
	if newest, kept := m.log.lastEntry(); kept && newest.position() == entry.position() {
		return nil, true
	}
	if entry.Seq == m.log.seq {
		m.log = m.log.withoutPending()
	}
	next, err := m.log.withEntry(entry)
	if err != nil {
		return nil, false
	}
	m.log = next
	return []Record{SaveEntry{Entry: entry}}, true
}

// advanceCommitted notes what the source of orders knows to be committed.
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

// installSnapshot goes over to a snapshot whose pieces are all there, if its digests are right.
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

func (s *incomingSnapshot) decode() (operator.Snapshot, error) {
	var snapshot operator.Snapshot
	packed := slices.Concat(s.chunks...)
	if sha256.Sum256(packed) != s.checksum {
		return snapshot, errDiverged
	}
	encoded, err := operator.Decompress(packed)
	if err != nil {
		return snapshot, err
	}
	return snapshot, gob.NewDecoder(bytes.NewReader(encoded)).Decode(&snapshot)
}

// ---- The state with which a chain begins ----

func (m *Machine) onInstall(from Member, body Install) Ready {
	if body.Epoch <= m.view.Epoch {
		return m.sendViewIfBehind(from, Status{Epoch: body.Epoch - 1})
	}
	if body.Epoch != m.view.Epoch+1 || !m.healthy {
		return Ready{}
	}
	m.transfer.install = &pendingInstall{request: body, proposer: from, receivedAt: m.now}
	out := m.sendInstalled()
	out.add(m.fetch())
	return out
}

// sendInstalled answers a proposer once the state that it wants is stored here.
func (m *Machine) sendInstalled() Ready {
	install := m.transfer.install
	if install == nil || !m.log.hasPosition(install.request.Base) {
		return Ready{}
	}
	m.transfer.install = nil
	body := Installed{Epoch: install.request.Epoch, Ballot: install.request.Ballot, Base: install.request.Base}
	return Ready{Messages: []Envelope{m.send(install.proposer, body)}}
}

// ---- The member that has it ----

func (m *Machine) onFetchRequest(from Member, body FetchRequest) Ready {
	limit := m.log.committed
	if body.Want.Seq > 0 && body.Want == m.log.lastPosition() {
		limit = body.Want.Seq
	}
	if limit <= body.Have.Seq {
		return Ready{}
	}
	if first, known := m.log.indexAfter(body.Have); known {
		orders := FetchReply{From: body.Have, Entries: m.log.batch(first, limit), Committed: m.log.committed}
		return Ready{Messages: []Envelope{m.send(from, orders)}}
	}
	return Ready{Messages: []Envelope{m.send(from, m.chunkFor(body))}}
}

// batch gives entries from a place on, as many as fit into one message.
func (c Log) batch(first int, limit uint64) []Entry {
	var entries []Entry
	size := 0
	for place := first; place < c.entries.Len(); place++ {
		entry := c.entries.Get(place)
		size += len(entry.Order.Body)
		if entry.Seq > limit || len(entries) > 0 && size > maxBatchBytes {
			break
		}
		entries = append(entries, entry)
	}
	return entries
}

// chunkFor gives the piece of a snapshot that a pull asks for, or the first one of a newer snapshot.
func (m *Machine) chunkFor(body FetchRequest) SnapshotChunk {
	snapshot := m.currentSnapshot()
	index := 0
	if body.Snapshot == snapshot.position {
		index = body.Piece
	}
	count := (len(snapshot.encoded) + chunkSize - 1) / chunkSize
	index = min(index, count-1)
	part := snapshot.encoded[index*chunkSize : min((index+1)*chunkSize, len(snapshot.encoded))]
	return SnapshotChunk{Snapshot: snapshot.position, Index: index, Count: count, Bytes: part, Sum: sha256.Sum256(part),
		Whole: snapshot.checksum}
}

// currentSnapshot gives the encoded snapshot that this member hands out: the one it has for as long as its entries lead on from
// there, so that pieces that were had are not pulled again.
func (m *Machine) currentSnapshot() *encodedSnapshot {
	if held := m.transfer.outgoing; held != nil {
		if _, leadsOn := m.log.indexAfter(held.position); leadsOn && held.position.Seq <= m.log.committed {
			return held
		}
	}
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(m.log.committedState.Snapshot()); err != nil { // plain data
		panic(err)
	}
	packed := operator.Compress(buffer.Bytes())
	m.transfer.outgoing = &encodedSnapshot{position: m.log.committedPosition(), encoded: packed, checksum: sha256.Sum256(packed)}
	return m.transfer.outgoing
}
