package judge

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"linenwheel.dev/linenwheel/lab/soak/record"
)

// judgeConfiguration judges the answers to orders and the configurations that were read back.
func (j *judge) judgeConfiguration() {
	onBase := map[int64]*version{}
	for _, v := range j.history.orders {
		switch {
		case v.order.Invalid && v.order.Status == http.StatusOK:
			j.broken(Config, v.sentAt, nil, "an invalid configuration was acknowledged (%s): %s", v.order.Behaviour, shortened(v.order.Body))
		case v.order.Invalid || v.document == nil || v.order.Status != http.StatusOK:
		case onBase[v.order.Base] != nil:
			j.broken(Config, v.sentAt, nil, "two changes on top of revision %d were acknowledged: %d and %d", v.order.Base, onBase[v.order.Base].order.Revision, v.order.Revision)
		default:
			onBase[v.order.Base] = v
		}
	}
	j.judgeRepeats()
	final := false
	for i := range j.entries {
		if read := j.entries[i].Read; read != nil {
			final = final || read.Final && read.Status == http.StatusOK
			j.judgeRead(j.entries[i].At, read)
		}
	}
	if !final && j.calmAt != 0 && quiet(j.busy, j.calmAt, never) {
		j.broken(Config, j.calmAt, nil, "the configuration could not be read back at the end")
	}
}

// shownBytes is how much of a body is shown.
const shownBytes = 200

// shortened returns the beginning of a text.
func shortened(text string) string { return text[:min(len(text), shownBytes)] }

// judgeRepeats judges orders that are sent again after they were acknowledged, with no change in between.
func (j *judge) judgeRepeats() {
	for i, v := range j.history.orders {
		acked := j.history.byRevision[v.order.Revision]
		if acked == nil || acked == v || acked.order.Body != v.order.Body || acked.ackedAt() > v.sentAt || !v.refused {
			continue
		}
		between := slices.ContainsFunc(j.history.orders[:i], func(other *version) bool {
			return other != acked && !other.refused && !other.order.Invalid && other.order.Revision > v.order.Revision
		})
		if !between {
			j.broken(Config, v.sentAt, nil, "revision %d, which was acknowledged, was refused with %d when it was sent again", v.order.Revision, v.order.Status)
		}
	}
}

// judgeRead judges a configuration that was read back.
func (j *judge) judgeRead(at int64, read *record.Read) {
	if read.Status != http.StatusOK {
		return
	}
	var body struct {
		Revision int64
		lists
		Limits json.RawMessage
	}
	if err := json.Unmarshal([]byte(read.Body), &body); err != nil {
		j.broken(Config, at, nil, "the configuration that was read from %s is not JSON: %v", read.Machine, err)
		return
	}
	known := at - j.bounds.Config.Nanoseconds()
	if read.Final {
		known = at
	}
	for _, v := range j.history.acked {
		if v.ackedAt() <= known && v.order.Revision > body.Revision {
			j.broken(Config, at, nil, "revision %d was read from %s, although %d was acknowledged %.1f s before", body.Revision, read.Machine, v.order.Revision,
				float64(at-v.ackedAt())/1e9)
			return
		}
	}
	v := j.history.byRevision[body.Revision]
	switch {
	case body.Revision == 0:
	case v == nil || v.refused:
		j.broken(Config, at, nil, "revision %d was read from %s, which no operator sent, or which was refused", body.Revision, read.Machine)
	default:
		content := emptyDocument()
		content.put(body.lists)
		if body.Limits != nil {
			content.limits = compact(body.Limits)
		}
		if difference := v.differs(content); difference != "" {
			j.broken(Config, at, nil, "revision %d as it was read from %s is not what was sent: %s", body.Revision, read.Machine, difference)
		}
	}
}

// judgeInForce judges whether requests are handled by a version that may be in force at a machine in touch.
func (j *judge) judgeInForce() {
	for _, t := range j.ordered {
		if t.Refused || t.Left {
			continue
		}
		allowed := j.history.mayBeInForce(t.at-j.bounds.Config.Nanoseconds(), t.EndedAt)
		if len(allowed) == 0 {
			continue
		}
		if !j.inTouch(t.at, t.EndedAt) {
			j.verdict.Unjudged++
			continue
		}
		j.judgeHandling(t, allowed)
	}
}

// judgeHandling judges how one request was handled, by the versions that may be in force.
func (j *judge) judgeHandling(t *try, allowed []*version) {
	all, none := true, true
	var services []string
	for _, v := range allowed {
		route := v.route(t.Host, t.Path)
		ok := v.allows(route, t.Key)
		all, none = all && ok, none && !ok
		if route != nil {
			services = append(services, route.services()...)
		}
	}
	attempts := []string{t.Attempt}
	oldest, newest := allowed[0].order.Revision, allowed[len(allowed)-1].order.Revision
	ownDenial := t.Seal == "" && (t.Status == http.StatusUnauthorized || t.Status == http.StatusForbidden || t.Status == http.StatusNotFound)
	switch executed := t.executed(); {
	case all && ownDenial:
		j.broken(Config, t.at, attempts, "status %d for %s%s, which revisions %d to %d allow", t.Status, t.Host, t.Path, oldest, newest)
	case none && len(executed) > 0:
		j.broken(Config, t.at, attempts, "a request for %s%s ran, which revisions %d to %d don't allow", t.Host, t.Path, oldest, newest)
	case len(executed) > 0 && !slices.Contains(services, executed[0].Service):
		j.broken(Config, t.at, attempts, "service %s ran a request for %s%s, which revisions %d to %d don't send there", executed[0].Service, t.Host, t.Path, oldest, newest)
	}
}

