// Package files reads a host list that other programs write into a file or into a folder of files.
//
// A version is read completely, validated, and accepted or rejected as a whole. A file that proves by a count or a
// checksum that it is complete is accepted at once. Any other file is accepted once it has not changed for the
// settle time, because a file that is cut off at the end of a line looks like a shorter list. A file with an index
// is never followed by one with a lower index, nor by different content with the same index.
//
// Parse and Validator are pure. Watcher does the I/O: it subscribes to notifications of the file system, polls at
// a low rate and reads the files. Bounds: MaxFiles files and Watcher.MaxBytes bytes in all, of which one version
// is kept in memory while it is read; and the index of each file that ever existed, for up to MaxFiles files.
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

// MaxFiles is the maximum number of list files in a folder.
const MaxFiles = 1024

// Part is the content of one file.
type Part struct {
	Path string
	Text []byte
}

// Result is the outcome of a check.
type Result struct {
	Version      *merge.Version // version to apply; the caller must then call Accepted or Rejected
	Err          error          // why the content is invalid; reported once
	FailingSince float64        // since when the content has been invalid; 0 = it is valid
	ReadAgainAt  float64        // when to read again, even without a notification; +Inf = not needed
}

// Validator decides which content of the files is accepted as a version of the list.
type Validator struct {
	constraints Constraints
	settle      float64
	single      bool                 // a single file, not a folder: its index is the list's revision
	accepted    map[string]fileState // by path, of the accepted version
	acceptedSum uint64               // digest of the accepted version
	any         bool                 // whether any version has been accepted
	last        candidate
	reread      bool // a re-read was requested and its result not returned yet
}

// fileState is the state of one file in the accepted version.
type fileState struct {
	sum, index uint64
	absent     bool // the file did not exist; its last index still counts
}

// candidate is the content that was read last.
type candidate struct {
	sum      uint64
	since    float64              // when this content was first read
	built    bool                 // version or err is set
	files    map[string]fileState // by path
	version  merge.Version
	verified bool // every changed file is verified, and none is missing
	err      error
	reported bool // err was returned
}

// NewValidator returns a validator that has accepted nothing yet. settle is for how many milliseconds content
// without a count or checksum must stay the same.
func NewValidator(constraints Constraints, settle float64, single bool) *Validator {
	return &Validator{constraints: constraints, settle: settle, single: single, accepted: map[string]fileState{}}
}

// Check validates the content that was read, the parts sorted by path, or records the error of the read. With
// reread the next version is returned as the result of a re-read, even if it has not changed.
func (s *Validator) Check(now float64, parts []Part, err error, reread bool) Result {
	s.reread = s.reread || reread
	sum := digest(parts, err)
	if s.last.sum != sum || s.last.since == 0 {
		s.last = candidate{sum: sum, since: now}
	}
	c := &s.last
	if s.any && sum == s.acceptedSum && err == nil {
		c.built, c.err = true, nil
		if !s.reread {
			return Result{ReadAgainAt: math.Inf(1)}
		}
	}
	if c.err == nil && (!c.built || s.reread) {
		if c.err = err; err == nil {
			c.err = s.build(c, parts)
		}
		c.built = true
	}
	settled := now >= c.since+s.settle
	switch {
	case !settled && (c.err != nil || !c.verified) && !(s.any && sum == s.acceptedSum):
		return Result{ReadAgainAt: c.since + s.settle}
	case c.err != nil:
		r := Result{FailingSince: c.since, ReadAgainAt: math.Inf(1)}
		if !c.reported {
			c.reported, r.Err = true, c.err
		}
		return r
	}
	v := c.version
	v.Reread, s.reread = s.reread, false
	return Result{Version: &v, ReadAgainAt: math.Inf(1)}
}

// Accepted records that the version that Check returned was applied.
func (s *Validator) Accepted() {
	s.acceptedSum, s.any = s.last.sum, true
	for path, m := range s.accepted {
		if _, ok := s.last.files[path]; !ok && len(s.last.files) < MaxFiles {
			m.absent = true
			s.last.files[path] = m
		}
	}
	s.accepted = s.last.files
}

// Rejected records that the version that Check returned was rejected for good.
func (s *Validator) Rejected(err error) { s.last.err, s.last.reported = err, true }

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

// build parses the parts and combines them into one version.
func (s *Validator) build(c *candidate, parts []Part) error {
	c.files = map[string]fileState{}
	c.verified = true
	c.version = merge.Version{Whole: true}
	confirmed, changed := true, false
	definedIn := map[string]string{}
	for _, p := range parts {
		l, err := Parse(p.Path, p.Text, s.constraints)
		if err != nil {
			return err
		}
		m := fileState{sum: xxhash.Sum64(p.Text), index: l.Index}
		if old, known := s.accepted[p.Path]; known && old.sum == m.sum && !old.absent {
			// An unchanged file neither confirms nor verifies what changed in the others.
		} else if err := old.checkSuccessor(m, known); err != nil {
			return fmt.Errorf("%s: %w", p.Path, err)
		} else {
			c.verified = c.verified && l.Verified
			confirmed, changed = confirmed && l.Confirmed, true
		}
		c.files[p.Path] = m
		for _, h := range l.Hosts {
			for _, key := range []string{"name " + h.Name, "address " + h.Address} {
				if other, duplicate := definedIn[key]; duplicate {
					return fmt.Errorf("%s: the %s is also in %s", p.Path, key, other)
				}
				definedIn[key] = p.Path
			}
		}
		c.version.Hosts = append(c.version.Hosts, l.Hosts...)
		if s.single {
			c.version.Revision.Number = l.Index
		}
	}
	for path, m := range s.accepted {
		if _, ok := c.files[path]; !ok && !m.absent { // a missing file neither confirms nor verifies the list
			confirmed, changed, c.verified = false, true, false
		}
	}
	c.version.Confirmed = confirmed && changed
	if len(c.version.Hosts) > s.constraints.MaxHosts {
		return fmt.Errorf("%d endpoints in all, at most %d are allowed", len(c.version.Hosts), s.constraints.MaxHosts)
	}
	slices.SortFunc(c.version.Hosts, func(a, b dispatch.Host) int { return cmp.Compare(a.Name, b.Name) })
	return nil
}

// checkSuccessor returns an error if next may not follow the accepted version of a file. known is false for a new
// file.
func (m fileState) checkSuccessor(next fileState, known bool) error {
	switch {
	case !known || next.index > m.index || next.index == 0 && m.index == 0:
		return nil
	case next.index == 0:
		return fmt.Errorf("has no index, but the accepted version had index %d", m.index)
	case next.index < m.index:
		return fmt.Errorf("index went back from %d to %d", m.index, next.index)
	case next.sum != m.sum:
		return fmt.Errorf("different content at the same index %d", m.index)
	}
	return nil
}

// isList reports by its name whether a file in a folder is part of the list.
func isList(name string) bool {
	ext := filepath.Ext(name)
	return !strings.HasPrefix(name, ".") && (ext == ".toml" || ext == ".json")
}

var errNoFile = errors.New("no .toml or .json file in the folder")
