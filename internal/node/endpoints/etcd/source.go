// Package etcd reads the list of hosts from the keys under a prefix of an etcd cluster, and watches them.
//
// It lists at a revision and watches from the next one. After a broken stream it compares its keys with those of
// the cluster at the last revision seen, and resumes the watch; after a compaction it lists again. A revision
// never goes back, and data from another history, which is that of another cluster or of a backup, is rejected.
//
// Tracker, which decides what may follow from what was seen, is pure. Source, which uses it, has the connections,
// the clock and the log. It uses the gRPC service from etcd's own definitions; docs/design/inventory.md says why
// it does not use etcd's client. This package and its dependencies are kept out of the node.
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

// Settings are the settings of a Source. Times are in milliseconds.
type Settings struct {
	Endpoints      []string // host:port, tried in turn
	Prefix         string
	User, Password string      // empty = none
	TLS            *tls.Config // nil = none
	History        string      // the only one accepted, see ClusterID; empty = that of the first cluster seen
	MaxHosts       int
	Dial           func(context.Context, string) (net.Conn, error) // nil = TCP

	CallTimeout      float64 // for one call
	ProgressInterval float64 // between two progress requests on a watch
	SilenceTimeout   float64 // a watch without a message for this long is broken
	CheckInterval    float64 // between two checks that no change was missed
	FirstPause       float64 // after all endpoints have failed; doubled after each further round
	LastPause        float64 // upper bound of the doubling
}

// Sink receives what a Source reads. Calls come one after the other.
type Sink interface {
	Update(epoch string, u Update) // the list, or the changes in it; more may follow at once
	UpToDate()                     // everything up to the cluster's present revision was delivered
	Unavailable(err error)         // the cluster cannot be read
	Reread(epoch string, u Update) // the list, read again because RequestReread was called
}

// Source reads and watches a list.
type Source struct {
	Clock clock.Clock
	Log   *slog.Logger
	Sink  Sink

	mu              sync.Mutex
	current         *Settings
	settingsChanged chan struct{} // closed when there are new settings
	rereadRequests  chan struct{}

	tracker        *Tracker
	history        string // the one that the settings name for this tracker
	needsList      bool   // the tracker has missed a change and needs the whole list
	endpointIndex  int    // index of the current endpoint, modulo their number
	authFailures   int    // rejected tokens in a row
	rereadPending  bool   // a re-read was requested and not delivered yet
	targetRevision int64  // the latest revision of the member, as far as known
}

// New returns a source. Run starts it.
func New(set Settings, c clock.Clock, log *slog.Logger, sink Sink) *Source {
	return &Source{Clock: c, Log: log, Sink: sink, current: &set, settingsChanged: make(chan struct{}), rereadRequests: make(chan struct{}, 1),
		tracker: newTracker(&set), history: set.History}
}

func newTracker(set *Settings) *Tracker {
	cluster, _ := ClusterID(set.History) // 0 if there is none: reading the options has checked it
	return NewTracker(set.Prefix, set.MaxHosts, cluster)
}

// epoch returns the name of the history that the tracker follows.
func (s *Source) epoch() string {
	return cmp.Or(s.history, s.tracker.Epoch())
}

// SetSettings changes the settings. Another prefix, history or maximum of hosts begins with a new list.
func (s *Source) SetSettings(set Settings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = &set
	close(s.settingsChanged)
	s.settingsChanged = make(chan struct{})
}

// RequestReread asks for the list to be read again and delivered to Sink.Reread.
func (s *Source) RequestReread() {
	select {
	case s.rereadRequests <- struct{}{}:
	default:
	}
}

func (s *Source) settings() (*Settings, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current, s.settingsChanged
}

var (
	errSettingsChanged = errors.New("there are other settings")
	errSilentWatch     = errors.New("the watch says nothing")
	errCompacted       = errors.New("the history since then was compacted")
)

// Run reads and watches until ctx ends.
func (s *Source) Run(ctx context.Context) {
	set, changed := s.settings()
	pause, failures := 0.0, 0
	for ctx.Err() == nil {
		select {
		case <-changed:
			old := set
			if set, changed = s.settings(); set.Prefix != old.Prefix || set.History != old.History || set.MaxHosts != old.MaxHosts {
				s.tracker, s.history, s.needsList = newTracker(set), set.History, false
			}
			s.endpointIndex, pause, failures = 0, 0, 0
		default:
		}
		addr := set.Endpoints[s.endpointIndex%len(set.Endpoints)]
		began := s.Clock.Now()
		err := s.watchMember(ctx, set, changed, addr)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errSettingsChanged) {
			continue
		}
		if s.Clock.Now()-began >= set.LastPause { // otherwise each attempt may fail like this
			pause, failures = 0, 0
		}
		s.needsList = s.needsList || errors.Is(err, errCompacted) || errors.Is(err, ErrMissedChange) || errors.Is(err, ErrTooManyKeys)
		if isAuthError(err) {
			if s.authFailures++; s.authFailures == 1 {
				continue // with a new token
			}
		}
		s.endpointIndex++
		s.Sink.Unavailable(err)
		if failures++; failures >= len(set.Endpoints) { // every endpoint has failed in this round
			failures = 0
			pause = min(max(2*pause, set.FirstPause), set.LastPause)
			s.logFailure(addr, err, pause)
			s.wait(ctx, pause, changed)
			continue
		}
		s.logFailure(addr, err, 0)
	}
}

