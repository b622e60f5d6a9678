// Package judge decides from the records of a soak which rules of the pages were broken. It is apart from the product and from
// what the stand-ins decide: it reads nothing but what clients, raters, the operator and the platform saw.
//
// NotSeen lists the rules that records of this kind cannot show.
package judge

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"linenwheel.dev/linenwheel/lab/soak/record"
)

// Bounds are the bounds of the settings files of the play.
type Bounds struct {
	Contact     time.Duration
	Config      time.Duration
	Revoke      time.Duration
	Drain       time.Duration
	Grace       time.Duration
	Recover     time.Duration
	Deadline    time.Duration // of the clients' requests
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	QuotaWindow time.Duration
	QuotaOver   float64
	QuotaSlack  float64
}

// Rule is the name of a rule of the pages.
type Rule string

// The rules that are judged.
const (
	Mixed   Rule = "MIXED"
	Unasked Rule = "UNASKED"
	Twice   Rule = "TWICE"
	Refused Rule = "REFUSED"
	Denied  Rule = "DENIED"
	Budget  Rule = "BUDGET"
	Route   Rule = "ROUTE"
	Drain   Rule = "DRAIN"
	Lost    Rule = "LOST"
	Config  Rule = "CONFIG"
	Quota   Rule = "QUOTA"
	Order   Rule = "ORDER"
	Recover Rule = "RECOVER"
	Fault   Rule = "Fault"
)

// NotSeen lists what the pages ask for and the records do not show.
var NotSeen = []string{
	"CONFIG: a machine that regresses within one life of its processes (RollbackSlackMs)",
	"CONFIG: the rate on routes that were added later",
	"GONE: raters at work after their client has left",
	"BUDGET: the time that raters are handed",
	"DRAIN: machines that still count as ready after SIGTERM",
	"MIXED: bytes on a connection on which no request waits",
	"all prices, worths and duties",
}

// Finding is a broken rule.
type Finding struct {
	Rule     Rule
	At       int64 // nanoseconds since 1970
	Text     string
	Attempts []string // the requests
}

// Verdict is what the judge found.
type Verdict struct {
	Findings    []Finding
	Undecidable int // streams that ended too early by an end that is also that of a whole body
	CutUnframed int // whole answers without length or chunks that the client saw cut, as nobody could confirm their end
	Unjudged    int // requests for which a bound of time could not be judged, as a trouble or a busy machine was near
	Tries       int
	Served      int
	Runs        int
}

// Broken reports whether a rule was broken.
func (v *Verdict) Broken() bool { return len(v.Findings) > 0 }

// judge is the state of one judgement.
type judge struct {
	bounds  Bounds
	verdict Verdict
	entries []record.Entry // by time

	tries    map[string]*try // by attempt
	ordered  []*try          // by time
	history  history
	troubles []int64                // times of troubles of control and data processes, and of a busy machine
	unsound  []int64                // those that are not planned work
	busy     []int64                // times at which the machine was busy: no bound of time can be judged
	calmAt   int64                  // no trouble follows; 0 = never
	ended    map[string]int64       // when instances of raters ended
	latest   map[string]record.What // what happened to each control and data process last, while the records are indexed
}

// try is a request with its runs.
type try struct {
	*record.Try
	at    int64
	runs  []run
	whole map[string]bool // raters that have written their response whole
}

// run is a run with its time.
type run struct {
	*record.Run
	at int64
}

// executed returns the runs on which a rater has worked.
func (t *try) executed() []run {
	var executed []run
	for _, one := range t.runs {
		if one.Executed {
			executed = append(executed, one)
		}
	}
	return executed
}

// complete reports whether the client received a complete response.
func (t *try) complete() bool { return t.Status != 0 && t.Complete }

// Judge judges the records of one play. They need not be sorted.
func Judge(entries []record.Entry, bounds Bounds) Verdict {
	entries = slices.Clone(entries)
	record.Sort(entries)
	j := &judge{bounds: bounds, entries: entries, tries: map[string]*try{}, ended: map[string]int64{}, latest: map[string]record.What{}}
	j.history = newHistory(entries)
	j.index()
	j.judgeRuns()
	j.judgeAnswers()
	j.judgeStreams()
	j.judgeConfiguration()
	j.judgeInForce()
	j.judgeProcesses()
	j.judgeLost()
	j.judgeQuotas()
	j.judgeBudget()
	j.judgeRecovery()
	slices.SortStableFunc(j.verdict.Findings, func(a, b Finding) int { return cmp.Compare(a.At, b.At) })
	return j.verdict
}

// broken adds a finding.
func (j *judge) broken(rule Rule, at int64, attempts []string, format string, args ...any) {
	j.verdict.Findings = append(j.verdict.Findings, Finding{Rule: rule, At: at, Attempts: attempts, Text: fmt.Sprintf(format, args...)})
}

// plannedWork are the changes that the pages call planned work; so is the start after a stop in order.
var plannedWork = map[record.What]bool{record.Terminated: true, record.Ended: true, record.Reloaded: true}

// index builds the lookup tables.
func (j *judge) index() {
	for i := range j.entries {
		if entry := &j.entries[i]; entry.Try != nil {
			one := &try{Try: entry.Try, at: entry.At, whole: map[string]bool{}}
			j.tries[entry.Try.Attempt] = one
			j.ordered = append(j.ordered, one)
		}
	}
	j.verdict.Tries = len(j.ordered)
	for i := range j.entries {
		switch entry := &j.entries[i]; {
		case entry.Run != nil:
			j.verdict.Runs++
			if one := j.tries[entry.Run.Attempt]; one != nil {
				one.runs = append(one.runs, run{entry.Run, entry.At})
			} else {
				j.broken(Unasked, entry.At, []string{entry.Run.Attempt}, "rater %s ran a request that no client sent", entry.Run.Rater)
			}
		case entry.Ran != nil && j.tries[entry.Ran.Attempt] != nil:
			j.tries[entry.Ran.Attempt].whole[entry.Ran.Rater] = entry.Ran.Whole
		case entry.Change != nil:
			j.indexChange(entry)
		}
	}
}

func (j *judge) indexChange(entry *record.Entry) {
	change := entry.Change
	switch {
	case change.What == record.Calm:
		j.calmAt = entry.At
	case change.What == record.Busy:
		j.busy = append(j.busy, entry.At)
		j.troubles = append(j.troubles, entry.At)
		j.unsound = append(j.unsound, entry.At)
	case change.Role == "rater" && change.What == record.Ended:
		j.ended[change.Machine] = entry.At
	case change.Role == "rater" && change.What != record.Harmed && change.What != record.Healed:
	default:
		j.troubles = append(j.troubles, entry.At)
		startedAgain := change.What == record.Started && j.latest[change.Machine] == record.Ended
		if !plannedWork[change.What] && !startedAgain {
			j.unsound = append(j.unsound, entry.At)
		}
		j.latest[change.Machine] = change.What
	}
}

// quiet reports whether none of the times lies between two others.
func quiet(times []int64, from, to int64) bool {
	i, _ := slices.BinarySearch(times, from)
	return i == len(times) || times[i] > to
}

// inTouch reports whether all machines were in touch from a time on, for all that the records show: no trouble of a control or
// data process, and no busy machine, from Contact before that time.
func (j *judge) inTouch(from, to int64) bool {
	return quiet(j.troubles, from-j.bounds.Contact.Nanoseconds(), to)
}
