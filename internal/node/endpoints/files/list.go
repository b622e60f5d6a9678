package files

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/pelletier/go-toml/v2"

	"linenwheel.dev/linenwheel/internal/node/dispatch"
	"linenwheel.dev/linenwheel/internal/node/endpoints/entryformat"
)

// Constraints is what a list is held against.
type Constraints struct {
	Zones, Kinds []string // nil = any
	MaxHosts     int      // hosts
}

// List is what one file holds.
type List struct {
	Index     uint64 // of this version of the file, 0 = it has none
	Confirmed bool   // whoever wrote it confirms what the guard would hold
	Verified  bool   // its count or checksum proves that it is whole
	Hosts     []dispatch.Host
}

// file is the form of a file, in TOML and in JSON.
type file struct {
	Index     uint64  `json:"index" toml:"index"`
	Confirm   uint64  `json:"confirm" toml:"confirm"`
	Count     *int    `json:"count" toml:"count"`
	Checksum  string  `json:"checksum" toml:"checksum"`
	Snapshot  *bool   `json:"snapshot" toml:"snapshot"` // as discovery says it of a whole list
	Endpoints []entry `json:"endpoints" toml:"endpoints"`
}

type entry struct {
	Name     string   `json:"name" toml:"name"`
	Address  string   `json:"address" toml:"address"`
	Zone     string   `json:"zone" toml:"zone"`
	Type     string   `json:"type" toml:"type"`
	Protocol string   `json:"protocol" toml:"protocol"`
	Group    int      `json:"group" toml:"group"`
	Status   string   `json:"status" toml:"status"`
	Weight   *float64 `json:"weight" toml:"weight"`
	Since    float64  `json:"since_ms" toml:"since_ms"`
}

// Parse reads a file, as TOML or JSON by its name. With anything wrong, nothing of it is to be used. The error names the
// file.
func Parse(path string, text []byte, known Constraints) (*List, error) {
	l, err := parse(path, text, known)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return l, nil
}

func parse(path string, text []byte, known Constraints) (*List, error) {
	var f file
	if err := decode(path, text, &f); err != nil {
		return nil, err
	}
	l := &List{Index: f.Index, Confirmed: f.Index > 0 && f.Confirm == f.Index, Verified: f.Count != nil || f.Checksum != ""}
	switch {
	case f.Endpoints == nil:
		return nil, errors.New("endpoints is missing")
	case f.Snapshot != nil && !*f.Snapshot:
		return nil, errors.New("snapshot is false: it has changes only")
	case f.Confirm > 0 && !l.Confirmed:
		return nil, fmt.Errorf("confirm is %d, but index is %d", f.Confirm, f.Index)
	case f.Count != nil && *f.Count != len(f.Endpoints):
		return nil, fmt.Errorf("count is %d, but there are %d endpoints", *f.Count, len(f.Endpoints))
	case len(f.Endpoints) > known.MaxHosts:
		return nil, fmt.Errorf("has %d endpoints, at most %d can be taken", len(f.Endpoints), known.MaxHosts)
	}
	if f.Checksum != "" {
		if err := checkSum(text, f.Checksum); err != nil {
			return nil, err
		}
	}
	zones, kinds := places(known.Zones), places(known.Kinds)
	names, addresses := map[string]int{}, map[string]int{}
	for i, e := range f.Endpoints {
		h, err := e.host()
		if err != nil {
			return nil, fmt.Errorf("endpoint %d, %q: %w", i+1, e.Name, err)
		}
		if j, twice := names[h.Name]; twice {
			return nil, fmt.Errorf("endpoint %d, %q: endpoint %d has the same name", i+1, e.Name, j)
		}
		if j, twice := addresses[h.Address]; twice {
			return nil, fmt.Errorf("endpoint %d, %q: endpoint %d has the same address", i+1, e.Name, j)
		}
		if zones != nil && !zones[h.Zone] {
			return nil, fmt.Errorf("endpoint %d, %q: zone %q is not known", i+1, e.Name, h.Zone)
		}
		if kinds != nil && !kinds[h.Kind] {
			return nil, fmt.Errorf("endpoint %d, %q: type %q is not known", i+1, e.Name, h.Kind)
		}
		names[h.Name], addresses[h.Address] = i+1, i+1
		l.Hosts = append(l.Hosts, h)
	}
	return l, nil
}

func places(names []string) map[string]bool {
	if names == nil {
		return nil
	}
	m := map[string]bool{}
	for _, name := range names {
		m[name] = true
	}
	return m
}

// decode reads the form, strictly.
func decode(path string, text []byte, f *file) error {
	if filepath.Ext(path) == ".json" {
		in := json.NewDecoder(bytes.NewReader(text))
		in.DisallowUnknownFields()
		if err := in.Decode(f); err != nil {
			return err
		}
		if _, err := in.Token(); err != io.EOF {
			return errors.New("goes on after the list")
		}
		return nil
	}
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(f)
	var strict *toml.StrictMissingError
	var wrong *toml.DecodeError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		wrong = &strict.Errors[0]
	}
	if wrong != nil || errors.As(err, &wrong) {
		line, column := wrong.Position()
		return fmt.Errorf("line %d, column %d: %w", line, column, wrong)
	}
	return err
}

func (e *entry) host() (dispatch.Host, error) {
	full := entryformat.Entry{Name: e.Name, Address: e.Address, Zone: e.Zone, Type: e.Type, Protocol: e.Protocol, Group: e.Group, Status: e.Status,
		Weight: 1, Since: e.Since}
	if e.Status == "" {
		full.Status = "Ready"
	}
	if e.Weight != nil {
		full.Weight = *e.Weight
	}
	h, err := full.Host()
	if err == nil && h.Status == dispatch.Removed {
		err = errors.New("status Gone: leave the entry out")
	}
	return h, err
}

// Checksum is the xxHash64 of a text in which the sixteen digits of its own checksum are zeros.
func Checksum(text []byte, digits string) string {
	zeros := bytes.Repeat([]byte("0"), len(digits))
	sum := xxhash.Sum64(bytes.Replace(text, []byte(digits), zeros, 1))
	return fmt.Sprintf("%016x", sum)
}

func checkSum(text []byte, digits string) error {
	if _, err := strconv.ParseUint(digits, 16, 64); err != nil || len(digits) != 16 {
		return errors.New("checksum is not sixteen hexadecimal digits")
	}
	if bytes.Count(text, []byte(digits)) != 1 {
		return errors.New("the checksum's digits stand there twice")
	}
	if sum := Checksum(text, digits); sum != digits {
		return fmt.Errorf("checksum is %s, but the file has %s", digits, sum)
	}
	return nil
}