func (s *Source) logFailure(addr string, err error, pause float64) {
	switch {
	case errors.Is(err, errCompacted) || errors.Is(err, ErrMissedChange):
		s.Log.Warn("changes in etcd were missed: reading the full list again", "endpoint", addr, "error", err)
		return
	case errors.Is(err, ErrForeignHistory) || errors.Is(err, ErrBehind):
		s.Log.Error("etcd returned state that contradicts what was seen before: ignoring it", "endpoint", addr, "error", err,
			"again_ms", pause)
		return
	}
	s.Log.Warn("etcd is unavailable: keeping the last list", "endpoint", addr, "error", err, "again_ms", pause)
}

func (s *Source) wait(ctx context.Context, ms float64, changed <-chan struct{}) {
	elapsed := make(chan struct{})
	defer s.Clock.At(s.Clock.Now()+ms, func() { close(elapsed) })()
	select {
	case <-elapsed:
	case <-changed:
	case <-ctx.Done():
	}
}

// watchMember reads from one member until that fails or the settings change.
func (s *Source) watchMember(ctx context.Context, set *Settings, changed <-chan struct{}, addr string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c, err := s.connect(ctx, set, addr)
	if err != nil {
		return err
	}
	defer c.close()
	if err := s.catchUp(ctx, c); err != nil {
		return err
	}
	s.authFailures = 0
	s.reportUpToDate()
	w, err := s.openWatch(ctx, c)
	if err != nil {
		return err
	}
	s.Log.Info("watching etcd", "endpoint", addr, "revision", s.tracker.Revision(), "hosts", len(s.tracker.Hosts()))
	return s.followWatch(ctx, set, changed, c, w)
}

// catchUp makes sure that the tracker has all changes up to a revision that the member knows.
func (s *Source) catchUp(ctx context.Context, c *conn) error {
	if s.tracker.Revision() > 0 && !s.needsList {
		check := s.tracker.BeginCheck()
		header, kvs, err := c.readAll(ctx, check.Revision, true)
		if err == nil {
			err = s.tracker.FinishCheck(check, header, kvs)
		}
		if err == nil {
			s.targetRevision = header.Revision // the changes since the check come first
			return nil
		}
		if isEtcdError(err, rpctypes.ErrGRPCFutureRev) {
			err = fmt.Errorf("%w: revision %d is yet to come there", ErrBehind, check.Revision)
		}
		if !errors.Is(err, ErrMissedChange) && !isEtcdError(err, rpctypes.ErrGRPCCompacted) {
			return err
		}
	}
	header, kvs, err := c.readAll(ctx, 0, false)
	if err != nil {
		return err
	}
	u, err := s.tracker.ApplyList(header, header.GetRevision(), kvs)
	if err != nil {
		return err
	}
	s.needsList, s.targetRevision = false, u.Revision
	s.deliver(u)
	return nil
}

func (s *Source) deliver(u Update) {
	if len(u.Unusable) > 0 {
		s.Log.Warn("unusable values in etcd: the affected hosts keep their previous state", "count", len(u.Unusable),
			"first", u.Unusable[:min(len(u.Unusable), maxLoggedValues)])
	}
	s.Sink.Update(s.epoch(), u)
}

// maxLoggedValues is how many of an update's unusable values are logged with their reason.
const maxLoggedValues = 8

// openWatch starts the watch at the revision after the last one seen.
func (s *Source) openWatch(ctx context.Context, c *conn) (etcdserverpb.Watch_WatchClient, error) {
	w, err := etcdserverpb.NewWatchClient(c.grpc).Watch(c.context(ctx))
	if err == nil {
		err = w.Send(&etcdserverpb.WatchRequest{RequestUnion: &etcdserverpb.WatchRequest_CreateRequest{
			CreateRequest: &etcdserverpb.WatchCreateRequest{Key: []byte(c.prefix), RangeEnd: prefixEnd(c.prefix),
				StartRevision: s.tracker.Revision() + 1, ProgressNotify: true, Fragment: true}}})
	}
	if err == nil {
		err = w.Send(progressRequest)
	}
	if err != nil {
		return nil, fmt.Errorf("watching: %w", err)
	}
	return w, nil
}

