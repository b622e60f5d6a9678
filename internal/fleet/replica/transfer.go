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
	checksumSize   = sha256.Size
	pieceSize      = 64 << 10 // bytes of an encoded snapshot in one message
	ordersSize     = 64 << 10 // bytes of orders in one message, unless a single one is larger
	mostUnanswered = 3        // pulls in a row, after which another member is asked
	installLife    = 3 * time.Second
)

// transfer is what a member is pulling, and the snapshot that it gives out. There is one transfer at a time.
type transfer struct {
	install    *pendingInstall
	source     Member
	asked      bool
	askedAt    time.Duration
	notBefore  time.Duration // the pace of the next pull
	unanswered int
	incoming   incomingSnapshot
	outgoing   *encodedSnapshot
}

// pendingInstall is a state that a proposer wants stored here.
type pendingInstall struct {
	request  Install
	proposer Member
	since    time.Duration
}

// incomingSnapshot gathers the pieces of a snapshot. It outlives a source that falls silent and comes back.
type incomingSnapshot struct {
	position Position
	whole    [checksumSize]byte
	count    int
	pieces   [][]byte
}

// encodedSnapshot is a state, encoded once for all members that pull it.
type encodedSnapshot struct {
	position Position
	bytes    []byte
	whole    [checksumSize]byte
}

// ---- The member that is behind ----

