package files

import (
	"context"
	"log/slog"
	"math"
	"slices"
	"sync"

	"github.com/fsnotify/fsnotify"

	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/node/endpoints/merge"
)

// Sink receives the versions and the state of a source.
type Sink interface {
	Apply(...merge.Version) error // an error = rejected for good
	NoChange(away float64)        // nothing new; away is since when the origin has been unreachable, 0 = reachable
	Unreachable(since float64)    // the list cannot be read or is invalid since a time
}

// firstReadTimeout is how long OnFirstRead may be delayed, in milliseconds.
const firstReadTimeout = 1000

// Limits can be changed while a watcher runs. Times are in milliseconds.
type Limits struct {
	PollInterval float64 // between two reads without a notification, in case notifications are lost
}

// Watcher reads a file or folder whenever it changes and reports to a Sink.
type Watcher struct {
	Path        string
	Single      bool // Path is one file, not a folder
	Constraints Constraints
	MaxBytes    int     // of all files together
	Settle      float64 // milliseconds for which a file without a count or checksum must not have changed
	Limits      Limits  // initial values; changed by SetLimits
	Clock       clock.Clock
	Log         *slog.Logger
	Sink        Sink
	OnFirstRead func() // called once, when the first content was accepted or found invalid; may be nil

	mu     sync.Mutex
	wake   chan struct{}
	reread bool // a re-read was requested
	watch  *fsnotify.Watcher
}

// SetLimits replaces the limits; they apply from the next read.
func (w *Watcher) SetLimits(l Limits) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Limits = l
}

// RequestReread requests that the list is read again and reported as a re-read.
func (w *Watcher) RequestReread() {
	w.mu.Lock()
	w.reread = true
	w.mu.Unlock()
	w.wakeUp()
}

func (w *Watcher) wakeUp() {
	select {
	case w.signal() <- struct{}{}:
	default:
	}
}

// signal returns the channel that wakes the watcher.
func (w *Watcher) signal() chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.wake == nil {
		w.wake = make(chan struct{}, 1)
	}
	return w.wake
}

// Run watches until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	var err error
	if w.watch, err = fsnotify.NewWatcher(); err != nil {
		w.Log.Warn("no notifications for changes of the list files: polling only", "path", w.Path,
			"error", err)
	} else {
		var done sync.WaitGroup
		done.Go(w.forwardEvents)
		defer done.Wait()
		defer func() { _ = w.watch.Close() }() // the watch ends here
	}
	validator, start := NewValidator(w.Constraints, w.Settle, w.Single), w.Clock.Now()
	for {
		w.updateWatches()
		readAgainAt := w.read(validator)
		// Waits for a file that may still be written to, but only for a limited time.
		if w.OnFirstRead != nil && (math.IsInf(readAgainAt, 1) || w.Clock.Now() >= start+firstReadTimeout) {
			w.OnFirstRead()
			w.OnFirstRead = nil
		}
		w.mu.Lock()
		next := min(readAgainAt, w.Clock.Now()+w.Limits.PollInterval)
		w.mu.Unlock()
		stop := w.Clock.At(next, w.wakeUp)
		select {
		case <-w.signal():
			stop()
		case <-ctx.Done():
			stop()
			return
		}
	}
}

// forwardEvents wakes the watcher on any event: only the content that is read then matters.
func (w *Watcher) forwardEvents() {
	for {
		select {
		case e, ok := <-w.watch.Events:
			if !ok {
				return
			}
			if e.Op != fsnotify.Chmod { // affects neither names nor content
				w.wakeUp()
			}
		case _, ok := <-w.watch.Errors: // for example an overflow of the event queue
			if !ok {
				return
			}
			w.wakeUp()
		}
	}
}

// updateWatches watches the folders in which a change can make the path refer to different content.
func (w *Watcher) updateWatches() {
	if w.watch == nil {
		return
	}
	want, have := WatchDirs(w.Path), w.watch.WatchList()
	for _, dir := range have {
		if !slices.Contains(want, dir) {
			_ = w.watch.Remove(dir) // fails if the folder was deleted
		}
	}
	for _, dir := range want {
		if err := w.watch.Add(dir); err != nil {
			w.Log.Warn("no notifications for changes of the list files: polling only", "path", dir,
				"error", err)
		}
	}
}

// read reads the files once and returns when to read them again even without a notification.
func (w *Watcher) read(validator *Validator) (readAgainAt float64) {
	w.mu.Lock()
	reread := w.reread
	w.reread = false
	w.mu.Unlock()
	parts, err := Read(w.Path, w.MaxBytes)
	now := w.Clock.Now()
	r := validator.Check(now, parts, err, reread)
	switch {
	case r.Version != nil:
		r.Version.Revision.Epoch = w.Path
		if err := w.Sink.Apply(*r.Version); err != nil {
			validator.Rejected(err)
			r.Err = err
			w.Sink.Unreachable(now)
		} else {
			validator.Accepted()
		}
	case r.FailingSince > 0:
		w.Sink.Unreachable(r.FailingSince)
	case math.IsInf(r.ReadAgainAt, 1):
		w.Sink.NoChange(0)
	}
	if r.Err != nil {
		w.Log.Warn("the list in files is unusable: keeping the last one", "path", w.Path, "error", r.Err)
	}
	return r.ReadAgainAt
}
