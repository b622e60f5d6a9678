// Package etcd reads the list of hosts from the keys under a prefix of an etcd cluster, and watches them.
//
// It lists at a revision and watches from the next one. After a broken stream it checks at the revision seen that it has
// what the cluster had there, and resumes; after a compaction it lists again. A revision never goes back, and what another
// history shows, that of another cluster or of a backup, is not taken.
//
// Tracker, which decides what can follow from what, is pure. Source, beside it, has connections, clock and log. It uses the
// gRPC service of etcd's own definitions: docs/design/inventory.md says why not the client. This package and what it
// needs are kept out of the node.
package etcd

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"

	"linenwheel.dev/linenwheel/internal/clock"
)

// Settings say what is read and how. Times are in milliseconds.
type Settings struct {
	Endpoints      []string // host:port, tried in turn
	Prefix         string
	User, Password string                                          // empty = none
	TLS            *tls.Config                                     // nil = none
	History        string                                          // the only one that is taken, see Cluster; empty = that of the first cluster that is seen
	MaxHosts       int                                             // hosts
	Dial           func(context.Context, string) (net.Conn, error) // nil = TCP

	CallTimeout      float64 // for one call
	ProgressInterval float64 // between two questions of how far a watch has come
	SilenceTimeout   float64 // without a word the watch is dead
	CheckInterval    float64 // between two checks that nothing was missed
	FirstPause       float64 // after all endpoints have failed, doubled each time
	LastPause        float64
}

// Sink is who is told. Calls come one after the other.
type Sink interface {
	Update(epoch string, u Update) // the list, or what has changed in it; there may be more to come
	UpToDate()                     // what was told is all there is
	Unavailable(err error)         // the cluster cannot be asked
	Reread(epoch string, u Update) // the list, read anew because Look was called
}

// Source reads and watches.
type Source struct {
	Clock clock.Clock
	Log   *slog.Logger
	Sink  Sink

	mu   sync.Mutex
	set  *Settings
	next chan struct{} // closed when there are other settings
	look chan struct{}

	tracker *Tracker
	history string // that the settings name, with this tracker
	dirty   bool   // the tracker has missed something: a list is needed
	turn    int    // of the endpoints
	denied  int    // tokens that were refused in a row
	looking bool   // a second look was asked for and not given
	want    int64  // the revision that the member has come to, as far as that was told
}

// New makes a source.
func New(set Settings, c clock.Clock, log *slog.Logger, sink Sink) *Source {
	return &Source{Clock: c, Log: log, Sink: sink, set: &set, next: make(chan struct{}), look: make(chan struct{}, 1),
		tracker: tracker(&set), history: set.History}
}

func tracker(set *Settings) *Tracker {
	cluster, _ := ClusterID(set.History) // 0 without one: who reads the options checks them
	return NewTracker(set.Prefix, set.MaxHosts, cluster)
}

// epoch names the history that the tracker follows.
func (s *Source) epoch() string {
	return cmp.Or(s.history, s.tracker.Epoch())
}

// Set has the source go on with other settings. Another prefix or cluster begins with a new list.
func (s *Source) SetSettings(set Settings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set = &set
	close(s.next)
	s.next = make(chan struct{})
}

// Look has the sink told the list once it was read anew.
func (s *Source) RequestReread() {
	select {
	case s.look <- struct{}{}:
	default:
	}
}

func (s *Source) settings() (*Settings, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set, s.next
}

var (
	errSettings  = errors.New("there are other settings")
	errSilent    = errors.New("the watch says nothing")
	errCompacted = errors.New("the history since then was compacted")
)

// Run reads and watches until ctx ends.
func (s *Source) Run(ctx context.Context) {
	set, changed := s.settings()
	pause, failed := 0.0, 0
	for ctx.Err() == nil {
		select {
		case <-changed:
			old := set
			if set, changed = s.settings(); set.Prefix != old.Prefix || set.History != old.History || set.MaxHosts != old.MaxHosts {
				s.tracker, s.history, s.dirty = tracker(set), set.History, false
			}
			s.turn, pause, failed = 0, 0, 0
		default:
		}
		addr := set.Endpoints[s.turn%len(set.Endpoints)]
		began := s.Clock.Now()
		err := s.serve(ctx, set, changed, addr)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errSettings) {
			continue
		}
		if s.Clock.Now()-began >= set.LastPause { // else it may be that each try ends like this
			pause, failed = 0, 0
		}
		s.dirty = s.dirty || errors.Is(err, errCompacted) || errors.Is(err, ErrMissedChange) || errors.Is(err, ErrTooManyKeys)
		if denied(err) {
			if s.denied++; s.denied == 1 {
				continue // with a new token
			}
		}
		s.turn++
		s.Sink.Unavailable(err)
		if failed++; failed >= len(set.Endpoints) { // none of them is left to try at once
			failed = 0
			pause = min(max(2*pause, set.FirstPause), set.LastPause)
			s.warn(addr, err, pause)
			s.wait(ctx, pause, changed)
			continue
		}
		s.warn(addr, err, 0)
	}
}