// progressRequest asks up to which revision a watch has delivered all changes.
var progressRequest = &etcdserverpb.WatchRequest{RequestUnion: &etcdserverpb.WatchRequest_ProgressRequest{
	ProgressRequest: &etcdserverpb.WatchProgressRequest{}}}

// watchMessage is a message of a watch, or the error that ended it.
type watchMessage struct {
	response *etcdserverpb.WatchResponse
	err      error
}

// checkResult holds the keys that were read for a check.
type checkResult struct {
	check  *Check
	header *etcdserverpb.ResponseHeader
	kvs    []*mvccpb.KeyValue
	err    error
	reread bool
}

// followWatch handles the messages of a watch until it fails.
func (s *Source) followWatch(ctx context.Context, set *Settings, changed <-chan struct{}, c *conn, w etcdserverpb.Watch_WatchClient) error {
	// The goroutines end with ctx, so that none waits to send a message that nobody receives.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	messages, results := make(chan watchMessage), make(chan checkResult)
	go receive(ctx, w, messages)
	progressDue, stopProgress := s.after(set.ProgressInterval)
	defer func() { stopProgress() }()
	checkDue, stopCheck := s.after(set.CheckInterval)
	defer func() { stopCheck() }()
	var fragments []*mvccpb.Event
	last, checking := s.Clock.Now(), false
	startCheck := func() {
		if checking {
			return
		}
		checking = true
		result := checkResult{check: s.tracker.BeginCheck(), reread: s.rereadPending}
		go func() {
			result.header, result.kvs, result.err = c.readAll(ctx, result.check.Revision, true)
			select {
			case results <- result:
			case <-ctx.Done():
			}
		}()
	}
	for {
		select {
		case message := <-messages:
			if message.err != nil {
				return fmt.Errorf("the watch ended: %w", message.err)
			}
			last = s.Clock.Now()
			fragments = append(fragments, message.response.Events...)
			if message.response.Fragment {
				continue
			}
			if err := s.handleResponse(message.response, fragments); err != nil {
				return err
			}
			fragments = nil
			if s.rereadPending { // the tracker may have reached the revision for it by now
				startCheck()
			}
		case <-progressDue:
			if s.Clock.Now()-last >= set.SilenceTimeout {
				return errSilentWatch
			}
			progressDue, stopProgress = s.after(set.ProgressInterval)
			if err := w.Send(progressRequest); err != nil {
				return fmt.Errorf("asking how far the watch is: %w", err)
			}
		case <-checkDue:
			checkDue, stopCheck = s.after(set.CheckInterval)
			startCheck()
		case <-s.rereadRequests:
			s.rereadPending = true
			startCheck()
		case result := <-results:
			checking = false
			if isEtcdError(result.err, rpctypes.ErrGRPCCompacted) { // compacted in the meantime; the watch will soon be further
				continue
			}
			if err := s.finishCheck(result); err != nil {
				return err
			}
			if s.rereadPending { // requested during the check
				startCheck()
			}
		case <-changed:
			return errSettingsChanged
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// receive sends the messages of a watch to a channel until the watch fails or ctx ends.
func receive(ctx context.Context, w etcdserverpb.Watch_WatchClient, messages chan<- watchMessage) {
	for {
		response, err := w.Recv()
		select {
		case messages <- watchMessage{response, err}:
		case <-ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// after returns a channel that is closed after a number of milliseconds, and a function that stops the timer.
func (s *Source) after(ms float64) (<-chan struct{}, func()) {
	c := make(chan struct{})
	return c, s.Clock.At(s.Clock.Now()+ms, func() { close(c) })
}

// handleResponse applies one response of a watch with all of its events.
func (s *Source) handleResponse(r *etcdserverpb.WatchResponse, events []*mvccpb.Event) error {
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
		s.reportUpToDate()
		return nil
	}
	list, err := s.tracker.ApplyEvents(r.Header, events)
	for _, u := range list {
		s.deliver(u)
	}
	if err == nil {
		s.reportUpToDate()
	}
	return err
}

// reportUpToDate tells the sink that it has everything, if the tracker has reached the target revision.
func (s *Source) reportUpToDate() {
	if s.tracker.Revision() >= s.targetRevision {
		s.Sink.UpToDate()
	}
}

// finishCheck handles the result of a check.
func (s *Source) finishCheck(result checkResult) error {
	err := result.err
	if err == nil {
		err = s.tracker.FinishCheck(result.check, result.header, result.kvs)
	}
	if err == nil && result.reread {
		s.rereadPending = false
		s.Sink.Reread(s.epoch(), Update{Whole: true, Revision: s.tracker.Revision(), Hosts: s.tracker.Hosts()})
	}
	return err
}
