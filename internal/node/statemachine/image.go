package statemachine

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// errTruncated says that a compact image is truncated.
var errTruncated = errors.New("truncated")

// image is the encoded state, on disk and between members. It is one JSON value; in version 2, a line feed and the
// concatenated compact images of the components listed in Compact follow.
type image struct {
	Version    int                        `json:"version"`
	Index      uint64                     `json:"index"`
	Now        float64                    `json:"now"`
	Sessions   map[uint64]session         `json:"sessions"`
	Components map[string]json.RawMessage `json:"parts"`
	Raised     int                        `json:"raised,omitempty"`
	Compact    []blob                     `json:"compact,omitempty"`
}

// blob describes the compact image of a component: its size in bytes.
type blob struct {
	Part string `json:"part"`
	Size int    `json:"size"`
}

// compactComponent is a component whose image also has a binary form, with a third of the size. The binary form is
// written only once every member can read it.
type compactComponent interface {
	FreezeCompact() func() ([]byte, error)
	LoadCompact(image []byte) error
}

// Freeze captures the state and returns a function that encodes its image. That function may run at any time and
// on any goroutine while further entries are applied.
func (m *Machine) Freeze() func() ([]byte, error) {
	header := image{Version: 1, Raised: m.members.raisedVersion, Index: m.index, Now: m.now, Sessions: map[uint64]session{}, Components: map[string]json.RawMessage{}}
	for id, s := range m.sessions {
		c := *s
		c.Replies = maps.Clone(s.Replies)
		header.Sessions[id] = c
	}
	plain, compact := map[string]func() (json.RawMessage, error){}, map[string]func() ([]byte, error){}
	for name, component := range m.components {
		if c, ok := component.(compactComponent); ok && m.members.WritableVersion() >= 2 {
			header.Version = 2
			compact[name] = c.FreezeCompact()
			continue
		}
		if c, ok := component.(interface{ Empty() bool }); ok && c.Empty() {
			continue // an older release need not support a component that was never used
		}
		header.Version = max(header.Version, VersionOf(name, nil))
		plain[name] = component.Freeze()
	}
	return func() ([]byte, error) { return header.encode(plain, compact) }
}

// encode encodes the components, each map in the order of its names, so that the same state always gives the same
// bytes.
func (i image) encode(plain map[string]func() (json.RawMessage, error), compact map[string]func() ([]byte, error)) ([]byte, error) {
	for _, name := range slices.Sorted(maps.Keys(plain)) {
		text, err := plain[name]()
		if err != nil {
			return nil, err
		}
		i.Components[name] = text
	}
	var blobs [][]byte
	size := 0
	for _, name := range slices.Sorted(maps.Keys(compact)) {
		b, err := compact[name]()
		if err != nil {
			return nil, err
		}
		i.Compact, blobs, size = append(i.Compact, blob{name, len(b)}), append(blobs, b), size+len(b)
	}
	header, err := json.Marshal(i)
	if err != nil || len(blobs) == 0 {
		return header, err
	}
	out := append(make([]byte, 0, len(header)+1+size), header...)
	out = append(out, '\n')
	for _, b := range blobs {
		out = append(out, b...)
	}
	return out, nil
}

// Restore replaces the complete state by an image. The error wraps ErrVersion or ErrImage, and leaves the machine
// unchanged.
func (m *Machine) Restore(text []byte) error {
	var header image
	decoder := json.NewDecoder(bytes.NewReader(text))
	if err := decoder.Decode(&header); err != nil {
		return fmt.Errorf("%w: %w", ErrImage, err)
	}
	if header.Version > Version {
		return ErrVersion
	}
	restored := New()
	restored.index, restored.now, restored.members.raisedVersion = header.Index, header.Now, header.Raised
	for id, s := range header.Sessions {
		if s.Replies == nil {
			s.Replies = map[uint64]Reply{}
		}
		restored.sessions[id] = &s
	}
	for name, text := range header.Components {
		component := restored.components[name]
		if component == nil {
			return ErrVersion
		}
		if err := component.Load(text); err != nil {
			return fmt.Errorf("%w: %s: %w", ErrImage, name, err)
		}
	}
	if len(header.Compact) > 0 {
		blobs := bytes.TrimPrefix(text[decoder.InputOffset():], []byte("\n"))
		if err := restored.loadCompact(header.Compact, blobs); err != nil {
			return err
		}
	}
	*m = *restored
	return nil
}

// loadCompact restores the components whose compact images are concatenated in blobs.
func (m *Machine) loadCompact(index []blob, blobs []byte) error {
	for _, b := range index {
		component, ok := m.components[b.Part].(compactComponent)
		switch {
		case !ok:
			return ErrVersion
		case b.Size < 0 || b.Size > len(blobs):
			return fmt.Errorf("%w: %s: %w", ErrImage, b.Part, errTruncated)
		}
		if err := component.LoadCompact(blobs[:b.Size]); err != nil {
			return fmt.Errorf("%w: %s: %w", ErrImage, b.Part, err)
		}
		blobs = blobs[b.Size:]
	}
	return nil
}
