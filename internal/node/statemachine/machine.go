// Package statemachine is the machine that the agreed log's entries are applied to, the same on every member that keeps copies.
// It has a part for each thing that is held: members, sessions, the register. It is pure: no I/O, goroutine, lock or
// clock; the same entries give the same state, replies and images.
//
// Time is the group's own: it goes on by what the entries carry and never goes back. While no member runs it stands.
//
// A command belongs to a session and has a number in it, so that one whose answer was lost can be asked for again: it is
// applied once and gets the reply that it had. A session that was given up to make room refuses all further commands, and
// says that it is not known whether they were applied.
//
// Bounds: MaxSessions sessions, of each Window replies that were not confirmed yet; what a part holds, by its constants;
// a command of MaxCommandBytes bytes.
package statemachine

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"linenwheel.dev/linenwheel/internal/node/quota/lease"
	"linenwheel.dev/linenwheel/internal/node/rollout"
)

// Version is that of the commands and images which this release writes. It reads those up to it; a command of a later one
// must not be passed over, for the members' states would then differ.
const Version = 2

// VersionOf is that of a part's command, and without a body that of an image that holds the part: what an older release knows is
// written so that it can read it.
func VersionOf(part string, body json.RawMessage) int {
	switch part {
	case ComponentQuotaLeases:
		return 2
	case ComponentMembers:
		if bytes.Contains(body, []byte(`"raise"`)) {
			return 2
		}
	case ComponentCalls:
		return callCommandVersion(body)
	}
	return 1
}

// Bounds.
const (
	MaxSessions     = 1024
	Window          = 128       // commands of a session that are under way at once
	MaxCommandBytes = 256 << 10 // bytes
)

// What makes a member stop rather than go on with another state than the others.
var (
	ErrVersion = errors.New("the agreed log holds what a later release wrote: this one cannot go on")
	ErrImage   = errors.New("the image of the agreed state cannot be read")
)

// Code says what became of a command or a question.
type Code string

// The codes.
const (
	OK       Code = "ok"
	Conflict Code = "conflict" // it was based on what holds no more; the body says what does
	Faulty   Code = "faulty"   // it cannot be carried out, whoever asks
	Full     Code = "full"     // there is no room for it
	Lost     Code = "lost"     // its session is gone: whether it was applied is not known
)

// Reply is what a command or a question gets.
type Reply struct {
	Code  Code            `json:"code"`
	Text  string          `json:"text,omitempty"` // for people, where the code is not OK
	Body  json.RawMessage `json:"body,omitempty"`
	Index uint64          `json:"index,omitempty"` // of the entry
}

// Command is what an entry holds.
type Command struct {
	Version int             `json:"v"`
	At      float64         `json:"at"`          // ms of the group's time, set by the leader
	Session uint64          `json:"s,omitempty"` // 0 opens one, or is the group itself
	Number  uint64          `json:"n"`           // in its session from 1 on; of one that opens, drawn by whoever asks
	Done    uint64          `json:"d,omitempty"` // all numbers up to this one have had their replies
	Part    string          `json:"p,omitempty"`
	Body    json.RawMessage `json:"b,omitempty"`
}

// Request is a question or a command for a part.
type Request struct {
	Part string          `json:"part"`
	Body json.RawMessage `json:"body"`
}

// Component is one kind of thing that is held.
type Component interface {
	// Apply carries out a command of a session at a time of the group's.
	Apply(index uint64, now float64, session uint64, body json.RawMessage) Reply
	// Query answers a question from what holds.
	Query(body json.RawMessage) Reply
	// Freeze gives what makes the part's image later; it does not see what is applied meanwhile.
	Freeze() func() (json.RawMessage, error)
	// Load takes an image.
	Load(image json.RawMessage) error
}

// Machine is the whole state.
type Machine struct {
	now        float64
	index      uint64
	sessions   map[uint64]*session
	components map[string]Component
	members    *Members
}

