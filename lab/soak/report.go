package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"linenwheel.dev/linenwheel/lab/soak/behaviour"
	"linenwheel.dev/linenwheel/lab/soak/judge"
	"linenwheel.dev/linenwheel/lab/soak/record"
	"linenwheel.dev/linenwheel/lab/soak/schedule"
)

// Report is what all plays of a run came to.
type Report struct {
	Seeds       []SeedReport
	Troubles    map[schedule.Kind]int
	Behaviours  map[behaviour.Name]int
	NotPlayed   []string // kinds and behaviours that no play met
	NotSeen     []string // rules that the records cannot show
	Tries       int
	Served      int
	Undecidable int
	CutUnframed int
	Unjudged    int
}

// SeedReport is what one play came to.
type SeedReport struct {
	Seed      uint64
	Processes int
	PerSecond float64 // requests
	Served    float64 // share of the requests
	Findings  []judge.Finding
	Error     string `json:",omitempty"`
}

// NewReport returns a report without plays.
func NewReport() *Report {
	return &Report{Troubles: map[schedule.Kind]int{}, Behaviours: map[behaviour.Name]int{}, NotSeen: judge.NotSeen}
}

// Add adds a play.
func (r *Report) Add(result *Result, err error) {
	v := &result.Verdict
	seed := SeedReport{Seed: result.Plan.Seed, Processes: result.Processes, Findings: v.Findings}
	if err != nil {
		seed.Error = err.Error()
	}
	if v.Tries > 0 {
		seed.PerSecond, seed.Served = float64(v.Tries)/result.Seconds, float64(v.Served)/float64(v.Tries)
	}
	r.Seeds = append(r.Seeds, seed)
	slices.SortFunc(r.Seeds, func(a, b SeedReport) int { return int(a.Seed) - int(b.Seed) })
	r.Tries, r.Served = r.Tries+v.Tries, r.Served+v.Served
	r.Undecidable, r.Unjudged, r.CutUnframed = r.Undecidable+v.Undecidable, r.Unjudged+v.Unjudged, r.CutUnframed+v.CutUnframed
	for _, trouble := range result.Plan.Troubles {
		r.Troubles[trouble.Kind]++
	}
	for i := range result.Entries {
		r.count(&result.Entries[i])
	}
	r.findNotPlayed()
}

// count counts the behaviours that an entry shows.
func (r *Report) count(entry *record.Entry) {
	switch {
	case entry.Run != nil:
		r.Behaviours[behaviour.Name(entry.Run.Behaviour)]++
	case entry.Order != nil:
		r.Behaviours[behaviour.Name(entry.Order.Behaviour)]++
	case entry.Read != nil:
		r.Behaviours[behaviour.ReadsBack]++
	case entry.Left != nil:
		r.Behaviours[behaviour.Drains]++
	case entry.Try != nil:
		r.countTry(entry.Try)
	}
}

// countTry counts what can be told of a client's behaviour from its record.
func (r *Report) countTry(t *record.Try) {
	for name, shown := range map[behaviour.Name]bool{behaviour.LeavesMidway: t.Left, behaviour.ResumesStream: t.Last > 0, behaviour.NoKey: t.Key == "",
		behaviour.UnknownKey: t.Key == "key-nobody-holds", behaviour.LongBody: strings.Contains(t.Body, "checksum"),
		behaviour.UnknownRoute: strings.HasPrefix(t.Path, "/nobody/"), behaviour.OddUsage: !strings.ContainsAny(t.Usage[:min(1, len(t.Usage))], "123456789")} {
		if shown {
			r.Behaviours[name]++
		}
	}
}

// notCounted are the behaviours that records do not tell.
var notCounted = []behaviour.Name{behaviour.KeepsConnection, behaviour.NewConnection, behaviour.ChunkedBody, behaviour.RetriesPromise, behaviour.RevokedKey,
	behaviour.OddLast, behaviour.DeletesFirst}

func (r *Report) findNotPlayed() {
	r.NotPlayed = nil
	for _, kind := range schedule.Kinds() {
		if r.Troubles[kind] == 0 {
			r.NotPlayed = append(r.NotPlayed, string(kind))
		}
	}
	for _, row := range behaviour.Table {
		if r.Behaviours[row.Name] == 0 && !slices.Contains(notCounted, row.Name) {
			r.NotPlayed = append(r.NotPlayed, string(row.Actor)+" "+string(row.Name))
		}
	}
}

// Broken returns the seeds on which a rule was broken, by rule.
func (r *Report) Broken() map[judge.Rule][]uint64 {
	seeds := map[judge.Rule][]uint64{}
	for _, seed := range r.Seeds {
		for _, finding := range seed.Findings {
			if !slices.Contains(seeds[finding.Rule], seed.Seed) {
				seeds[finding.Rule] = append(seeds[finding.Rule], seed.Seed)
			}
		}
	}
	return seeds
}

