package simline

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"linenwheel.dev/linenwheel/decide"
)

// pairs decodes path=value settings. It keeps the first error. A missing path has the zero value.
type pairs struct {
	values map[string]string
	err    error
}

func (p *pairs) fail(path string, err error) {
	if p.err == nil {
		p.err = &FieldError{"ENLIST", "settings " + path, err}
	}
}

func (p *pairs) float(path string) float64 {
	text, ok := p.values[path]
	if !ok || text == "-" {
		return 0
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(v) || math.Abs(v) > 9e9 {
		p.fail(path, fmt.Errorf("not a number in range: %q", text))
		return 0
	}
	return v
}

func (p *pairs) count(path string) int {
	v := p.float(path)
	if v < 0 || v > 1e6 || v != math.Trunc(v) {
		p.fail(path, fmt.Errorf("not a count: %g", v))
		return 0
	}
	return int(v)
}

func (p *pairs) flag(path string) bool {
	switch text := p.values[path]; text {
	case "true", "1":
		return true
	case "false", "0", "", "-":
		return false
	default:
		p.fail(path, fmt.Errorf("not true or false: %q", text))
		return false
	}
}

func (p *pairs) names(path string) []string {
	text := p.values[path]
	if text == "" || text == "-" {
		return nil
	}
	return strings.Split(text, ",")
}

// choice returns the value of a word, or the zero value if the path is missing.
func choice[T any](p *pairs, path string, words map[string]T) T {
	text, ok := p.values[path]
	v, known := words[text]
	if ok && !known {
		p.fail(path, fmt.Errorf("%w: %q", errUnknown, text))
	}
	return v
}

var (
	effects = map[string]decide.Effect{
		"read_like": decide.Safe, "idempotency_key": decide.Keyed, "non_idempotent": decide.Unsafe,
	}
	groups = map[string]decide.Group{
		"all": decide.GroupAll, "zone": decide.GroupZone, "cell": decide.GroupCell,
	}
	weights = map[string]decide.WeightMeaning{
		"none": decide.WeightNone, "nominal": decide.WeightSize, "rough": decide.WeightSize,
		"live": decide.WeightLive,
	}
	columns = map[string]decide.ReportField{
		"concurrent": decide.ReportInFlight, "depth": decide.ReportQueue, "load_share": decide.ReportCPU,
		"mean_ms": decide.ReportLatency, "tps": decide.ReportServed, "err_ps": decide.ReportErrors,
	}
	discoveries = map[string]bool{"ask": true, "push": false}
)

// Enlist decodes the values of ENLIST. It returns the settings, the seed and the names for decoding later messages.
func (f *Fields) Enlist() (s decide.Settings, seed uint64, names *Names) {
	seed = f.Uint("nonce64", 64)
	p := &pairs{values: map[string]string{}}
	for _, pair := range strings.Fields(string(f.Rest())) {
		path, value, ok := strings.Cut(pair, "=")
		if !ok {
			p.fail(path, errors.New("not path=value"))
		}
		p.values[path] = value
	}
	s = p.settings()
	names = &Names{zones: byName(s.Zones), kinds: byName(s.Kinds), columns: columns,
		classes: map[string]int{}, tenants: map[string]int{}}
	for i, c := range s.Classes {
		names.classes[c.Name] = i
	}
	for i, t := range s.Tenants {
		names.tenants[t.Name] = i
	}
	if f.err == nil {
		f.err = p.err
	}
	return s, seed, names
}

func byName(list []string) map[string]int {
	m := map[string]int{}
	for i, name := range list {
		m[name] = i
	}
	return m
}

func (p *pairs) settings() decide.Settings {
	s := decide.Settings{
		Nodes:          p.count("group_size"),
		Node:           p.count("my_number"),
		Zones:          p.names("zones"),
		Kinds:          p.names("machine_types"),
		Weights:        choice(p, "weights", weights),
		OverQuotaValue: p.float("over_share_worth"),
		WatchEndpoints: choice(p, "discovery", discoveries),
		Limits: decide.Limits{
			MaxAttempts: p.count("limits.max_attempts"),
			Cancel:      p.flag("limits.cancel"),
			Hedging:     p.flag("limits.second_copies"),
		},
		Prices: decide.Prices{
			CrossZone: p.float("deductions.cross_zone"),
		},
		Rules: decide.Rules{
			ResponseSlack:    seconds(p.float("safety.answer_slack_s")),
			FetchWithin:      seconds(p.float("safety.ask_within_s")),
			DrainGrace:       seconds(p.float("safety.drain_grace_s")),
			SlowStartFloor:   p.float("safety.start_capacity"),
			SlowStartTime:    seconds(p.float("safety.cold_s")),
			OverloadMultiple: p.float("safety.fall_multiple"),
			OverloadTime:     seconds(p.float("safety.fall_s")),
		},
	}
	zone, ok := byName(s.Zones)[p.values["locality"]]
	if !ok {
		p.fail("locality", fmt.Errorf("%w: %q", errUnknown, p.values["locality"]))
	}
	s.Zone = zone
	for i := range p.count("classes.count") {
		s.Classes = append(s.Classes, p.class(fmt.Sprintf("classes.%d.", i)))
	}
	for i := range p.count("projects.count") {
		prefix := fmt.Sprintf("projects.%d.", i)
		s.Tenants = append(s.Tenants, decide.Tenant{
			Name: p.values[prefix+"name"], Quota: p.float(prefix + "quota_rps"), Share: p.float(prefix + "share"),
		})
	}
	return s
}

func (p *pairs) class(prefix string) decide.Class {
	return decide.Class{
		Name:      p.values[prefix+"name"],
		Effect:    choice(p, prefix+"effect", effects),
		Group:     choice(p, prefix+"group", groups),
		KeyTTL:    seconds(p.float(prefix + "key_ttl_s")),
		Target:    seconds(p.float(prefix + "on_time_s")),
		Deadline:  seconds(p.float(prefix + "hard_limit_s")),
		Value:     p.float(prefix + "worth"),
		LateValue: p.float(prefix + "late_share"),
		Streaming: p.flag(prefix + "streaming"),
	}
}
