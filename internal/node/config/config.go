// Package config reads what the platform tells a node: environment variables and config.json.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"linenwheel.dev/linenwheel/decide"
	"linenwheel.dev/linenwheel/internal/node/endpoints/discovery"
)

// Config is all that a node is told.
type Config struct {
	Name, Listen, Discovery string
	Seed                    uint64
	Cores, MemoryMB         float64
	Sockets                 int
	Known                   discovery.List
	Settings                decide.Settings
	ConnectTimeout          float64 // milliseconds
	ConnIdle                float64 // milliseconds
	MaxOpen                 int     // requests, 0 = no limit told
	MaxDeadline             float64 // the longest that a client waits, milliseconds
	Control                 string  // where operators call, empty = nowhere

	faultOf func(field string, err error) *FieldError
}

// Fault words what turned out wrong with a field when it was put to use.
func (c *Config) Fault(field string, err error) error {
	if c.faultOf == nil {
		return &FieldError{Field: field, Err: err}
	}
	return c.faultOf(field, err)
}

// file is the form of config.json.
type file struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Control   string `json:"control,omitempty"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Known    json.RawMessage `json:"known"`
	Settings settings        `json:"settings"`
}

type settings struct {
	GroupSize int      `json:"group_size"`
	MyNumber  int      `json:"my_number"`
	Locality  string   `json:"locality"`
	Zones     []string `json:"zones"`
	Kinds     []string `json:"machine_types"`
	Weights   string   `json:"weights"`
	Discovery string   `json:"discovery"`
	OverShare float64  `json:"over_share_worth"`
	Classes   []struct {
		Name      string  `json:"name"`
		Effect    string  `json:"effect"`
		Group     string  `json:"group"`
		KeyTTL    float64 `json:"key_ttl_s"`
		OnTime    float64 `json:"on_time_s"`
		HardLimit float64 `json:"hard_limit_s"`
		Worth     float64 `json:"worth"`
		LateShare float64 `json:"late_share"`
		Streaming bool    `json:"streaming"`
	} `json:"classes"`
	Projects []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quota_rps"`
		Share float64 `json:"share"`
	} `json:"projects"`
	Limits struct {
		MaxAttempts    int     `json:"max_attempts"`
		Cancel         bool    `json:"cancel"`
		SecondCopies   bool    `json:"second_copies"`
		ConnectTimeout float64 `json:"connect_timeout_s"`
		ConnIdle       float64 `json:"conn_idle_s"`
		MaxOpen        int     `json:"max_open"`
	} `json:"limits"`
	Deductions struct {
		CrossZone float64 `json:"cross_zone"`
	} `json:"deductions"`
	Safety struct {
		AnswerSlack   float64 `json:"answer_slack_s"`
		AskWithin     float64 `json:"ask_within_s"`
		DrainGrace    float64 `json:"drain_grace_s"`
		StartCapacity float64 `json:"start_capacity"`
		Cold          float64 `json:"cold_s"`
		FallMultiple  float64 `json:"fall_multiple"`
		Fall          float64 `json:"fall_s"`
	} `json:"safety"`
}

var (
	effects = map[string]decide.Effect{"read_like": decide.Safe, "idempotency_key": decide.Keyed,
		"non_idempotent": decide.Unsafe}
	groups = map[string]decide.Group{"": decide.GroupAll, "all": decide.GroupAll, "zone": decide.GroupZone,
		"cell": decide.GroupCell}
	weights = map[string]decide.WeightMeaning{"": decide.WeightNone, "none": decide.WeightNone,
		"nominal": decide.WeightSize, "rough": decide.WeightSize, "live": decide.WeightLive}
)

var (
	errMissing = errors.New("missing")
	errBelow1  = errors.New("must be 1 or more")
	errAbove0  = errors.New("must be above 0")
	errBelow0  = errors.New("must be 0 or more")
)

// Load reads the environment and the file that ROUTER_CONFIG names. A variable goes before the file. The error is
// the first of the faults that Check gives.
func Load(getenv func(string) string) (*Config, error) { return first(read(getenv, false)) }

// Reload reads the same again. The file may be newer than the environment, which is that of the start, so what it
// says goes first.
func Reload(getenv func(string) string) (*Config, error) { return first(read(getenv, true)) }

// Check reads as Load does and gives every fault; with one the configuration is not to be used.
func Check(getenv func(string) string) (*Config, []*FieldError) {
	s, faults := read(getenv, false)
	return s.conf, faults
}