func (s *Source) warn(addr string, err error, pause float64) {
	switch {
	case errors.Is(err, errCompacted) || errors.Is(err, ErrMissedChange):
		s.Log.Warn("changes in etcd were missed: the list is read anew", "endpoint", addr, "error", err)
		return
	case errors.Is(err, ErrForeignHistory) || errors.Is(err, ErrBehind):
		s.Log.Error("etcd shows what cannot follow from what was seen: nothing of it is taken", "endpoint", addr, "error", err,
			"again_ms", pause)
		return
	}
	s.Log.Warn("etcd cannot be asked: the last list stays", "endpoint", addr, "error", err, "again_ms", pause)
}

func (s *Source) wait(ctx context.Context, ms float64, changed <-chan struct{}) {
	over := make(chan struct{})
	defer s.Clock.At(s.Clock.Now()+ms, func() { close(over) })()
	select {
	case <-over:
	case <-changed:
	case <-ctx.Done():
	}
}

// serve works with one member until that ends.
func (s *Source) serve(ctx context.Context, set *Settings, changed <-chan struct{}, addr string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c, err := s.connect(ctx, set, addr)
	if err != nil {
		return err
	}
	defer c.close()
	if err := s.begin(ctx, c); err != nil {
		return err
	}
	s.denied = 0
	s.current()
	w, err := s.open(ctx, c)
	if err != nil {
		return err
	}
	s.Log.Info("etcd is watched", "endpoint", addr, "revision", s.tracker.Revision(), "hosts", len(s.tracker.Hosts()))
	return s.follow(ctx, set, changed, c, w)
}

// begin sees to it that the tracker has all up to a revision that the member knows.
func (s *Source) begin(ctx context.Context, c *conn) error {
	if s.tracker.Revision() > 0 && !s.dirty {
		check := s.tracker.BeginCheck()
		header, kvs, err := c.all(ctx, check.Revision, true)
		if err == nil {
			err = s.tracker.FinishCheck(check, header, kvs)
		}
		if err == nil {
			s.want = header.Revision // what has changed since then comes first
			return nil
		}
		if is(err, rpctypes.ErrGRPCFutureRev) {
			err = fmt.Errorf("%w: revision %d is yet to come there", ErrBehind, check.Revision)
		}
		if !errors.Is(err, ErrMissedChange) && !is(err, rpctypes.ErrGRPCCompacted) {
			return err
		}
	}
	header, kvs, err := c.all(ctx, 0, false)
	if err != nil {
		return err
	}
	u, err := s.tracker.ApplyList(header, header.GetRevision(), kvs)
	if err != nil {
		return err
	}
	s.dirty, s.want = false, u.Revision
	s.update(u)
	return nil
}

func (s *Source) update(u Update) {
	if len(u.Unusable) > 0 {
		s.Log.Warn("values in etcd cannot be used: these hosts stay as they were", "count", len(u.Unusable),
			"first", u.Unusable[:min(len(u.Unusable), mostTold)])
	}
	s.Sink.Update(s.epoch(), u)
}

// mostTold is how many of an update's bad values the log has a reason for.
const mostTold = 8

// open begins the watch at the revision after the last that was seen.
func (s *Source) open(ctx context.Context, c *conn) (etcdserverpb.Watch_WatchClient, error) {
	w, err := etcdserverpb.NewWatchClient(c.grpc).Watch(c.context(ctx))
	if err == nil {
		err = w.Send(&etcdserverpb.WatchRequest{RequestUnion: &etcdserverpb.WatchRequest_CreateRequest{
			CreateRequest: &etcdserverpb.WatchCreateRequest{Key: []byte(c.prefix), RangeEnd: prefixEnd(c.prefix),
				StartRevision: s.tracker.Revision() + 1, ProgressNotify: true, Fragment: true}}})
	}
	if err == nil {
		err = w.Send(howFar)
	}
	if err != nil {
		return nil, fmt.Errorf("watching: %w", err)
	}
	return w, nil
}

