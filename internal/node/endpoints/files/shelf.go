// Package files keeps a list of hosts that others write into a file or a folder of files.
//
// A version is read whole, checked, and taken whole or refused whole. A file whose count or checksum proves it whole is
// taken at once, another once it has not changed for a moment: a file that is cut off at the end of a line looks like a
// shorter one. A file with an index is never followed by an older one, nor by another with that index.
//
// Parse and Shelf are pure; Watcher, beside them, has the folder's notifications, the slow poll and the reading. Bounds:
// MostFiles files, and so many bytes in all as the watcher is told, of which one version is kept in memory while it is
// read; of each file that was ever there the index, up to MostFiles of them.
package files

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"path/filepath"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"linenwheel.dev/linenwheel/internal/node/dispatch"
	"linenwheel.dev/linenwheel/internal/node/endpoints/merge"
)

// MostFiles is how many files a folder may hold.
const MostFiles = 1024

// Part is a file as it was read.
type Part struct {
	Path string
	Text []byte
}

// Reading is what becomes of what was read.
type Reading struct {
	Version *merge.Version // to be taken; Taken or Refused is to be told then
	Err     error          // it cannot be used, told once
	Since   float64        // with Err, or while that lasts: when it was first so; else 0
	Again   float64        // when it is to be read again, whatever is heard of it; +Inf = not for this
}

// Shelf remembers what was read.
type Shelf struct {
	known  Known
	settle float64
	single bool // one file rather than a folder: its index is the list's revision
	seen   map[string]mark
	taken  uint64 // the sum of the version that was
	any    bool   // there is one
	last   candidate
	look   bool // a second look was asked for and not given
}

// mark is what the version that was taken had of a file.
type mark struct {
	sum, index uint64
	absent     bool
}

// candidate is what was read last.
type candidate struct {
	sum    uint64
	since  float64
	good   bool // it was put together
	next   map[string]mark
	v      merge.Version
	sealed bool
	err    error
	told   bool // its fault was
}

// NewShelf makes an empty shelf. Settle is for how long, in milliseconds, what proves nothing must be the same.
func NewShelf(known Known, settle float64, single bool) *Shelf {
	return &Shelf{known: known, settle: settle, single: single, seen: map[string]mark{}}
}

// Read takes what was read, in the order of the paths, or why it could not be. With look a second look is asked for: the
// next version is one, even if it is known.
func (s *Shelf) Read(now float64, parts []Part, err error, look bool) Reading {
	s.look = s.look || look
	sum := digest(parts, err)
	if s.last.sum != sum || s.last.since == 0 {
		s.last = candidate{sum: sum, since: now}
	}
	c := &s.last
	if s.any && sum == s.taken && err == nil {
		c.good, c.err = true, nil
		if !s.look {
			return Reading{Again: math.Inf(1)}
		}
	}
	if c.err == nil && (!c.good || s.look) {
		if c.err = err; err == nil {
			c.err = s.gather(c, parts)
		}
		c.good = true
	}
	quiet := now >= c.since+s.settle
	switch {
	case !quiet && (c.err != nil || !c.sealed) && !(s.any && sum == s.taken):
		return Reading{Again: c.since + s.settle}
	case c.err != nil:
		r := Reading{Since: c.since, Again: math.Inf(1)}
		if !c.told {
			c.told, r.Err = true, c.err
		}
		return r
	}
	v := c.v
	v.Reread, s.look = s.look, false
	return Reading{Version: &v, Again: math.Inf(1)}
}

// Taken tells that the version that Read gave holds.
func (s *Shelf) Taken() {
	s.taken, s.any = s.last.sum, true
	for path, m := range s.seen {
		if _, ok := s.last.next[path]; !ok && len(s.last.next) < MostFiles {
			m.absent = true
			s.last.next[path] = m
		}
	}
	s.seen = s.last.next
}

// Refused tells that it was refused for good.
func (s *Shelf) Refused(err error) { s.last.err, s.last.told = err, true }

func digest(parts []Part, err error) uint64 {
	d := xxhash.New()
	for _, p := range parts {
		fmt.Fprintf(d, "%s\x00%d\x00", p.Path, len(p.Text))
		_, _ = d.Write(p.Text)
	}
	if err != nil {
		fmt.Fprintf(d, "\x01%v", err)
	}
	return d.Sum64()
}

// gather puts one version together.
func (s *Shelf) gather(c *candidate, parts []Part) error {
	c.next = map[string]mark{}
	c.sealed = true
	c.v = merge.Version{Whole: true}
	meant, changed := true, false
	from := map[string]string{}
	for _, p := range parts {
		l, err := Parse(p.Path, p.Text, s.known)
		if err != nil {
			return err
		}
		m := mark{sum: xxhash.Sum64(p.Text), index: l.Index}
		if old, known := s.seen[p.Path]; known && old.sum == m.sum && !old.absent {
			// Not a word about what others have changed.
		} else if err := old.before(m, known); err != nil {
			return fmt.Errorf("%s: %w", p.Path, err)
		} else {
			c.sealed = c.sealed && l.Sealed
			meant, changed = meant && l.Meant, true
		}
		c.next[p.Path] = m
		for _, h := range l.Hosts {
			for _, what := range []string{"name " + h.Name, "address " + h.Address} {
				if other, twice := from[what]; twice {
					return fmt.Errorf("%s: the %s stands in %s too", p.Path, what, other)
				}
				from[what] = p.Path
			}
		}
		c.v.Hosts = append(c.v.Hosts, l.Hosts...)
		if s.single {
			c.v.Revision.Number = l.Index
		}
	}
	for path, m := range s.seen {
		if _, ok := c.next[path]; !ok && !m.absent { // a file that is gone confirms nothing, nor is it whole for sure
			meant, changed, c.sealed = false, true, false
		}
	}
	c.v.Confirmed = meant && changed
	if len(c.v.Hosts) > s.known.Most {
		return fmt.Errorf("%d endpoints in all, at most %d can be taken", len(c.v.Hosts), s.known.Most)
	}
	slices.SortFunc(c.v.Hosts, func(a, b dispatch.Host) int { return cmp.Compare(a.Name, b.Name) })
	return nil
}

// before tells whether a file may be followed by another version of it.
func (m mark) before(next mark, known bool) error {
	switch {
	case !known || next.index > m.index || next.index == 0 && m.index == 0:
		return nil
	case next.index == 0:
		return fmt.Errorf("has no index, after %d", m.index)
	case next.index < m.index:
		return fmt.Errorf("index went back from %d to %d", m.index, next.index)
	case next.sum != m.sum:
		return fmt.Errorf("other content at index %d", m.index)
	}
	return nil
}

// isList tells whether a file of a folder is one of a list, by its name.
func isList(name string) bool {
	ext := filepath.Ext(name)
	return !strings.HasPrefix(name, ".") && (ext == ".toml" || ext == ".json")
}

var errNoFile = errors.New("the folder holds no list: no .toml, no .json")
