// Package entryformat defines the format of one entry of a host list in discovery, files and etcd.
package entryformat

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"

	"linenwheel.dev/linenwheel/internal/node/dispatch"
)

// Entry is the encoded form of a host.
type Entry struct {
	Name     string  `json:"name" toml:"name"`
	Address  string  `json:"address" toml:"address"` // ip:port
	Zone     string  `json:"zone" toml:"zone"`
	Type     string  `json:"type" toml:"type"`                   // of the machine
	Protocol string  `json:"protocol,omitempty" toml:"protocol"` // empty = HTTP/1.1
	Group    int     `json:"group" toml:"group"`
	Status   string  `json:"status" toml:"status"`
	Weight   float64 `json:"weight" toml:"weight"`
	Since    float64 `json:"since_ms" toml:"since_ms"` // Unix time of its last start in milliseconds, 0 = long ago
}

var statusByName = map[string]dispatch.Status{"Ready": dispatch.Ready, "Terminating": dispatch.Draining, "Gone": dispatch.Removed}

var statusNames = [...]string{dispatch.Ready: "Ready", dispatch.Draining: "Terminating", dispatch.Removed: "Gone"}

// FromHost returns the entry for a host.
func FromHost(h dispatch.Host) Entry {
	return Entry{h.Name, h.Address, h.Zone, h.Kind, h.Protocol, h.Cell, statusNames[h.Status], h.Weight, h.Since}
}

// Host returns the host, or an error that names the invalid field.
func (e *Entry) Host() (dispatch.Host, error) {
	status, ok := statusByName[e.Status]
	switch _, err := netip.ParseAddrPort(e.Address); {
	case e.Name == "":
		return dispatch.Host{}, errors.New("name is missing")
	case e.Protocol != "" && e.Protocol != "http" && e.Protocol != "thrift":
		return dispatch.Host{}, fmt.Errorf("unknown protocol %q: want http or thrift", e.Protocol)
	case !ok:
		return dispatch.Host{}, fmt.Errorf("unknown status %q", e.Status)
	case err != nil && status != dispatch.Removed:
		return dispatch.Host{}, fmt.Errorf("address: %w", err)
	case !(e.Weight >= 0 && e.Weight <= math.MaxFloat64 && e.Since >= 0 && e.Since <= math.MaxInt64/1e6):
		return dispatch.Host{}, errors.New("weight or since_ms out of range")
	}
	protocol := e.Protocol
	if protocol == "http" {
		protocol = ""
	}
	return dispatch.Host{Name: e.Name, Address: e.Address, Zone: e.Zone, Kind: e.Type, Protocol: protocol, Cell: e.Group, Status: status,
		Weight: e.Weight, Since: e.Since}, nil
}

// JSON decodes an entry and its optional revision from JSON. Unknown fields are ignored.
func JSON(text []byte) (h dispatch.Host, revision uint64, err error) {
	var e struct {
		Entry
		Revision uint64 `json:"revision"`
	}
	if err := json.Unmarshal(text, &e); err != nil {
		return h, 0, err
	}
	h, err = e.Host()
	return h, e.Revision, err
}