// session is a client of the log.
type session struct {
	Name    string           `json:"name"`
	Opened  float64          `json:"opened"`
	Used    uint64           `json:"used"` // index of its last command
	Done    uint64           `json:"done"`
	Replies map[uint64]Reply `json:"replies,omitempty"`
}

// New makes an empty ledger.
func New() *Machine {
	l := &Machine{sessions: map[uint64]*session{}, members: &Members{list: map[uint64]Member{}}}
	l.components = map[string]Component{ComponentMembers: l.members, ComponentRegister: newRegister(), ComponentCalls: newCalls(), ComponentOrders: newOrders(),
		ComponentPolicy: policies{rollout.New()}, ComponentQuotaLeases: quotaLeases{lease.New()}}
	return l
}

// Now is the group's time, milliseconds.
func (l *Machine) Now() float64 { return l.now }

// Index is that of the last entry applied.
func (l *Machine) Index() uint64 { return l.index }

// Members gives the part that holds them.
func (l *Machine) Members() *Members { return l.members }

// Opening is the body of a command that opens a session.
type Opening struct {
	Name string `json:"name"`
}

const maxNameBytes = 128

// Apply carries out an entry. The error is one after which this member must not go on.
func (l *Machine) Apply(index uint64, data []byte) (c Command, r Reply, err error) {
	if err := json.Unmarshal(data, &c); err != nil {
		return c, r, fmt.Errorf("entry %d: %w", index, err)
	}
	if c.Version > Version {
		return c, r, ErrVersion
	}
	l.index, l.now = index, max(l.now, c.At)
	switch {
	case c.Session == 0 && c.Part == ComponentMembers: // of the group itself; applied twice it does no harm
		return c, l.members.Apply(index, l.now, 0, c.Body), nil
	case c.Session == 0:
		return c, l.open(index, &c), nil
	}
	s := l.sessions[c.Session]
	if s == nil {
		return c, Reply{Code: Lost, Text: "the session is not known any more"}, nil
	}
	s.Used = index
	for s.Done < c.Done { // at most Window steps beyond what was used
		if s.Done++; len(s.Replies) == 0 {
			s.Done = c.Done
		}
		delete(s.Replies, s.Done)
	}
	switch r, again := s.Replies[c.Number]; {
	case again:
		return c, r, nil
	case c.Number <= s.Done:
		return c, Reply{Code: Lost, Text: "its reply was confirmed before"}, nil
	case c.Number > s.Done+Window:
		return c, Reply{Code: Full, Text: "too many commands of the session are under way"}, nil
	}
	part := l.components[c.Part]
	if part == nil {
		r = Reply{Code: Faulty, Text: fmt.Sprintf("there is no part %q", c.Part)}
	} else {
		r = part.Apply(index, l.now, c.Session, c.Body)
	}
	r.Index = index
	s.Replies[c.Number] = r
	return c, r, nil
}

// open makes a session with the entry's index as its number, in place of the one that was used longest ago where there are
// too many.
func (l *Machine) open(index uint64, c *Command) Reply {
	var o Opening
	if json.Unmarshal(c.Body, &o) != nil || len(o.Name) > maxNameBytes {
		return Reply{Code: Faulty, Text: "a session wants a name of 128 bytes at most"}
	}
	if len(l.sessions) >= MaxSessions {
		oldest := index
		for id, s := range l.sessions {
			if at, ok := l.sessions[oldest]; !ok || s.Used < at.Used {
				oldest = id
			}
		}
		delete(l.sessions, oldest)
	}
	l.sessions[index] = &session{Name: o.Name, Opened: l.now, Used: index, Replies: map[uint64]Reply{}}
	return Reply{Code: OK, Index: index}
}

// Query answers a question from what holds here.
func (l *Machine) Query(a Request) Reply {
	part := l.components[a.Part]
	if part == nil {
		return Reply{Code: Faulty, Text: fmt.Sprintf("there is no part %q", a.Part)}
	}
	r := part.Query(a.Body)
	r.Index = l.index
	return r
}

// Sessions counts those that are known.
func (l *Machine) Sessions() int { return len(l.sessions) }