// howFar asks how far a watch has come.
var howFar = &etcdserverpb.WatchRequest{RequestUnion: &etcdserverpb.WatchRequest_ProgressRequest{
	ProgressRequest: &etcdserverpb.WatchProgressRequest{}}}

// heard is what comes of a watch.
type heard struct {
	r   *etcdserverpb.WatchResponse
	err error
}

// proof is what came of a check.
type proof struct {
	check  *Check
	header *etcdserverpb.ResponseHeader
	kvs    []*mvccpb.KeyValue
	err    error
	look   bool
}

// follow takes what a watch tells until it breaks.
func (s *Source) follow(ctx context.Context, set *Settings, changed <-chan struct{}, c *conn, w etcdserverpb.Watch_WatchClient) error {
	// Not to wait for a word that nobody takes any more, each goroutine ends with the connection.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	words, proofs := make(chan heard), make(chan proof)
	go receive(ctx, w, words)
	ask, stopAsk := s.tick(set.ProgressInterval)
	defer func() { stopAsk() }()
	check, stopCheck := s.tick(set.CheckInterval)
	defer func() { stopCheck() }()
	var parts []*mvccpb.Event
	last, checking := s.Clock.Now(), false
	prove := func() {
		if checking {
			return
		}
		checking = true
		p := proof{check: s.tracker.BeginCheck(), look: s.looking}
		go func() {
			p.header, p.kvs, p.err = c.all(ctx, p.check.Revision, true)
			select {
			case proofs <- p:
			case <-ctx.Done():
			}
		}()
	}
	for {
		select {
		case h := <-words:
			if h.err != nil {
				return fmt.Errorf("the watch ended: %w", h.err)
			}
			last = s.Clock.Now()
			parts = append(parts, h.r.Events...)
			if h.r.Fragment {
				continue
			}
			if err := s.word(h.r, parts); err != nil {
				return err
			}
			parts = nil
			if s.looking { // it may be far enough now
				prove()
			}
		case <-ask:
			if s.Clock.Now()-last >= set.SilenceTimeout {
				return errSilent
			}
			ask, stopAsk = s.tick(set.ProgressInterval)
			if err := w.Send(howFar); err != nil {
				return fmt.Errorf("asking how far the watch is: %w", err)
			}
		case <-check:
			check, stopCheck = s.tick(set.CheckInterval)
			prove()
		case <-s.look:
			s.looking = true
			prove()
		case p := <-proofs:
			checking = false
			if is(p.err, rpctypes.ErrGRPCCompacted) { // meanwhile; the watch will soon be further
				continue
			}
			if err := s.proved(p); err != nil {
				return err
			}
			if s.looking { // asked for while the check was on
				prove()
			}
		case <-changed:
			return errSettings
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// receive hands on what a watch says until it breaks or ctx ends.
func receive(ctx context.Context, w etcdserverpb.Watch_WatchClient, words chan<- heard) {
	for {
		r, err := w.Recv()
		select {
		case words <- heard{r, err}:
		case <-ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// tick gives a channel that is closed after so many milliseconds.
func (s *Source) tick(ms float64) (<-chan struct{}, func()) {
	c := make(chan struct{})
	return c, s.Clock.At(s.Clock.Now()+ms, func() { close(c) })
}

// word takes one response of a watch with all of its events.
func (s *Source) word(r *etcdserverpb.WatchResponse, events []*mvccpb.Event) error {
	switch {
	case r.CompactRevision > 0:
		return fmt.Errorf("%w: up to %d", errCompacted, r.CompactRevision-1)
	case r.Canceled:
		return fmt.Errorf("the watch was cancelled: %w", errors.New(r.CancelReason))
	case r.Created:
		return nil
	}
	if len(events) == 0 {
		if err := s.tracker.ApplyProgress(r.Header); err != nil {
			return err
		}
		s.current()
		return nil
	}
	list, err := s.tracker.ApplyEvents(r.Header, events)
	for _, u := range list {
		s.update(u)
	}
	if err == nil {
		s.current()
	}
	return err
}

// current tells, if it is so, that what was told is all there is.
func (s *Source) current() {
	if s.tracker.Revision() >= s.want {
		s.Sink.UpToDate()
	}
}

// proved takes what came of a check.
func (s *Source) proved(p proof) error {
	err := p.err
	if err == nil {
		err = s.tracker.FinishCheck(p.check, p.header, p.kvs)
	}
	if err == nil && p.look {
		s.looking = false
		s.Sink.Reread(s.epoch(), Update{Whole: true, Revision: s.tracker.Revision(), Hosts: s.tracker.Hosts()})
	}
	return err
}
