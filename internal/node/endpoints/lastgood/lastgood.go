// Package lastgood keeps the last good host list in a file, for a start at which no source of the list is
// reachable.
//
// The file consists of one line with the format, its version, the length and the checksum (see statedir.Form), and
// one JSON object. It is always replaced as a whole. A list is at most maxBytes long; that of a fleet of ten
// thousand hosts takes 1.5 MB.
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

// Record is the content of the file.
type Record struct {
	Node     string              `json:"node"`
	Changed  float64             `json:"changed"`  // time of the last change of the list, milliseconds since the Unix epoch
	Followed string              `json:"followed"` // the source that the list came from
	Sources  []Position          `json:"sources"`  // last known position of each source
	Entries  []entryformat.Entry `json:"endpoints"`
}

// Position is a position in a source's history.
type Position struct {
	Source string `json:"source"`
	Epoch  string `json:"epoch,omitempty"`
	Number uint64 `json:"number"`
}

// SetHosts sets the list of hosts.
func (r *Record) SetHosts(hosts []dispatch.Host) {
	r.Entries = make([]entryformat.Entry, len(hosts))
	for i, h := range hosts {
		r.Entries[i] = entryformat.FromHost(h)
	}
}

// Hosts returns the list, or an error for the first invalid entry.
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

// Load reads a node's record. It returns nil without an error if the file does not exist, and an error if the file
// is damaged or belongs to another node.
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
		err = fmt.Errorf("it belongs to node %q", r.Node)
	}
	if err != nil {
		return nil, fmt.Errorf("last good list %s: %w", path, err)
	}
	return &r, nil
}

// Save writes a record unless the file holds one that is as new or newer: of two processes that serve one after
// the other, the earlier one may be the last to write.
func Save(path string, r Record) error {
	lock, err := os.OpenFile(path+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err == nil {
		defer func() { _ = lock.Close() }() // the lock file is empty, so there is nothing to lose
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
		err = fmt.Errorf("encoded list of %d bytes is too long", len(body))
	}
	if err != nil {
		return err
	}
	return statedir.WriteFileAtomic(path, fileForm.Encode(body))
}

// Writer saves the current record after changes.
type Writer struct {
	Path        string
	MinInterval func() float64 // minimum time between two writes, milliseconds
	Clock       clock.Clock
	Log         *slog.Logger
	Current     func() Record // returns the record to save

	once    sync.Once
	changed chan struct{}
}

// Changed schedules a write.
func (w *Writer) Changed() {
	select {
	case w.pending() <- struct{}{}:
	default:
	}
}

func (w *Writer) pending() chan struct{} {
	w.once.Do(func() { w.changed = make(chan struct{}, 1) })
	return w.changed
}

// Run writes until ctx ends, and then once more if a write is pending.
func (w *Writer) Run(ctx context.Context) {
	for {
		select {
		case <-w.pending():
			w.write()
		case <-ctx.Done():
			select {
			case <-w.pending():
				w.write()
			default:
			}
			return
		}
		elapsed := make(chan struct{})
		stop := w.Clock.At(w.Clock.Now()+w.MinInterval(), func() { close(elapsed) })
		select {
		case <-elapsed:
		case <-ctx.Done():
		}
		stop()
	}
}

func (w *Writer) write() {
	if err := Save(w.Path, w.Current()); err != nil {
		w.Log.Warn("cannot save the last good list", "path", w.Path, "error", err)
	}
}
