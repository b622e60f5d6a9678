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

// Constraints limit the content of a list.
type Constraints struct {
	Zones, Kinds []string // known names; nil = any
	MaxHosts     int
}

// List is the content of one file.
type List struct {
	Index     uint64 // version number of the file, 0 = none
	Confirmed bool   // the writer confirms departures that the guard would hold
	Verified  bool   // a count or checksum proves that the file is complete
	Hosts     []dispatch.Host
}

// file is the format of a file, in TOML and in JSON.
type file struct {
	Index     uint64  `json:"index" toml:"index"`
	Confirm   uint64  `json:"confirm" toml:"confirm"`
	Count     *int    `json:"count" toml:"count"`
	Checksum  string  `json:"checksum" toml:"checksum"`
	Snapshot  *bool   `json:"snapshot" toml:"snapshot"` // as in a response of discovery; must not be false
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

// Parse decodes a file as TOML or JSON, depending on its name. A file with any error is rejected as a whole. The
// error names the file.
func Parse(path string, text []byte, constraints Constraints) (*List, error) {
	l, err := parse(path, text, constraints)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return l, nil
}

func parse(path string, text []byte, constraints Constraints) (*List, error) {
	var f file
	if err := decode(path, text, &f); err != nil {
		return nil, err
	}
	l := &List{Index: f.Index, Confirmed: f.Index > 0 && f.Confirm == f.Index, Verified: f.Count != nil || f.Checksum != ""}
	switch {
	case f.Endpoints == nil:
		return nil, errors.New("endpoints is missing")
	case f.Snapshot != nil && !*f.Snapshot:
		return nil, errors.New("snapshot is false: the file has changes only")
	case f.Confirm > 0 && !l.Confirmed:
		return nil, fmt.Errorf("confirm is %d, but index is %d", f.Confirm, f.Index)
	case f.Count != nil && *f.Count != len(f.Endpoints):
		return nil, fmt.Errorf("count is %d, but there are %d endpoints", *f.Count, len(f.Endpoints))
	case len(f.Endpoints) > constraints.MaxHosts:
		return nil, fmt.Errorf("has %d endpoints, at most %d are allowed", len(f.Endpoints), constraints.MaxHosts)
	}
	if f.Checksum != "" {
		if err := verifyChecksum(text, f.Checksum); err != nil {
			return nil, err
		}
	}
	zones, kinds := stringSet(constraints.Zones), stringSet(constraints.Kinds)
	names, addresses := map[string]int{}, map[string]int{}
	for i, e := range f.Endpoints {
		h, err := e.host()
		if err != nil {
			return nil, fmt.Errorf("endpoint %d, %q: %w", i+1, e.Name, err)
		}
		if j, duplicate := names[h.Name]; duplicate {
			return nil, fmt.Errorf("endpoint %d, %q: endpoint %d has the same name", i+1, e.Name, j)
		}
		if j, duplicate := addresses[h.Address]; duplicate {
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

func stringSet(names []string) map[string]bool {
	if names == nil {
		return nil
	}
	m := map[string]bool{}
	for _, name := range names {
		m[name] = true
	}
	return m
}

// decode decodes a file and rejects unknown fields.
func decode(path string, text []byte, f *file) error {
	if filepath.Ext(path) == ".json" {
		in := json.NewDecoder(bytes.NewReader(text))
		in.DisallowUnknownFields()
		if err := in.Decode(f); err != nil {
			return err
		}
		if _, err := in.Token(); err != io.EOF {
			return errors.New("trailing data after the list")
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

// Checksum returns the xxHash64 of a text in which the sixteen digits of its own checksum are replaced by zeros.
func Checksum(text []byte, digits string) string {
	zeros := bytes.Repeat([]byte("0"), len(digits))
	sum := xxhash.Sum64(bytes.Replace(text, []byte(digits), zeros, 1))
	return fmt.Sprintf("%016x", sum)
}

func verifyChecksum(text []byte, digits string) error {
	if _, err := strconv.ParseUint(digits, 16, 64); err != nil || len(digits) != 16 {
		return errors.New("checksum is not sixteen hexadecimal digits")
	}
	if bytes.Count(text, []byte(digits)) != 1 {
		return errors.New("the checksum's digits occur twice")
	}
	if sum := Checksum(text, digits); sum != digits {
		return fmt.Errorf("checksum is %s, but the file has %s", digits, sum)
	}
	return nil
}