// goal is the state that this member lacks and whom it asks for it.
func (m *Machine) goal() (want Position, sources []Member, needed bool) {
	if install := m.transfer.install; install != nil {
		if m.now-install.since < installLife && !m.log.holds(install.request.Base) {
			return install.request.Base, []Member{install.request.Source}, true
		}
		m.transfer.install = nil
	}
	if m.view.Epoch == 0 || m.follows() {
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

// pull asks for what this member lacks, one message at a time.
func (m *Machine) pull() Ready {
	t := &m.transfer
	want, sources, needed := m.goal()
	if !needed {
		t.asked, t.unanswered = false, 0
		return Ready{}
	}
	if t.asked && m.now-t.askedAt >= m.config.RetryInterval {
		t.asked = false
		t.unanswered++
	}
	if t.asked || m.now < t.notBefore {
		return Ready{}
	}
	if !slices.Contains(sources, t.source) || t.unanswered >= mostUnanswered {
		t.source = m.nextSource(sources)
		t.unanswered = 0
	}
	t.asked, t.askedAt = true, m.now
	body := FetchRequest{Have: m.log.settled(), Want: want, Snapshot: t.incoming.position, Piece: len(t.incoming.pieces)}
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

// answered notes that the source answered, and tells whether the answer is one that was asked for.
func (m *Machine) answered(from Member) bool {
	t := &m.transfer
	if !t.asked || t.source != from {
		return false
	}
	t.asked, t.unanswered = false, 0
	return true
}

func (m *Machine) onOrders(from Member, body FetchReply) Ready {
	if !m.answered(from) || body.From != m.log.settled() {
		return Ready{}
	}
	var out Ready
	for _, entry := range body.Entries {
		saved, ok := m.takeEntry(entry)
		if !ok {
			m.transfer.notBefore = m.now + m.config.RetryInterval
			break
		}
		out.Records = append(out.Records, saved...)
	}
	m.settle(body.Committed)
	out.add(m.installed())
	out.add(m.pull())
	return out
}

// takeEntry takes an entry that was pulled, in place of an uncommitted one that it replaces.
func (m *Machine) takeEntry(entry Entry) ([]Record, bool) {
	if newest, kept := m.log.last(); kept && newest.position() == entry.position() {
		return nil, true
	}
	if entry.Seq == m.log.seq {
		m.log = m.log.drop()
	}
	next, err := m.log.add(entry)
	if err != nil {
		return nil, false
	}
	m.log = next
	return []Record{SaveEntry{Entry: entry}}, true
}

// settle notes what the source of orders knows to be committed.
func (m *Machine) settle(committed uint64) {
	if committed >= m.log.seq {
		m.log = m.log.commit(committed)
		m.pendingSince = 0
	}
	m.holds = m.holds || m.log.passes(m.base)
}

func (m *Machine) onPiece(from Member, body SnapshotChunk) Ready {
	if !m.answered(from) || sha256.Sum256(body.Bytes) != body.Sum {
		return Ready{}
	}
	incoming := &m.transfer.incoming
	if incoming.position != body.Snapshot || incoming.whole != body.Whole {
		*incoming = incomingSnapshot{position: body.Snapshot, whole: body.Whole, count: body.Count}
	}
	if body.Index == len(incoming.pieces) {
		incoming.pieces = append(incoming.pieces, body.Bytes)
	}
	m.transfer.notBefore = m.now + time.Duration(len(body.Bytes))*time.Second/time.Duration(m.config.TransferRate)
	var out Ready
	if len(incoming.pieces) == incoming.count {
		out = m.takeSnapshot()
	}
	out.add(m.pull())
	return out
}

// takeSnapshot goes over to a snapshot whose pieces are all there, if its digests are right.
func (m *Machine) takeSnapshot() Ready {
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
	m.log = logAt(incoming.position.Seq, state)
	m.pendingSince = 0
	m.holds = m.holds || m.log.passes(m.base)
	out := Ready{Records: []Record{SaveSnapshot{Snapshot{Seq: incoming.position.Seq, State: snapshot}}}}
	out.add(m.installed())
	return out
}

func (s *incomingSnapshot) decode() (operator.Snapshot, error) {
	var snapshot operator.Snapshot
	packed := slices.Concat(s.pieces...)
	if sha256.Sum256(packed) != s.whole {
		return snapshot, errReplaced
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
		return m.bringUp(from, Status{Epoch: body.Epoch - 1})
	}
	if body.Epoch != m.view.Epoch+1 || !m.healthy {
		return Ready{}
	}
	m.transfer.install = &pendingInstall{request: body, proposer: from, since: m.now}
	out := m.installed()
	out.add(m.pull())
	return out
}

// installed answers a proposer once the state that it wants is stored here.
func (m *Machine) installed() Ready {
	install := m.transfer.install
	if install == nil || !m.log.holds(install.request.Base) {
		return Ready{}
	}
	m.transfer.install = nil
	body := Installed{Epoch: install.request.Epoch, Ballot: install.request.Ballot, Base: install.request.Base}
	return Ready{Messages: []Envelope{m.send(install.proposer, body)}}
}

// ---- The member that has it ----

func (m *Machine) onPull(from Member, body FetchRequest) Ready {
	limit := m.log.committed
	if body.Want.Seq > 0 && body.Want == m.log.newest() {
		limit = body.Want.Seq
	}
	if limit <= body.Have.Seq {
		return Ready{}
	}
	if first, known := m.log.index(body.Have); known {
		orders := FetchReply{From: body.Have, Entries: m.log.batch(first, limit), Committed: m.log.committed}
		return Ready{Messages: []Envelope{m.send(from, orders)}}
	}
	return Ready{Messages: []Envelope{m.send(from, m.piece(body))}}
}

// batch gives entries from a place on, as many as fit into one message.
func (c Log) batch(first int, limit uint64) []Entry {
	var entries []Entry
	size := 0
	for place := first; place < c.kept.Len(); place++ {
		entry := c.kept.Get(place)
		size += len(entry.Order.Body)
		if entry.Seq > limit || len(entries) > 0 && size > ordersSize {
			break
		}
		entries = append(entries, entry)
	}
	return entries
}

// piece gives the piece of a snapshot that a pull asks for, or the first one of a newer snapshot.
func (m *Machine) piece(body FetchRequest) SnapshotChunk {
	snapshot := m.snapshot()
	index := 0
	if body.Snapshot == snapshot.position {
		index = body.Piece
	}
	count := (len(snapshot.bytes) + pieceSize - 1) / pieceSize
	index = min(index, count-1)
	part := snapshot.bytes[index*pieceSize : min((index+1)*pieceSize, len(snapshot.bytes))]
	return SnapshotChunk{Snapshot: snapshot.position, Index: index, Count: count, Bytes: part, Sum: sha256.Sum256(part),
		Whole: snapshot.whole}
}

// snapshot gives the encoded snapshot that this member hands out: the one it has for as long as its entries lead on from
// there, so that pieces that were had are not pulled again.
func (m *Machine) snapshot() *encodedSnapshot {
	if held := m.transfer.outgoing; held != nil {
		if _, leadsOn := m.log.index(held.position); leadsOn && held.position.Seq <= m.log.committed {
			return held
		}
	}
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(m.log.agreed.Snapshot()); err != nil { // plain data
		panic(err)
	}
	packed := operator.Compress(buffer.Bytes())
	m.transfer.outgoing = &encodedSnapshot{position: m.log.settled(), bytes: packed, whole: sha256.Sum256(packed)}
	return m.transfer.outgoing
}
