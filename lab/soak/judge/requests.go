package judge

import (
	"net/http"
	"slices"
	"strings"

	"linenwheel.dev/linenwheel/lab/soak/rater"
	"linenwheel.dev/linenwheel/lab/soak/record"
)

// Counts that the pages allow.
const (
	allowedOverAttempts = 3  // requests that run on more raters than MaxAttempts
	allowedDenied       = 15 // 5 from machines in touch and ten from others, and one in deniedOneIn
	deniedOneIn         = 500
	allowedCuts         = 3 // requests that a machine cuts although their rater is sound, away from planned work
)

// judgeRuns judges each run by what the client sent.
func (j *judge) judgeRuns() {
	overAttempts := 0
	for _, t := range j.ordered {
		raters := map[string]bool{}
		for _, one := range t.runs {
			j.judgeRun(t, one)
			if one.Executed {
				raters[one.Rater] = true
			}
		}
		route, known := j.mostPermissive(t)
		if !known {
			continue
		}
		executed := t.executed()
		if !route.idempotent() && len(executed) > 1 {
			j.broken(Twice, executed[1].at, []string{t.Attempt}, "a request that is not idempotent ran %d times, at %s and %s", len(executed), executed[0].Rater, executed[1].Rater)
		}
		if len(raters) > max(1, route.MaxAttempts) {
			overAttempts++
			if overAttempts > allowedOverAttempts {
				j.broken(Budget, t.at, []string{t.Attempt}, "a request ran on %d raters, MaxAttempts is %d", len(raters), route.MaxAttempts)
			}
		}
	}
}

// mostPermissive returns the route of a request as it allows most, over all versions that were ever sent, and whether there was one.
func (j *judge) mostPermissive(t *try) (routeItem, bool) {
	var most routeItem
	known := false
	for _, v := range j.history.versions {
		route := v.route(t.Host, t.Path)
		if route == nil {
			continue
		}
		attempts := max(most.MaxAttempts, route.MaxAttempts)
		if !known || route.idempotent() {
			most = *route
		}
		most.MaxAttempts, known = attempts, true
	}
	return most, known
}

// judgeRun judges one run.
func (j *judge) judgeRun(t *try, one run) {
	attempts := []string{t.Attempt}
	switch {
	case one.Method != http.MethodPost || one.Path != t.Path || one.Usage != t.Usage:
		j.broken(Unasked, one.at, attempts, "rater %s got %s %s with Token-Usage %q in place of POST %s with %q", one.Rater, one.Method, one.Path, one.Usage, t.Path, t.Usage)
	case one.Behaviour != "answers before it has read the body" && one.Body != t.Body:
		j.broken(Unasked, one.at, attempts, "rater %s got a body of %d bytes in place of one of %d", one.Rater, len(one.Body), len(t.Body))
	case one.Key != "":
		j.broken(Unasked, one.at, attempts, "the client's key was passed on to rater %s", one.Rater)
	}
	if !one.Executed {
		return
	}
	j.judgePermission(t, one)
}

// judgePermission judges whether any version allowed a run: its service, its key and its tenant.
func (j *judge) judgePermission(t *try, one run) {
	allowed, served, tenant := false, false, false
	for _, v := range j.history.versions {
		route := v.route(t.Host, t.Path)
		if v.refused || v.sentAt > one.at || route == nil {
			continue
		}
		served = served || slices.Contains(route.services(), one.Service)
		allowed = allowed || v.allows(route, t.Key)
		holder := v.holder(t.Key)
		tenant = tenant || (route.Anonymous || !v.listed) && one.Tenant == "" || holder != nil && holder.Name == one.Tenant
	}
	attempts := []string{t.Attempt}
	switch {
	case !served:
		j.broken(Route, one.at, attempts, "service %s ran a request for %s%s that no configuration sent there", one.Service, t.Host, t.Path)
	case !allowed:
		j.broken(Route, one.at, attempts, "a request ran with key %q, which no configuration held", t.Key)
	case !tenant:
		j.broken(Unasked, one.at, attempts, "a request ran for tenant %q, which does not hold its key", one.Tenant)
	}
	revoked := j.history.mayBeInForce(t.at-j.bounds.Revoke.Nanoseconds(), one.at)
	if allowed && len(revoked) > 0 && !slices.ContainsFunc(revoked, func(v *version) bool { return v.allows(v.anyRoute(t), t.Key) }) {
		j.broken(Config, one.at, attempts, "a request ran with key %q, %v and more after the change that took it away (revision %d) was acknowledged", t.Key,
			j.bounds.Revoke, revoked[0].order.Revision)
	}
}

