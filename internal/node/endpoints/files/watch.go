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

// Sink is who takes what a source says.
type Sink interface {
	Apply(...merge.Version) error // an error = refused for good
	NoChange(away float64)        // nothing new; since a time there was no word, 0 = there is
	Unreachable(since float64)
}

// firstLimit is how long, in milliseconds, the first list may be waited for.
const firstLimit = 1000

// Limits are what may change while the watch goes on, in milliseconds.
type Limits struct {
	PollInterval float64 // between two looks of its own, should notifications be lost
}

// Watcher keeps a sink told of a file or folder.
type Watcher struct {
	Path        string
	Single      bool // it is one file
	Constraints Constraints
	MaxBytes    int // bytes
	Settle      float64
	Limits      Limits // at the start; SetLimits changes them
	Clock       clock.Clock
	Log         *slog.Logger
	Sink        Sink
	OnFirstRead func() // called once, when it is known what the files hold first, or that they are of no use; may be nil

	mu    sync.Mutex
	wake  chan struct{}
	look  bool // a second look was asked for
	watch *fsnotify.Watcher
}

// SetLimits changes the limits from the next look on.
func (w *Watcher) SetLimits(l Limits) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Limits = l
}

// RequestReread asks for the list to be read anew and told as a second look.
func (w *Watcher) RequestReread() {
	w.mu.Lock()
	w.look = true
	w.mu.Unlock()
	w.poke()
}

func (w *Watcher) poke() {
	select {
	case w.signal() <- struct{}{}:
	default:
	}
}

// signal is where the watch is woken.
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
		w.Log.Warn("changes of the list's files are not notified: they are looked at from time to time", "path", w.Path,
			"error", err)
	} else {
		var done sync.WaitGroup
		done.Go(w.notified)
		defer done.Wait()
		defer func() { _ = w.watch.Close() }() // nothing of it is needed any more
	}
	validator, start := NewValidator(w.Constraints, w.Settle, w.Single), w.Clock.Now()
	for {
		w.follow()
		again := w.read(validator)
		// A file that may still be written to is waited for, but not for ever.
		if w.OnFirstRead != nil && (math.IsInf(again, 1) || w.Clock.Now() >= start+firstLimit) {
			w.OnFirstRead()
			w.OnFirstRead = nil
		}
		w.mu.Lock()
		next := min(again, w.Clock.Now()+w.Limits.PollInterval)
		w.mu.Unlock()
		stop := w.Clock.At(next, w.poke)
		select {
		case <-w.signal():
			stop()
		case <-ctx.Done():
			stop()
			return
		}
	}
}

// notified passes on that something has changed, whatever it is: what counts is what is read then.
func (w *Watcher) notified() {
	for {
		select {
		case e, ok := <-w.watch.Events:
			if !ok {
				return
			}
			if e.Op != fsnotify.Chmod { // neither a name nor a content
				w.poke()
			}
		case _, ok := <-w.watch.Errors: // such as too many events at once
			if !ok {
				return
			}
			w.poke()
		}
	}
}

// follow has the folders watched in which something can change what the path is.
func (w *Watcher) follow() {
	if w.watch == nil {
		return
	}
	want, have := WatchDirs(w.Path), w.watch.WatchList()
	for _, dir := range have {
		if !slices.Contains(want, dir) {
			_ = w.watch.Remove(dir) // it may have gone with its folder
		}
	}
	for _, dir := range want {
		if err := w.watch.Add(dir); err != nil {
			w.Log.Warn("changes of the list's files are not notified: they are looked at from time to time", "path", dir,
				"error", err)
		}
	}
}

// read looks once, and gives when to look again whatever is heard.
func (w *Watcher) read(validator *Validator) (again float64) {
	w.mu.Lock()
	look := w.look
	w.look = false
	w.mu.Unlock()
	parts, err := Read(w.Path, w.MaxBytes)
	now := w.Clock.Now()
	r := validator.Check(now, parts, err, look)
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
		w.Log.Warn("the list in files cannot be used: the last one stays", "path", w.Path, "error", r.Err)
	}
	return r.ReadAgainAt
}
