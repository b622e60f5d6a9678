// Package days draws days of disruptions for the operators' bench: more kinds at once than its own hunts draw, of all kinds that
// may come on any deployment, with overlaps and from a seed. It also makes a day that breaks something smaller (shrink.go).
package days

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
)

// Entry is one disruption of a day.
type Entry struct {
	At      float64 // seconds from the start of traffic
	Kind    string
	Planned bool
	Fields  []Field
}

// Field is one further field of an entry, its value written as in TOML.
type Field struct {
	Name  string
	Value string
}

// Day is a day of disruptions.
type Day struct {
	Name    string
	Closing string // the final fault, as a TOML value; empty = none
	Entries []Entry
}

// kind is how entries of one kind are drawn.
type kind struct {
	name    string
	planned bool
	weight  int
	hows    []string // one of them, "" for none
	ranges  []fieldRange
	needs   string // a contract that must be in force; empty = none but the usual ones
}

// fieldRange is a numeric field drawn evenly between two values; whole ones without a fraction.
type fieldRange struct {
	name     string
	from, to float64
	whole    bool
}

func lasts(from, to float64) fieldRange { return fieldRange{"for_s", from, to, false} }
func share(from, to float64) fieldRange { return fieldRange{"share", from, to, false} }
func times(from, to float64) fieldRange { return fieldRange{"x", from, to, false} }
func gap(from, to float64) fieldRange   { return fieldRange{"gap_s", from, to, false} }
func count(from, to float64) fieldRange { return fieldRange{"count", from, to, true} }

// kinds are the disruptions, with weights: those of the control plane come more often.
var kinds = []kind{
	{"config_storm", true, 6, []string{"", "idle", "quota", "timeout"}, []fieldRange{lasts(3, 14), gap(0.2, 1.2)}, ""},
	{"config_change", true, 6, []string{"route", "weights", "timeout", "tenant", "quota", "idle"}, nil, ""},
	{"config_race", true, 4, nil, []fieldRange{count(1, 4), gap(0.3, 1.2)}, ""},
	{"bad_config", true, 4, []string{"cut_short", "unknown_service", "same_place", "no_weight", "no_timeout", "old_version", "same_version", "stale_match", "shared_key"}, []fieldRange{count(1, 4), gap(0.3, 1)}, ""},
	{"big_config", true, 2, nil, []fieldRange{count(100, 1600)}, ""},
	{"revoke", true, 4, nil, []fieldRange{count(1, 3), gap(0.3, 1.5)}, ""},
	{"release", true, 4, nil, []fieldRange{share(0.2, 0.7), times(1, 1), gap(0.7, 2)}, ""},
	{"scale_in", true, 2, nil, []fieldRange{share(0.1, 0.25)}, ""},
	{"scale_out", true, 2, nil, []fieldRange{share(0.1, 0.3), gap(1, 4)}, ""},
	{"roll_term", true, 4, []string{"", "busy"}, []fieldRange{share(0.3, 1), times(1, 1), gap(0.8, 2)}, ""},
	{"seed_turnover", true, 3, nil, nil, ""},
	{"hup", true, 2, nil, []fieldRange{share(0.2, 0.6), gap(0.2, 1)}, ""},
	{"replace_core", true, 4, []string{"planned", "", "oldest"}, []fieldRange{times(1, 5)}, ""},
	{"node_kill", false, 4, []string{"", "power"}, []fieldRange{share(0.08, 0.25), lasts(0.5, 3)}, ""},
	{"node_freeze", false, 3, nil, []fieldRange{share(0.05, 0.2), lasts(1, 5)}, ""},
	{"node_slow", false, 2, nil, []fieldRange{share(0.05, 0.2), times(3, 8), lasts(2, 5)}, ""},
	{"node_cut", false, 4, []string{"", "all"}, []fieldRange{share(0.08, 0.25), lasts(2, 8)}, ""},
	{"core_cut", false, 8, []string{"", "split", "behind", "near", "all", "oldest", "one_way", "seeds", "both", "lure", "relieve", "leader race", "leader meet", "giver drain", "split reset"}, []fieldRange{lasts(2, 9)}, ""},
	{"after_ack_kill", false, 3, []string{"", "kill", "timed"}, []fieldRange{lasts(0.5, 2)}, ""},
	{"after_ack_wipe", false, 4, []string{"", "oldest"}, []fieldRange{lasts(0.5, 2)}, ""},
	{"herd_kill", false, 1, []string{"", "power"}, []fieldRange{share(0.3, 0.6), lasts(0.3, 1.2)}, ""},
	{"ack_lost", false, 4, nil, []fieldRange{times(0.3, 0.8), lasts(4, 12)}, ""},
	{"disk_slow", false, 3, nil, []fieldRange{count(1, 1), times(10, 30), lasts(2, 8)}, ""},
	{"disk_full", false, 3, nil, []fieldRange{count(1, 1), lasts(2, 8)}, ""},
	{"disk_stall", false, 3, nil, []fieldRange{count(1, 1), lasts(1, 6)}, ""},
	{"clock_step", false, 3, []string{"back", "ahead"}, []fieldRange{share(0.2, 0.5), times(1000, 5000), lasts(3, 10)}, ""},
	{"reset_conns", false, 3, nil, []fieldRange{share(0.1, 0.3), times(0.3, 0.8), lasts(1, 4)}, ""},
	{"srv_crash", false, 4, []string{"", "dark", "gone"}, []fieldRange{share(0.1, 0.25), lasts(2, 6)}, ""},
	{"srv_grey", false, 2, []string{"errors", "shed", "busy", "hang", "reset", "mute", "slow"}, []fieldRange{share(0.1, 0.2), times(0.2, 0.5), lasts(2, 6)}, "health"},
	{"srv_flap", false, 1, nil, []fieldRange{share(0.1, 0.15), gap(0.8, 2), lasts(3, 6)}, "health"},
	{"srv_slow", false, 1, nil, []fieldRange{share(0.1, 0.2), times(2, 4), lasts(2, 6)}, ""},
	{"srv_cut", false, 3, []string{"", "fronts", "some", "one_way", "reset"}, []fieldRange{share(0.1, 0.3), lasts(2, 6)}, ""},
	{"answer_lost", false, 3, nil, []fieldRange{share(0.3, 0.6), times(0.02, 0.08), lasts(3, 8)}, ""},
	{"garble", false, 4, []string{"", "extra", "unframed", "early"}, []fieldRange{share(0.3, 0.7), times(0.01, 0.05), lasts(3, 8)}, ""},
	{"idle_race", false, 3, nil, []fieldRange{share(0.3, 0.6), times(200, 500), lasts(4, 10)}, "pool"},
	{"replace_with_reuse", false, 3, []string{"", "drain", "dark"}, []fieldRange{share(0.1, 0.2)}, ""},
	{"give_up", false, 2, nil, []fieldRange{share(0.1, 0.4), lasts(3, 8)}, ""},
	{"retry_abuse", false, 1, nil, []fieldRange{share(0.1, 0.3), times(2, 3), lasts(3, 6)}, ""},
	{"hot_tenant", false, 2, nil, []fieldRange{count(1, 2), times(3, 6), lasts(4, 10)}, ""},
	{"burst", false, 1, nil, []fieldRange{times(1.2, 1.7), lasts(2, 6)}, ""},
}