// image is the form of the state on a disk and between members.
type image struct {
	Version  int                        `json:"version"`
	Index    uint64                     `json:"index"`
	Now      float64                    `json:"now"`
	Sessions map[uint64]session         `json:"sessions"`
	Parts    map[string]json.RawMessage `json:"parts"`
	Raised   int                        `json:"raised,omitempty"`
	Compact  []blob                     `json:"compact,omitempty"` // parts whose bytes follow, in this order
}

// blob is a part in its compact form.
type blob struct {
	Part string `json:"part"`
	Size int    `json:"size"`
}

// Freeze gives what makes the image of the state as it is now. The image may be made at any time, on any goroutine.
func (l *Machine) Freeze() func() ([]byte, error) {
	i := image{Version: 1, Raised: l.members.raised, Index: l.index, Now: l.now, Sessions: map[uint64]session{}, Parts: map[string]json.RawMessage{}}
	for id, s := range l.sessions {
		c := *s
		c.Replies = maps.Clone(s.Replies)
		i.Sessions[id] = c
	}
	later, tight := map[string]func() (json.RawMessage, error){}, map[string]func() ([]byte, error){}
	for name, p := range l.components {
		if c, ok := p.(compact); ok && l.members.Speaks() >= 2 {
			i.Version = 2
			tight[name] = c.FreezeCompact()
			continue
		}
		if e, ok := p.(interface{ Empty() bool }); ok && e.Empty() {
			continue // what was never used, an older release need not know
		}
		i.Version = max(i.Version, VersionOf(name, nil))
		later[name] = p.Freeze()
	}
	return func() ([]byte, error) {
		for _, name := range slices.Sorted(maps.Keys(later)) {
			text, err := later[name]()
			if err != nil {
				return nil, err
			}
			i.Parts[name] = text
		}
		var blobs [][]byte
		size := 0
		for _, name := range slices.Sorted(maps.Keys(tight)) {
			b, err := tight[name]()
			if err != nil {
				return nil, err
			}
			i.Compact, blobs, size = append(i.Compact, blob{name, len(b)}), append(blobs, b), size+len(b)
		}
		head, err := json.Marshal(i)
		if err != nil || len(blobs) == 0 {
			return head, err
		}
		out := append(make([]byte, 0, len(head)+1+size), head...)
		out = append(out, '\n')
		for _, b := range blobs {
			out = append(out, b...)
		}
		return out, nil
	}
}

// Restore takes an image in place of all that is held.
func (l *Machine) Restore(text []byte) error {
	var i image
	head := json.NewDecoder(bytes.NewReader(text))
	if err := head.Decode(&i); err != nil {
		return fmt.Errorf("%w: %w", ErrImage, err)
	}
	if i.Version > Version {
		return ErrVersion
	}
	fresh := New()
	fresh.index, fresh.now, fresh.members.raised = i.Index, i.Now, i.Raised
	for id, s := range i.Sessions {
		if s.Replies == nil {
			s.Replies = map[uint64]Reply{}
		}
		fresh.sessions[id] = &s
	}
	for name, text := range i.Parts {
		p := fresh.components[name]
		if p == nil {
			return ErrVersion
		}
		if err := p.Load(text); err != nil {
			return fmt.Errorf("%w: %s: %w", ErrImage, name, err)
		}
	}
	rest := text[head.InputOffset():]
	for n, b := range i.Compact {
		if n == 0 {
			rest = bytes.TrimPrefix(rest, []byte("\n"))
		}
		p, ok := fresh.components[b.Part].(compact)
		switch {
		case !ok:
			return ErrVersion
		case b.Size < 0 || b.Size > len(rest):
			return fmt.Errorf("%w: %s: %w", ErrImage, b.Part, errCut)
		}
		if err := p.LoadCompact(rest[:b.Size]); err != nil {
			return fmt.Errorf("%w: %s: %w", ErrImage, b.Part, err)
		}
		rest = rest[b.Size:]
	}
	*l = *fresh
	return nil
}