// Failed reports whether a play could not run.
func (r *Report) Failed() bool {
	return slices.ContainsFunc(r.Seeds, func(s SeedReport) bool { return s.Error != "" })
}

// WriteFile writes the report as JSON.
func (r *Report) WriteFile(path string) error {
	text, err := json.MarshalIndent(r, "", "\t")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// Print prints the table of all plays.
func (r *Report) Print(out io.Writer) {
	fmt.Fprintln(out, "trouble | times")
	for _, kind := range schedule.Kinds() {
		fmt.Fprintf(out, "%s | %d\n", kind, r.Troubles[kind])
	}
	fmt.Fprintln(out, "\nbehaviour | times")
	for _, row := range behaviour.Table {
		if !slices.Contains(notCounted, row.Name) {
			fmt.Fprintf(out, "%s: %s | %d\n", row.Actor, row.Name, r.Behaviours[row.Name])
		}
	}
	fmt.Fprintf(out, "\nnot played: %s\n", strings.Join(r.NotPlayed, "; "))
	fmt.Fprintf(out, "not judged: %s\n", strings.Join(r.NotSeen, "; "))
	fmt.Fprintf(out, "%d seeds, %d requests, %d served, %d undecidable ends, %d whole unframed answers cut, %d without a bound of time\n", len(r.Seeds), r.Tries, r.Served, r.Undecidable, r.CutUnframed, r.Unjudged)
	broken := r.Broken()
	rules := make([]string, 0, len(broken))
	for rule, seeds := range broken {
		rules = append(rules, fmt.Sprintf("%s broken on %d seeds: %v", rule, len(seeds), seeds))
	}
	slices.Sort(rules)
	for _, line := range rules {
		fmt.Fprintln(out, line)
	}
	if len(broken) == 0 {
		fmt.Fprintln(out, "no rule was broken")
	}
}

// How many findings of a play are explained, and how many are listed.
const (
	shownFindings  = 3
	listedFindings = 20
)

// Explain prints a play's findings with the events around them, and the command that plays it again.
func Explain(out io.Writer, result *Result, again string) {
	for i := range result.Verdict.Findings {
		if i == listedFindings {
			fmt.Fprintf(out, "seed %d: %d more\n", result.Plan.Seed, len(result.Verdict.Findings)-i)
			break
		}
		finding := &result.Verdict.Findings[i]
		fmt.Fprintf(out, "seed %d: %s at %s: %s\n", result.Plan.Seed, finding.Rule, time.Unix(0, finding.At).Format("15:04:05.000"), finding.Text)
		if i >= shownFindings {
			continue
		}
		for _, entry := range judge.Trace(result.Entries, finding) {
			fmt.Fprintf(out, "    %+8.3f s  %s\n", float64(entry.At-finding.At)/1e9, describe(&entry))
		}
	}
	if result.Verdict.Broken() {
		fmt.Fprintf(out, "    again: %s\n", again)
	}
}

// shownBytes is how much of a body is shown.
const shownBytes = 160

// describe returns one line for an entry.
func describe(entry *record.Entry) string {
	shortened := func(text string) string { return text[:min(len(text), shownBytes)] }
	switch {
	case entry.Try != nil:
		t := entry.Try
		return fmt.Sprintf("client: %s %s at %s, key %q, after event %d: status %d, seal %q, complete %v, left %v, refused %v, %.3f s, %q", t.Attempt, t.Path, t.Machine, t.Key, t.Last,
			t.Status, t.Seal, t.Complete, t.Left, t.Refused, float64(t.EndedAt-entry.At)/1e9, shortened(t.Answer))
	case entry.Run != nil:
		r := entry.Run
		return fmt.Sprintf("rater %s (%s): %s, tenant %q, after event %d: status %d, executed %v, %s, framing %d, ending %d", r.Rater, r.Service, r.Attempt, r.Tenant, r.Last,
			r.Status, r.Executed, r.Behaviour, r.Framing, r.Ending)
	case entry.Ran != nil:
		return fmt.Sprintf("rater %s: %s ended, whole %v", entry.Ran.Rater, entry.Ran.Attempt, entry.Ran.Whole)
	case entry.Left != nil:
		return fmt.Sprintf("rater %s: acknowledged as draining or gone by %s", entry.Left.Rater, entry.Left.Machine)
	case entry.Order != nil:
		o := entry.Order
		return fmt.Sprintf("operator: %s, %s on %d makes %d: status %d after %.3f s, %s", o.Behaviour, o.Method, o.Base, o.Revision, o.Status, float64(o.AckedAt-entry.At)/1e9, shortened(o.Body))
	case entry.Change != nil:
		return fmt.Sprintf("platform: %s %s %s %s", entry.Change.Role, entry.Change.Machine, entry.Change.What, entry.Change.Detail)
	}
	return "operator: reads the configuration"
}