// closings are the final faults.
var closings = []string{"", `{ kind = "power_off_all", down_s = 0.6 }`, `{ kind = "wipe_after_ack", down_s = 1.0 }`,
	`{ kind = "wipe_after_ack", down_s = 1.2, how = "oldest" }`, `{ kind = "kill_all", down_s = 0.6 }`,
	`{ kind = "wipe_after_ack", down_s = 0.8, how = "timed" }`}

// The span of a day in which disruptions begin.
const (
	firstAt = 1.0
	lastAt  = 30.0
)

// Draw draws a day with so many disruptions, for a deployment that has further contracts in force.
func Draw(seed uint64, disruptions int, contracts ...string) Day {
	chance := rand.New(rand.NewPCG(seed, 1))
	day := Day{Name: fmt.Sprintf("drawn-%d", seed), Closing: closings[chance.IntN(len(closings))]}
	open := slices.DeleteFunc(slices.Clone(kinds), func(k kind) bool { return k.needs != "" && !slices.Contains(contracts, k.needs) })
	for range disruptions {
		day.Entries = append(day.Entries, drawEntry(chance, open))
	}
	slices.SortStableFunc(day.Entries, func(a, b Entry) int {
		switch {
		case a.At < b.At:
			return -1
		case a.At > b.At:
			return 1
		}
		return 0
	})
	return day
}

func drawEntry(chance *rand.Rand, open []kind) Entry {
	one := drawKind(chance, open)
	entry := Entry{At: firstAt + chance.Float64()*(lastAt-firstAt), Kind: one.name, Planned: one.planned}
	for _, r := range one.ranges {
		value := r.from + chance.Float64()*(r.to-r.from)
		text := fmt.Sprintf("%.2f", value)
		if r.whole {
			text = fmt.Sprintf("%.0f", value)
		}
		entry.Fields = append(entry.Fields, Field{r.name, text})
	}
	if len(one.hows) > 0 {
		if how := one.hows[chance.IntN(len(one.hows))]; how != "" {
			entry.Fields = append(entry.Fields, Field{"how", fmt.Sprintf("%q", how)})
		}
	}
	return entry
}

func drawKind(chance *rand.Rand, open []kind) kind {
	total := 0
	for _, one := range open {
		total += one.weight
	}
	at := chance.IntN(total)
	for _, one := range open {
		if at -= one.weight; at < 0 {
			return one
		}
	}
	panic("days: weights")
}

// TOML is the day as a file for the bench.
func (d Day) TOML() string {
	var text strings.Builder
	fmt.Fprintf(&text, "name = %q\n", d.Name)
	if d.Closing != "" {
		fmt.Fprintf(&text, "closing = %s\n", d.Closing)
	}
	for _, planned := range []bool{true, false} {
		name := "faults"
		if planned {
			name = "plan"
		}
		fmt.Fprintf(&text, "%s = [\n", name)
		for _, entry := range d.Entries {
			if entry.Planned == planned {
				text.WriteString("  " + entry.line() + ",\n")
			}
		}
		text.WriteString("]\n")
	}
	return text.String()
}

func (e Entry) line() string {
	parts := []string{fmt.Sprintf("at = %.2f", e.At), fmt.Sprintf("kind = %q", e.Kind)}
	for _, field := range e.Fields {
		parts = append(parts, field.Name+" = "+field.Value)
	}
	return "{ " + strings.Join(parts, ", ") + " }"
}
