// Package settings reads the settings file that the platform writes for each process of the fleet. Unknown keys
// are ignored; an invalid value of a known key is reported as an *Error that names the file and the key.
package settings

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/magiconair/properties"
)

// PathVariable is the name of the environment variable that holds the path of the settings file.
const PathVariable = "LINENWHEEL_SETTINGS"

// DefaultPath is the path of the settings file if the environment variable is unset or empty.
const DefaultPath = "/etc/linenwheel/boot.conf"

// Error reports a settings file that is unreadable or invalid.
type Error struct {
	File string
	Key  string // empty if the error concerns the file as a whole
	Err  error
}

func (e *Error) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("settings %s: %v", e.File, e.Err)
	}
	return fmt.Sprintf("settings %s: key %s: %v", e.File, e.Key, e.Err)
}

func (e *Error) Unwrap() error { return e.Err }

// Bounds are the limits that the platform sets for the fleet, from the keys of the settings file that begin with
// "Bounds.".
type Bounds struct {
	Contact          time.Duration
	Ack              time.Duration
	CatchUp          time.Duration
	Drain            time.Duration
	Grace            time.Duration
	Config           time.Duration
	Revoke           time.Duration
	Closed           bool // a configuration that cannot be confirmed must not be used
	RetryBudgetRatio float64
	BudgetWindow     time.Duration
	BudgetSlack      float64
	QuotaWindow      time.Duration
	QuotaOver        float64
	QuotaSlack       float64
	Pass             time.Duration
	RereadWindow     time.Duration
}

// Settings describes one process and its machine.
type Settings struct {
	NodeName        string
	Role            string
	IP              string
	Zone            string
	Region          string
	Front           string // listen address for clients, empty if the role does not serve clients
	Readiness       string
	Control         string // listen address for backends and the operator
	InternalPort    int
	Seeds           []string // control addresses of the control processes to contact at first
	Bootstrap       bool
	CountsForQuorum bool // the machine is counted among those that may be lost
	MemoryMB        int
	MaxFds          int
	DataDir         string
	Heartbeat       time.Duration
	LinkMbps        float64
	MachinesLost    int // number of machines that may be lost at the same time
	ZonesLost       int // number of zones that may be lost at the same time
	RegionsLost     int // number of regions that may be lost at the same time
	Bounds          Bounds
	File            string
}

// MaxFailures returns the number of voters, each in a failure domain of its own, that may be lost at the same
// time.
func (s *Settings) MaxFailures() int { return max(s.MachinesLost, s.ZonesLost, s.RegionsLost) }

// FailureDomain returns the name of the domain that fails together with this machine: its region if regions may be
// lost, otherwise its zone.
func (s *Settings) FailureDomain() string {
	if s.RegionsLost > 0 {
		return s.Region
	}
	return s.Zone
}

// Path returns the path of the settings file, from the environment variable or DefaultPath.
func Path() string {
	if path := os.Getenv(PathVariable); path != "" {
		return path
	}
	return DefaultPath
}

// Read reads and validates a settings file.
func Read(path string) (*Settings, error) {
	loader := properties.Loader{Encoding: properties.UTF8, DisableExpansion: true}
	file, err := loader.LoadFile(path)
	if err != nil {
		return nil, &Error{File: path, Err: err}
	}
	return parse(path, file)
}

// Parse parses settings from text; path is used in error messages.
func Parse(path, text string) (*Settings, error) {
	loader := properties.Loader{Encoding: properties.UTF8, DisableExpansion: true}
	file, err := loader.LoadBytes([]byte(text))
	if err != nil {
		return nil, &Error{File: path, Err: err}
	}
	return parse(path, file)
}