// judgeProcesses judges what the platform saw, and runs at raters that have left.
func (j *judge) judgeProcesses() {
	left := map[string]int64{}
	for i := range j.entries {
		entry := &j.entries[i]
		if entry.Left != nil && left[entry.Left.Rater] == 0 {
			left[entry.Left.Rater] = entry.At
		}
		change := entry.Change
		if change == nil || change.Role == "rater" {
			continue
		}
		switch change.What {
		case record.OwnEnd:
			j.broken(Fault, entry.At, nil, "the process of %s ended by itself: %s", change.Machine, change.Detail)
		case record.OverMemory:
			j.broken(Fault, entry.At, nil, "the process of %s is over its memory: %s", change.Machine, change.Detail)
		case record.Hung:
			if !quiet(j.busy, entry.At-2*j.bounds.Grace.Nanoseconds(), entry.At) {
				j.verdict.Unjudged++
				continue
			}
			j.broken(Fault, entry.At, nil, "the process of %s still ran after its grace: %s", change.Machine, change.Detail)
		}
	}
	for _, t := range j.ordered {
		for _, one := range t.runs {
			at, gone := left[one.Rater]
			late := gone && one.at > at+j.bounds.Drain.Nanoseconds()
			if late && one.Status != http.StatusMisdirectedRequest && t.at > at && j.inTouch(at, one.at) {
				j.broken(Drain, one.at, []string{t.Attempt}, "a request reached rater %s %.1f s after it was acknowledged as draining or gone", one.Rater, float64(one.at-at)/1e9)
			}
		}
	}
}

// consumption is what a tenant has used at a time.
type consumption struct {
	at    int64
	units float64
}

// judgeQuotas judges what tenants have used in each window. Limits that change count with their highest value.
func (j *judge) judgeQuotas() {
	limits := map[string]tenantItem{}
	for _, v := range j.history.versions {
		for name, item := range v.tenants {
			limit, known := limits[name]
			unlimited := known && limit.RatePerS == 0 || item.RatePerS == 0
			limit.RatePerS, limit.Burst, limit.PlainTokens = max(limit.RatePerS, item.RatePerS), max(limit.Burst, item.Burst), max(limit.PlainTokens, item.PlainTokens)
			if unlimited {
				limit.RatePerS = 0
			}
			limits[name] = limit
		}
	}
	used := map[string][]consumption{}
	for _, t := range j.ordered {
		if executed := t.executed(); len(executed) > 0 && executed[0].Tenant != "" {
			tenant := executed[0].Tenant
			used[tenant] = append(used[tenant], consumption{executed[0].at, units(t.Usage, limits[tenant].PlainTokens)})
		}
	}
	for tenant, consumptions := range used {
		limit := limits[tenant]
		if limit.RatePerS == 0 {
			continue
		}
		bound := (limit.RatePerS*j.bounds.QuotaWindow.Seconds()+limit.Burst)*(1+j.bounds.QuotaOver) + j.bounds.QuotaSlack
		if most, at := mostIn(consumptions, j.bounds.QuotaWindow.Nanoseconds()); most > bound {
			j.broken(Quota, at, nil, "tenant %s used %.0f units in %v, %.0f are allowed", tenant, most, j.bounds.QuotaWindow, bound)
		}
	}
}

// units returns the units of a request: the sum of the two numbers of its Token-Usage, or plain if they are none.
func units(usage string, plain float64) float64 {
	input, output, _ := strings.Cut(usage, ",")
	a, errA := strconv.Atoi(input)
	b, errB := strconv.Atoi(output)
	if errA != nil || errB != nil || a < 0 || b < 0 {
		return plain
	}
	return float64(a + b)
}

// mostIn returns the largest sum within a window, and the time at which it begins.
func mostIn(consumptions []consumption, window int64) (most float64, at int64) {
	slices.SortFunc(consumptions, func(a, b consumption) int { return cmp.Compare(a.at, b.at) })
	sum, first := 0.0, 0
	for _, one := range consumptions {
		sum += one.units
		for consumptions[first].at <= one.at-window {
			sum -= consumptions[first].units
			first++
		}
		if sum > most {
			most, at = sum, consumptions[first].at
		}
	}
	return most, at
}

// judgeBudget judges the arrivals beyond the first of each request, by service and window.
func (j *judge) judgeBudget() {
	requests, extra := map[string][]consumption{}, map[string][]consumption{}
	for _, t := range j.ordered {
		for i, one := range t.runs {
			if i == 0 {
				requests[one.Service] = append(requests[one.Service], consumption{t.at, 1})
				continue
			}
			extra[one.Service] = append(extra[one.Service], consumption{one.at, 1})
		}
	}
	window := j.bounds.RetryWindow.Nanoseconds()
	for service, arrivals := range extra {
		most, at := mostIn(arrivals, window)
		first := 0
		for _, shift := range []int64{0, window / 2, window} {
			count := 0
			for _, one := range requests[service] {
				if one.at > at-shift && one.at <= at-shift+window {
					count++
				}
			}
			first = max(first, count)
		}
		if bound := j.bounds.RetryRatio*float64(first) + j.bounds.RetrySlack; most > bound {
			j.broken(Budget, at, nil, "service %s got %.0f arrivals beyond the first in %v, %.0f are allowed", service, most, j.bounds.RetryWindow, bound)
		}
	}
}