func first(s *source, faults []*FieldError) (*Config, error) {
	if len(faults) > 0 {
		return nil, faults[0]
	}
	return s.conf, nil
}

// variables are those of the environment that stand for a field of the file.
var variables = map[string]string{"name": "ROUTER_NAME", "listen": "ROUTER_LISTEN", "discovery": "ROUTER_DISCOVERY",
	"control": "ROUTER_CONTROL"}

// source is what was read, with the places that faults and values come from.
type source struct {
	path   string
	text   []byte
	spans  map[string]span
	file   file
	from   map[string]string // the variable that a field was taken from
	conf   *Config
	faults []*FieldError
}

func read(getenv func(string) string, fileFirst bool) (*source, []*FieldError) {
	s := &source{path: getenv("ROUTER_CONFIG"), from: map[string]string{}}
	if s.path == "" {
		return s, []*FieldError{{Field: "ROUTER_CONFIG", Err: errMissing}}
	}
	var err error
	if s.text, err = os.ReadFile(s.path); err != nil {
		return s, []*FieldError{{Field: "ROUTER_CONFIG", Err: err}}
	}
	if !s.decode() {
		return s, s.faults
	}
	f := &s.file
	for name, field := range map[string]*string{"name": &f.Name, "listen": &f.Listen, "discovery": &f.Discovery, "control": &f.Control} {
		if v := getenv(variables[name]); v != "" && (*field == "" || !fileFirst) {
			*field, s.from[name] = v, variables[name]
		}
	}
	s.config()
	return s, s.faults
}

// decode reads the text and reports each value of a wrong type; it fails on a text that is not JSON.
func (s *source) decode() bool {
	for text := s.text; ; {
		err := json.Unmarshal(text, &s.file)
		var wrong *json.UnmarshalTypeError
		if err == nil {
			return true
		}
		if !errors.As(err, &wrong) {
			e := &FieldError{File: s.path, Field: "ROUTER_CONFIG", Err: err}
			var broken *json.SyntaxError
			if errors.As(err, &broken) {
				e.Place = PlaceOf(s.text, int(broken.Offset)-1)
			}
			s.faults = append(s.faults, e)
			return false
		}
		path, where := at(spans(text), int(wrong.Offset))
		s.fault(path, fmt.Errorf("is of type %s, want %s", wrong.Value, kind(wrong.Type)))
		if path == "" || len(s.faults) >= mostFaults {
			return false
		}
		// The decoder tells of one such value. With null in its place it goes on to the next.
		text = slices.Concat(text[:where.start], []byte("null"), text[where.end:])
	}
}

// config checks the file and puts it in the node's terms.
func (s *source) config() {
	f := &s.file
	c := &Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Cores: f.Limits.Cores,
		MemoryMB: f.Limits.MemoryMB, Sockets: f.Limits.Sockets, Seed: seed(f.Seed), Control: f.Control}
	c.faultOf = s.placed
	s.conf = c
	c.ConnectTimeout, c.ConnIdle = f.Settings.Limits.ConnectTimeout*1000, f.Settings.Limits.ConnIdle*1000
	c.MaxOpen = f.Settings.Limits.MaxOpen
	for _, a := range []struct{ field, value string }{{"listen", c.Listen}, {"discovery", c.Discovery}, {"control", c.Control}} {
		if a.field == "control" && a.value == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			s.fault(a.field, err)
		}
	}
	for _, n := range []struct {
		field string
		value float64
	}{{"limits.cores", c.Cores}, {"limits.memory_mb", c.MemoryMB}, {"limits.sockets", float64(c.Sockets)},
		{"settings.limits.connect_timeout_s", c.ConnectTimeout}, {"settings.limits.conn_idle_s", c.ConnIdle}} {
		if !(n.value > 0) {
			s.fault(n.field, errAbove0)
		}
	}
	if c.Sockets < 64 {
		s.fault("limits.sockets", errors.New("must be 64 or more"))
	}
	if len(f.Known) > 0 {
		known, _, err := discovery.Decode(f.Known)
		if err != nil {
			s.fault("known", err)
		}
		c.Known = known
	}
	s.settings()
}