func parse(path string, file *properties.Properties) (*Settings, error) {
	r := &reader{path: path, file: file}
	ports := r.listValue("InternalPorts")
	s := &Settings{
		File:            path,
		NodeName:        r.text("NodeName"),
		Role:            r.text("Role"),
		IP:              r.text("Ip"),
		Zone:            r.text("Zone"),
		Region:          r.text("Region"),
		Front:           r.address("Listen.Front"),
		Readiness:       r.address("Listen.Readiness"),
		Control:         r.address("Listen.Control"),
		Seeds:           r.addresses("Seeds"),
		Bootstrap:       r.flag("Bootstrap", false),
		CountsForQuorum: r.flag("CountsForQuorum", false),
		MemoryMB:        r.count("Limits.MemoryMb", 0),
		MaxFds:          r.count("Limits.MaxFds", 1024),
		DataDir:         r.text("DataDir"),
		Heartbeat:       r.milliseconds("HeartbeatMs", 1000),
		LinkMbps:        r.number("Limits.LinkMbps", 0),
		MachinesLost:    r.count("FaultTolerance.Machines", 0),
		ZonesLost:       r.count("FaultTolerance.Zones", 0),
		RegionsLost:     r.count("FaultTolerance.Regions", 0),
		Bounds: Bounds{
			Contact:          r.milliseconds("Bounds.ContactMs", 3000),
			Ack:              r.milliseconds("Bounds.AckMs", 4000),
			CatchUp:          r.seconds("Bounds.CatchUpS", 4),
			Drain:            r.milliseconds("Bounds.DrainMs", 2000),
			Grace:            r.seconds("Bounds.GraceS", 8),
			Config:           r.milliseconds("Bounds.ConfigMs", 2000),
			Revoke:           r.milliseconds("Bounds.RevokeMs", 5000),
			Closed:           r.flag("Bounds.Closed", false),
			RetryBudgetRatio: r.number("Bounds.RetryBudgetRatio", 0.2),
			BudgetWindow:     r.seconds("Bounds.BudgetWindowS", 10),
			BudgetSlack:      r.number("Bounds.BudgetSlack", 20),
			QuotaWindow:      r.seconds("Bounds.QuotaWindowS", 8),
			QuotaOver:        r.number("Bounds.QuotaOver", 0),
			QuotaSlack:       r.number("Bounds.QuotaSlack", 0),
			Pass:             r.milliseconds("Bounds.pass_ms", 120),
			RereadWindow:     r.seconds("Bounds.again_s", 10),
		},
	}
	s.InternalPort = r.port("InternalPorts", ports)
	if r.err == nil && net.ParseIP(s.IP) == nil {
		r.fail("Ip", fmt.Errorf("%q is not an IP address", s.IP))
	}
	return s, r.err
}

// InternalAddress returns the address for internal calls of the control process that has the given control
// address: the internal port is the same on all machines. It returns "" if the control address is malformed.
func (s *Settings) InternalAddress(controlAddress string) string {
	host, _, err := net.SplitHostPort(controlAddress)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(host, strconv.Itoa(s.InternalPort))
}

// OwnInternalAddress returns the address for internal calls on this machine.
func (s *Settings) OwnInternalAddress() string {
	return net.JoinHostPort(s.IP, strconv.Itoa(s.InternalPort))
}

// maxNumber bounds every number of a settings file, whatever its unit. As seconds it is about 30 years.
const maxNumber = 1e9

// reader parses values of different types and keeps the first error.
type reader struct {
	path string
	file *properties.Properties
	err  error
}

func (r *reader) fail(key string, err error) {
	if r.err == nil {
		r.err = &Error{File: r.path, Key: key, Err: err}
	}
}

func (r *reader) text(key string) string {
	return strings.TrimSpace(r.file.GetString(key, ""))
}

func (r *reader) number(key string, fallback float64) float64 {
	text := r.text(key)
	if text == "" {
		return fallback
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || !(value >= 0 && value <= maxNumber) { // NaN is neither
		r.fail(key, fmt.Errorf("%q is not a number from 0 to %g", text, float64(maxNumber)))
		return fallback
	}
	return value
}

// count returns a number without its fraction.
func (r *reader) count(key string, fallback float64) int { return int(r.number(key, fallback)) }

func (r *reader) seconds(key string, fallback float64) time.Duration {
	return time.Duration(r.number(key, fallback) * float64(time.Second))
}

func (r *reader) milliseconds(key string, fallback float64) time.Duration {
	return time.Duration(r.number(key, fallback) * float64(time.Millisecond))
}

func (r *reader) flag(key string, fallback bool) bool {
	text := r.text(key)
	if text == "" {
		return fallback
	}
	value, err := strconv.ParseBool(text)
	if err != nil {
		r.fail(key, fmt.Errorf("%q is neither true nor false", text))
	}
	return value
}

func (r *reader) listValue(key string) []string {
	var items []string
	for _, item := range strings.Split(r.text(key), ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}

func (r *reader) address(key string) string {
	text := r.text(key)
	if text == "" {
		return ""
	}
	if _, _, err := net.SplitHostPort(text); err != nil {
		r.fail(key, fmt.Errorf("%q is not host:port", text))
	}
	return text
}

func (r *reader) addresses(key string) []string {
	items := r.listValue(key)
	for _, item := range items {
		if _, _, err := net.SplitHostPort(item); err != nil {
			r.fail(key, fmt.Errorf("%q is not host:port", item))
		}
	}
	return items
}

func (r *reader) port(key string, ports []string) int {
	if len(ports) == 0 {
		r.fail(key, fmt.Errorf("missing; expected the first and last internal port"))
		return 0
	}
	port, err := strconv.Atoi(ports[0])
	if err != nil || port < 1 || port > 65535 {
		r.fail(key, fmt.Errorf("%q is not a port number", ports[0]))
	}
	return port
}
