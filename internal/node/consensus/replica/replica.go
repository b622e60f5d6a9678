// Package replica runs one member of the replicated log: the state machine of package member with a disk, a
// network and a clock.
//
// One goroutine (run) owns the state machine and the fields of Replica that are marked as such. Other goroutines
// pass functions to it by submit. In addition there is one goroutine that writes to the disk, one for each
// accepted connection, and a transport.Sender for each other member. The owner never waits for the disk or for a
// peer: work for a slow disk is queued, messages for a slow peer are dropped, and the consensus library sends them
// again.
//
// Bounds: MaxClients connections, each with maxPending requests and one long poll; senderBytes queued for a slow
// member; uncommittedBytes of proposals.
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

// MaxClients is the maximum number of accepted connections, of clients and members together.
const MaxClients = 1024

const (
	maxPending       = statemachine.Window // requests of a client connection; up to twice as many answers wait to be sent
	senderBytes      = 8 << 20             // queued for a slow member
	uncommittedBytes = 16 << 20            // uncommitted proposals
	inboxLength      = 1024                // queued functions for the owner, and queued jobs for the disk
	maxBatch         = 512                 // functions or writes that are handled together
	requestTicks     = 200                 // age after which no client waits for the answer any more
)

// Settings are the parameters of a replica.
type Settings struct {
	Fleet      string
	Name       string
	Listen     string // address
	Directory  string
	Synced     bool              // sync writes to the disk; if false, a crash of the machine may lose acknowledged entries
	Addresses  map[string]string // addresses of members, by name; for other members the committed address is used
	Heartbeat  float64           // heartbeat interval and tick of the member's clock, ms
	Election   float64           // time without a message from a leader until this member campaigns, ms
	ImageEvery int               // bytes of entries, see member.Settings
	Trail      int               // entries, see member.Settings
	Release    string
	Wrap       func(wal.Folder) wal.Folder // wraps the disk; tests inject faults with it; may be nil
}

// Replica is one running member.
type Replica struct {
	settings    Settings
	log         *slog.Logger
	clock       clock.Clock
	store       *storage.Store
	listener    net.Listener
	incarnation uint64 // random number of this process
	inbox       chan func()
	disk        chan diskJob
	ended       chan struct{} // closed once the owner no longer receives from the inbox
	rejections  chan error    // permanent rejections of this member by others

	lastDurable atomic.Uint64 // index of the last durable entry
	lastApplied atomic.Uint64
	dials       atomic.Uint64 // connection attempts to members
	clients     atomic.Int64
	writes      atomic.Uint64

	// The fields below belong to the owner of the state machine: only functions that run on its goroutine may use
	// them.
	member     *member.Member
	senders    map[uint64]*transport.Sender // by member ID
	peers      map[uint64]*peer             // members that have connected since this process started, by ID
	proposals  map[proposalKey][]*pendingRequest
	reads      map[uint64]*pendingRequest
	lastRead   uint64 // last key used in reads
	longPolls  map[*transport.Conn]*pendingRequest
	ticks      uint64
	leader     uint64 // as last logged
	voter      bool   // as last logged
	diskQueue  []diskJob
	imageCount uint64

	mu    sync.Mutex
	conns map[*transport.Conn]uint64 // accepted connections with the ID of the member; 0 = a client, or not known yet
}

// New opens the directory and starts to listen. The replica takes part in the cluster once Run is called.
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
		_ = r.store.Close() // the first error is returned
		return nil, err
	}
	return r, nil
}

// openMember creates the state machine from the stored state.
func (r *Replica) openMember() (err error) {
	saved := r.store.Saved()
	r.lastDurable.Store(saved.LastIndex())
	r.member, err = member.New(member.Settings{ID: r.store.ID, Election: max(3, int(r.settings.Election/r.settings.Heartbeat)), Heartbeat: 1,
		ImageEvery: r.settings.ImageEvery, Trail: r.settings.Trail, Uncommitted: uncommittedBytes, Seed: r.store.Starts,
		Logger: member.Quiet{Warn: func(text string) { r.log.Warn("consensus library reported an error", "text", text) }}}, saved)
	return err
}

// Addr returns the address that the replica listens on.
func (r *Replica) Addr() string { return r.listener.Addr().String() }

// ID returns the ID of the member.
func (r *Replica) ID() uint64 { return r.store.ID }

func milliseconds(ms float64) time.Duration { return time.Duration(ms * 1e6) }
