// Package replica runs one member of the agreed log: package member's state machine with a disk, a network and a clock.
//
// One goroutine (run) owns the state machine and all that is said so at Replica; others hand it functions by submit. Beside it
// there are one goroutine that writes to the disk, one for each connection that was accepted, and a transport.Sender for each
// other member. The owner never waits for the disk or for a peer: what the disk is behind with is queued, what a peer is behind
// with is dropped, and the consensus library sends it again.
//
// Bounds: MaxClients client connections with maxPending requests and one long poll each; senderBytes for a slow member;
// uncommittedBytes of proposals.
package replica

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/node/consensus/member"
	"linenwheel.dev/linenwheel/internal/node/consensus/storage"
	"linenwheel.dev/linenwheel/internal/node/consensus/transport"
	"linenwheel.dev/linenwheel/internal/node/statemachine"
	"linenwheel.dev/linenwheel/internal/node/wal"
)

// MaxClients bounds the connections that a replica accepts at once, of clients and members together.
const MaxClients = 1024

const (
	maxPending       = statemachine.Window // requests of a client connection; twice as many answers wait to be sent
	senderBytes      = 8 << 20             // that wait for a slow member
	uncommittedBytes = 16 << 20            // of proposals
	inboxLength      = 1024                // functions that wait for the owner, and jobs that wait for the disk
	maxBatch         = 512                 // functions, or writes, that are handled together
	requestTicks     = 200                 // after which nobody waits for an answer any more
)

// Settings are the parameters of a replica.
type Settings struct {
	Fleet      string
	Name       string
	Listen     string // address
	Directory  string
	Synced     bool              // writes are synced to the disk; without, a crash of the machine may lose acknowledged entries
	Addresses  map[string]string // of members, by name; for others the committed ones are used
	Heartbeat  float64           // ms; a tick of the clock
	Election   float64           // ms without a message from a leader until this member campaigns
	ImageEvery int               // bytes of entries, see member.Settings
	Trail      int               // entries, see member.Settings
	Release    string
	Wrap       func(wal.Folder) wal.Folder // wraps the disk, for tests with faults; nil = none
}

// Replica is one running member.
type Replica struct {
	settings    Settings
	log         *slog.Logger
	clock       clock.Clock
	store       *storage.Store
	listener    net.Listener
	incarnation uint64 // of this process
	inbox       chan func()
	disk        chan diskJob
	ended       chan struct{} // closed once the owner takes no more from the inbox
	rejections  chan error    // the others reject this member for good

	lastDurable atomic.Uint64 // index of the last entry on the disk
	lastApplied atomic.Uint64
	dials       atomic.Uint64 // connections to members that were tried
	clients     atomic.Int64
	writes      atomic.Uint64

	// What follows belongs to the owner of the state machine: only functions that run on its goroutine may use it.
	member     *member.Member
	senders    map[uint64]*transport.Sender // by member
	peers      map[uint64]*peer             // members that have connected since this process started
	proposals  map[proposalKey][]*pendingRequest
	reads      map[uint64]*pendingRequest
	lastRead   uint64 // key of the last one in reads
	longPolls  map[*transport.Conn]*pendingRequest
	ticks      uint64
	leader     uint64 // as logged last
	voter      bool   // as logged last
	diskQueue  []diskJob
	imageCount uint64

	mu    sync.Mutex
	conns map[*transport.Conn]uint64 // accepted connections, with the member's number; 0 = a client, or not known yet
}

// New opens the directory and listens. The replica takes part once Run is called.
func New(settings Settings, log *slog.Logger) (*Replica, error) {
	r := &Replica{
		settings:    settings,
		log:         log,
		clock:       clock.NewSystem(),
		incarnation: rand.Uint64()>>1 | 1,
		inbox:       make(chan func(), inboxLength),
		disk:        make(chan diskJob, inboxLength),
		ended:       make(chan struct{}),
		rejections:  make(chan error, 1),
		senders:     map[uint64]*transport.Sender{},
		peers:       map[uint64]*peer{},
		proposals:   map[proposalKey][]*pendingRequest{},
		reads:       map[uint64]*pendingRequest{},
		longPolls:   map[*transport.Conn]*pendingRequest{},
		conns:       map[*transport.Conn]uint64{},
	}
	var err error
	if r.store, err = storage.Open(settings.Directory, settings.Fleet, settings.Name, settings.Synced, settings.Wrap); err != nil {
		return nil, fmt.Errorf("peers.directory %s: %w", settings.Directory, err)
	}
	if err = r.openMember(); err == nil {
		r.listener, err = net.Listen("tcp", settings.Listen)
	}
	if err != nil {
		_ = r.store.Close() // the first error counts
		return nil, err
	}
	return r, nil
}

// openMember makes the state machine from what the disk holds.
func (r *Replica) openMember() (err error) {
	saved := r.store.Saved()
	r.lastDurable.Store(saved.LastIndex())
	r.member, err = member.New(member.Settings{ID: r.store.ID, Election: max(3, int(r.settings.Election/r.settings.Heartbeat)), Heartbeat: 1,
		ImageEvery: r.settings.ImageEvery, Trail: r.settings.Trail, Uncommitted: uncommittedBytes, Seed: r.store.Starts,
		Logger: member.Quiet{Warn: func(text string) { r.log.Warn("the consensus library warns", "text", text) }}}, saved)
	return err
}

// Addr returns the address that the replica listens on.
func (r *Replica) Addr() string { return r.listener.Addr().String() }

// ID returns the member's number.
func (r *Replica) ID() uint64 { return r.store.ID }

func milliseconds(ms float64) time.Duration { return time.Duration(ms * 1e6) }