// anyRoute returns the route of a request, or one that requires a key if the version has none: a key that was taken away is judged
// apart from a route that was.
func (v *version) anyRoute(t *try) *routeItem {
	if route := v.route(t.Host, t.Path); route != nil {
		return route
	}
	return &routeItem{Anonymous: true}
}

// judgeAnswers judges each answer by the runs of its request.
func (j *judge) judgeAnswers() {
	denied, proper := []string(nil), 0
	for _, t := range j.ordered {
		if t.Status != 0 {
			j.judgeAnswer(t)
		}
		if t.Status >= 200 && t.Status < 300 && t.Complete {
			j.verdict.Served++
		}
		if j.alwaysProper(t) {
			proper++
			if t.Seal == "" && t.Status >= 300 && t.Status < 500 && !promises(t.Status) {
				denied = append(denied, t.Attempt)
			}
		}
	}
	if len(denied) > allowedDenied+proper/deniedOneIn {
		j.broken(Denied, j.tries[denied[0]].at, denied[:3], "%d of %d requests that every configuration allows ended with a 3xx or 4xx of the system's own", len(denied), proper)
	}
}

// promises reports whether a status promises that the request has not run.
func promises(status int) bool {
	return status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest || status == http.StatusTooManyRequests ||
		status == http.StatusServiceUnavailable
}

// alwaysProper reports whether every version that may have been in force allows a request.
func (j *judge) alwaysProper(t *try) bool {
	for _, v := range j.history.versions {
		if v.refused || v.sentAt > t.EndedAt {
			continue
		}
		if !v.allows(v.route(t.Host, t.Path), t.Key) {
			return false
		}
	}
	return true
}

// judgeAnswer judges the head of one answer.
func (j *judge) judgeAnswer(t *try) {
	attempts := []string{t.Attempt}
	instance, attempt, _ := strings.Cut(t.Seal, ".")
	ran := func(status int) bool {
		return slices.ContainsFunc(t.runs, func(one run) bool { return one.Rater == instance && one.Status == status })
	}
	switch {
	case t.Seal != "" && attempt != t.Attempt:
		j.broken(Mixed, t.EndedAt, attempts, "the answer has the seal of another request: %s", t.Seal)
	case t.Status < 300 && t.Seal == "":
		j.broken(Mixed, t.EndedAt, attempts, "status %d without a seal", t.Status)
	case t.Seal != "" && !ran(t.Status):
		j.broken(Mixed, t.EndedAt, attempts, "status %d with the seal of rater %s, which did not answer so", t.Status, instance)
	}
	route, known := j.mostPermissive(t)
	if executed := t.executed(); known && !route.idempotent() && promises(t.Status) && len(executed) > 0 {
		j.broken(Refused, t.EndedAt, attempts, "a request that is not idempotent was answered %d and ran at rater %s", t.Status, executed[0].Rater)
	}
}

// judgeStreams judges what each client has received, over all its requests for the same.
func (j *judge) judgeStreams() {
	received := map[string]*rater.Received{}
	for _, t := range j.ordered {
		if t.Status != http.StatusOK {
			continue
		}
		state := received[t.Stream]
		if state == nil || t.Last == 0 {
			state = &rater.Received{Next: 1}
			received[t.Stream] = state
		}
		judgement := state.Judge(t.Answer, t.Complete && !t.Left, t.Tokens)
		switch {
		case judgement.Broken == "":
		case judgement.TooEarly && j.looksWhole(t):
			j.verdict.Undecidable++
		default:
			j.broken(Order, t.EndedAt, []string{t.Attempt}, "after event %d of %s: %s", t.Last, t.Path, judgement.Broken)
		}
	}
}

// looksWhole reports whether a rater has ended the stream too early by an end that is also that of a whole body, on a route on
// which nobody may be asked for the rest.
func (j *judge) looksWhole(t *try) bool {
	if slices.ContainsFunc(t.runs, j.endedUnseen) {
		return true
	}
	unframed := slices.ContainsFunc(t.runs, func(one run) bool {
		return rater.Framing(one.Framing) == rater.ByConnection && rater.Ending(one.Ending) != rater.Whole &&
			(one.LooksLike || rater.Ending(one.Ending) == rater.ClosesWithin)
	})
	if !unframed {
		return false
	}
	for _, v := range j.history.versions {
		if route := v.route(t.Host, t.Path); route != nil && !route.asksForRest() {
			return true
		}
	}
	return false
}

