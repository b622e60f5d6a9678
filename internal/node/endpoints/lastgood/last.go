// Package lastgood keeps the last good list of hosts in a file, for a start at which no source of the list can be asked.
//
// The file is one line that names the form, its version, the length and the checksum (see store.Form), and one JSON object. It
// is replaced as a whole. A list is at most maxBytes long; that of a fleet of ten thousand takes 1.5 MB.
package lastgood

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"sync"
	"syscall"

	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/node/dispatch"
	"linenwheel.dev/linenwheel/internal/node/endpoints/entryformat"
	"linenwheel.dev/linenwheel/internal/node/statedir"
)

const maxBytes = 64 << 20

var fileForm = statedir.Form{Magic: "linenwheel inventory", What: "list of a node", Version: 1}

// Record is what is kept.
type Record struct {
	Node     string              `json:"node"`
	Changed  float64             `json:"changed"`  // when the list was changed last, milliseconds since the Unix epoch
	Followed string              `json:"followed"` // the source that it came from
	Sources  []Position          `json:"sources"`  // what each had come to
	Entries  []entryformat.Entry `json:"endpoints"`
}

// Position is a source's place in its history.
type Position struct {
	Source string `json:"source"`
	Epoch  string `json:"epoch,omitempty"`
	Number uint64 `json:"number"`
}

// Set gives the record a list of hosts.
func (r *Record) Set(hosts []dispatch.Host) {
	r.Entries = make([]entryformat.Entry, len(hosts))
	for i, h := range hosts {
		r.Entries[i] = entryformat.Of(h)
	}
}

// Hosts gives the list.
func (r *Record) Hosts() (hosts []dispatch.Host, err error) {
	for i := range r.Entries {
		h, err := r.Entries[i].Host()
		if err != nil {
			return nil, fmt.Errorf("entry %d: %w", i+1, err)
		}
		hosts = append(hosts, h)
	}
	return hosts, nil
}

// Load reads a node's record; nil if there is none.
func Load(path, node string) (*Record, error) {
	text, err := statedir.ReadFile(path, maxBytes)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	var r Record
	var body []byte
	if err == nil {
		body, _, err = fileForm.Decode(text[:min(len(text), maxBytes)])
	}
	if err == nil {
		err = json.Unmarshal(body, &r)
	}
	if err == nil {
		_, err = r.Hosts()
	}
	if err == nil && r.Node != node {
		err = fmt.Errorf("it is of node %q", r.Node)
	}
	if err != nil {
		return nil, fmt.Errorf("the list kept at %s: %w", path, err)
	}
	return &r, nil
}

// Save keeps a record unless one that is newer, or as new, is there: of two processes that serve one after the other
// the earlier may be the last to write.
func Save(path string, r Record) error {
	lock, err := os.OpenFile(path+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err == nil {
		defer func() { _ = lock.Close() }() // it is empty
		err = syscall.Flock(int(lock.Fd()), syscall.LOCK_EX)
	}
	if err != nil {
		return err
	}
	if old, err := Load(path, r.Node); err == nil && old != nil && old.Changed >= r.Changed {
		return nil
	}
	body, err := json.Marshal(r)
	if err == nil && len(body) > maxBytes-1<<10 {
		err = fmt.Errorf("%d bytes are more than a list may have", len(body))
	}
	if err != nil {
		return err
	}
	return statedir.WriteFileAtomic(path, fileForm.Encode(body))
}

// Writer keeps what changes.
type Writer struct {
	Path  string
	Every func() float64 // the least time between two writes, milliseconds
	Clock clock.Clock
	Log   *slog.Logger
	Take  func() Record

	once    sync.Once
	changed chan struct{}
}

// Changed tells that there is something new.
func (w *Writer) Changed() {
	select {
	case w.news() <- struct{}{}:
	default:
	}
}

func (w *Writer) news() chan struct{} {
	w.once.Do(func() { w.changed = make(chan struct{}, 1) })
	return w.changed
}

// Run writes until ctx ends, and what is new then.
func (w *Writer) Run(ctx context.Context) {
	for {
		select {
		case <-w.news():
			w.write()
		case <-ctx.Done():
			select {
			case <-w.news():
				w.write()
			default:
			}
			return
		}
		over := make(chan struct{})
		stop := w.Clock.At(w.Clock.Now()+w.Every(), func() { close(over) })
		select {
		case <-over:
		case <-ctx.Done():
		}
		stop()
	}
}

func (w *Writer) write() {
	if err := Save(w.Path, w.Take()); err != nil {
		w.Log.Warn("the last good list is not kept", "path", w.Path, "error", err)
	}
}