// seed reads a seed of hexadecimal digits; any other text is hashed.
func seed(text string) uint64 {
	if n, err := strconv.ParseUint(text, 16, 64); err == nil {
		return n
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	return h.Sum64()
}

func (s *source) settings() {
	f, c := &s.file.Settings, s.conf
	meaning, ok := weights[f.Weights]
	if !ok {
		s.fault("settings.weights", fmt.Errorf("unknown: %q", f.Weights))
	}
	zone := slices.Index(f.Zones, f.Locality)
	for _, check := range []struct {
		bad   bool
		field string
		err   error
	}{
		{zone < 0, "settings.locality", fmt.Errorf("%q is none of zones", f.Locality)},
		{len(f.Classes) == 0, "settings.classes", errMissing},
		{len(f.Kinds) == 0, "settings.machine_types", errMissing},
		{f.GroupSize < 1, "settings.group_size", errBelow1},
		{f.Limits.MaxAttempts < 1, "settings.limits.max_attempts", errBelow1},
		{f.Limits.MaxOpen < 0, "settings.limits.max_open", errBelow0},
	} {
		if check.bad {
			s.fault(check.field, check.err)
		}
	}
	c.Settings = decide.Settings{Nodes: f.GroupSize, Node: f.MyNumber, Zone: zone, Zones: f.Zones, Kinds: f.Kinds,
		Weights: meaning, OverQuotaValue: f.OverShare, WatchEndpoints: f.Discovery == "ask",
		Limits: decide.Limits{MaxAttempts: f.Limits.MaxAttempts, Cancel: f.Limits.Cancel,
			Hedging: f.Limits.SecondCopies},
		Prices: decide.Prices{CrossZone: f.Deductions.CrossZone},
		Rules: decide.Rules{ResponseSlack: seconds(f.Safety.AnswerSlack), FetchWithin: seconds(f.Safety.AskWithin),
			DrainGrace: seconds(f.Safety.DrainGrace), SlowStartFloor: f.Safety.StartCapacity,
			SlowStartTime: seconds(f.Safety.Cold), OverloadMultiple: f.Safety.FallMultiple,
			OverloadTime: seconds(f.Safety.Fall)},
	}
	names := map[string]bool{}
	for i, k := range f.Classes {
		at := fmt.Sprintf("settings.classes.%d.", i)
		effect, ok := effects[k.Effect]
		group, ok2 := groups[k.Group]
		for _, check := range []struct {
			bad   bool
			field string
			err   error
		}{
			{k.Name == "", "name", errMissing},
			{strings.ContainsFunc(k.Name, notInPath), "name", fmt.Errorf("no part of a path can be %q", k.Name)},
			{k.Name != "" && names[k.Name], "name", fmt.Errorf("another class is named %q", k.Name)},
			{!ok, "effect", fmt.Errorf("unknown: %q", k.Effect)},
			{!ok2, "group", fmt.Errorf("unknown: %q", k.Group)},
			{!(k.OnTime > 0), "on_time_s", errAbove0},
			{k.HardLimit < k.OnTime || k.HardLimit > 1e6, "hard_limit_s",
				errors.New("must be on_time_s or more, a million at most")},
			{k.Worth < 0, "worth", errBelow0},
		} {
			if check.bad {
				s.fault(at+check.field, check.err)
			}
		}
		names[k.Name] = true
		c.MaxDeadline = max(c.MaxDeadline, k.HardLimit*1000)
		c.Settings.Classes = append(c.Settings.Classes, decide.Class{Name: k.Name, Effect: effect, Group: group,
			KeyTTL: seconds(k.KeyTTL), Target: seconds(k.OnTime), Deadline: seconds(k.HardLimit), Value: k.Worth,
			LateValue: k.LateShare, Streaming: k.Streaming})
	}
	tenants := map[string]bool{}
	for i, p := range f.Projects {
		if tenants[p.Name] {
			s.fault(fmt.Sprintf("settings.projects.%d.name", i), fmt.Errorf("another tenant is named %q", p.Name))
		}
		tenants[p.Name] = true
		c.Settings.Tenants = append(c.Settings.Tenants, decide.Tenant{Name: p.Name, Quota: p.Quota, Share: p.Share})
	}
}

// notInPath tells what ends the first part of a request's path, or cannot be in one.
func notInPath(r rune) bool { return r <= ' ' || r == 0x7f || r == '/' || r == '?' || r == '#' }

// seconds converts the settings' times, which are in seconds, to the module's.
func seconds(s float64) time.Duration { return time.Duration(math.Round(s * 1e9)) }