// raterEndMargin is how long before the end of a rater its connections may have ended with it, in nanoseconds: the platform notices
// the end later.
const raterEndMargin = 1e9

// endedUnseen reports whether a run without length or chunks ended with its rater's process while the machine was busy. That it
// did shows only in that other connections end within a moment, which is a bound of time.
func (j *judge) endedUnseen(one run) bool {
	at, gone := j.ended[one.Rater]
	return gone && rater.Framing(one.Framing) == rater.ByConnection && !quiet(j.busy, one.at-raterEndMargin, at+raterEndMargin)
}

// judgeLost judges requests that were cut although their rater was sound.
func (j *judge) judgeLost() {
	cuts := 0
	for _, t := range j.ordered {
		if !j.cutWithoutReason(t) {
			continue
		}
		if unframed(t) {
			j.verdict.CutUnframed++
			continue
		}
		planned := !quiet(j.troubles, t.at-j.bounds.Contact.Nanoseconds(), t.EndedAt)
		if cuts++; planned || cuts > allowedCuts {
			j.broken(Lost, t.EndedAt, []string{t.Attempt}, "the connection ended without a complete answer, although rater %s sent one", t.runs[len(t.runs)-1].Rater)
		}
	}
}

// unframed reports whether a rater has answered a request without length or chunks: nobody can tell a whole answer from one that
// was broken off.
func unframed(t *try) bool {
	return slices.ContainsFunc(t.runs, func(one run) bool { return rater.Framing(one.Framing) == rater.ByConnection })
}

// cutWithoutReason reports whether a request that a sound rater has answered whole got no complete answer, with no other trouble
// than planned work.
func (j *judge) cutWithoutReason(t *try) bool {
	if t.complete() || t.Left || t.Refused || len(t.runs) == 0 || t.EndedAt-t.at > 7*j.bounds.Deadline.Nanoseconds()/10 {
		return false
	}
	for _, one := range t.runs {
		sound := one.Behaviour == "plain" && one.Status == http.StatusOK && rater.Ending(one.Ending) == rater.Whole && t.whole[one.Rater]
		if at, gone := j.ended[one.Rater]; !sound || gone && at < t.EndedAt+raterEndMargin {
			return false
		}
	}
	return quiet(j.unsound, t.at-j.bounds.Contact.Nanoseconds(), t.EndedAt)
}

// judgeRecovery judges whether requests are served again after the last trouble.
func (j *judge) judgeRecovery() {
	if j.calmAt == 0 {
		return
	}
	from := j.calmAt + j.bounds.Recover.Nanoseconds()
	proper, served := 0, 0
	for _, t := range j.ordered {
		if t.at < from || t.Left || !j.alwaysProper(t) {
			continue
		}
		proper++
		if t.complete() && t.Status == http.StatusOK {
			served++
		}
	}
	if !quiet(j.busy, j.calmAt, never) {
		j.verdict.Unjudged++
		return
	}
	if proper > 0 && 4*served < proper {
		j.broken(Recover, from, nil, "%d of %d requests are served %v after the last trouble", served, proper, j.bounds.Recover)
	}
}

// trace returns what happened around a finding, in order: the records of its requests, and the changes and orders near them.
func trace(entries []record.Entry, finding *Finding, around int64) []record.Entry {
	var events []record.Entry
	for _, entry := range entries {
		near := entry.At > finding.At-around && entry.At < finding.At+around
		switch {
		case entry.Try != nil && slices.Contains(finding.Attempts, entry.Try.Attempt),
			entry.Run != nil && slices.Contains(finding.Attempts, entry.Run.Attempt),
			entry.Ran != nil && slices.Contains(finding.Attempts, entry.Ran.Attempt),
			near && (entry.Change != nil || entry.Order != nil || entry.Left != nil):
			events = append(events, entry)
		}
	}
	return events
}

// traceAround is how far from a finding its trace reaches, in nanoseconds.
const traceAround = 1e9

// Trace returns the records that explain a finding, in order.
func Trace(entries []record.Entry, finding *Finding) []record.Entry {
	return trace(entries, finding, traceAround)
}
