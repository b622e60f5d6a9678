package judge

import (
	"encoding/json"
	"math"
	"net/http"
	"slices"
	"strings"

	"linenwheel.dev/linenwheel/lab/soak/record"
)

// document is a configuration as the pages define it, by list and name.
type document struct {
	routes   map[string]routeItem
	backends map[string]json.RawMessage
	tenants  map[string]tenantItem
	listed   bool // there is a list of tenants, which may be empty
	limits   string
}

type routeItem struct {
	Name         string
	Hostname     string
	PathPrefix   string
	RouteType    string
	Backend      string
	TrafficSplit []struct{ Backend string }
	MaxAttempts  int
	Anonymous    bool
	StreamResume bool
	text         string
}

type tenantItem struct {
	Name        string
	APIKeys     []string `json:"ApiKeys"`
	PlainTokens float64
	RatePerS    float64
	Burst       float64
	text        string
}

// services returns the services that a route sends requests to.
func (r *routeItem) services() []string {
	if len(r.TrafficSplit) == 0 {
		return []string{r.Backend}
	}
	services := make([]string, 0, len(r.TrafficSplit))
	for _, split := range r.TrafficSplit {
		services = append(services, split.Backend)
	}
	return services
}

// idempotent reports whether a request on the route may run more than once.
func (r *routeItem) idempotent() bool {
	return r.RouteType == "safe" || r.RouteType == "streaming" && r.StreamResume
}

// asksForRest reports whether an end of a stream that may be that of a whole one is to be confirmed at another rater.
func (r *routeItem) asksForRest() bool {
	return r.RouteType == "streaming" && r.StreamResume && r.MaxAttempts > 1
}

func emptyDocument() *document {
	return &document{routes: map[string]routeItem{}, backends: map[string]json.RawMessage{}, tenants: map[string]tenantItem{}}
}

func (d *document) clone() *document {
	next := emptyDocument()
	for name, item := range d.routes {
		next.routes[name] = item
	}
	for name, item := range d.backends {
		next.backends[name] = item
	}
	for name, item := range d.tenants {
		next.tenants[name] = item
	}
	next.listed, next.limits = d.listed, d.limits
	return next
}

// route returns the route for a host and a path, the one with the longest prefix.
func (d *document) route(host, path string) *routeItem {
	var best *routeItem
	for _, item := range d.routes {
		if strings.EqualFold(item.Hostname, host) && strings.HasPrefix(path, item.PathPrefix) && (best == nil || len(item.PathPrefix) > len(best.PathPrefix)) {
			best = &item
		}
	}
	return best
}

// holder returns the tenant with a key, nil if there is none.
func (d *document) holder(key string) *tenantItem {
	for _, item := range d.tenants {
		if key != "" && slices.Contains(item.APIKeys, key) {
			return &item
		}
	}
	return nil
}

// allows reports whether a request with a key may run on a route.
func (d *document) allows(route *routeItem, key string) bool {
	return route != nil && (route.Anonymous || !d.listed || d.holder(key) != nil)
}

// lists are the lists of a body.
type lists struct {
	Routes   []json.RawMessage
	Backends []json.RawMessage
	Tenants  *[]json.RawMessage
}

// put adds or replaces items.
func (d *document) put(changed lists) {
	for _, raw := range changed.Routes {
		item := routeItem{text: compact(raw)}
		_ = json.Unmarshal(raw, &item)
		d.routes[item.Name] = item
	}
	for _, raw := range changed.Backends {
		var named struct{ Name string }
		_ = json.Unmarshal(raw, &named)
		d.backends[named.Name] = raw
	}
	if changed.Tenants == nil {
		return
	}
	d.listed = true
	for _, raw := range *changed.Tenants {
		item := tenantItem{text: compact(raw)}
		_ = json.Unmarshal(raw, &item)
		d.tenants[item.Name] = item
	}
}

// after returns the document after an order.
func (d *document) after(order *record.Order) *document {
	var body struct {
		lists
		Limits json.RawMessage
		Upsert lists
		Remove struct{ Routes, Backends, Tenants []string }
	}
	_ = json.Unmarshal([]byte(order.Body), &body)
	next := d.clone()
	if order.Method == http.MethodPut {
		next = emptyDocument()
		next.put(body.lists)
	}
	for _, name := range body.Remove.Routes {
		delete(next.routes, name)
	}
	for _, name := range body.Remove.Backends {
		delete(next.backends, name)
	}
	for _, name := range body.Remove.Tenants {
		delete(next.tenants, name)
	}
	next.put(body.Upsert)
	if body.Limits != nil {
		next.limits = compact(body.Limits)
	}
	return next
}

// compact returns JSON in one form.
func compact(raw json.RawMessage) string {
	var value any
	if json.Unmarshal(raw, &value) != nil {
		return string(raw)
	}
	text, _ := json.Marshal(value)
	return string(text)
}

// differs returns what of another document differs from this one, "" if nothing does.
func (d *document) differs(other *document) string {
	switch {
	case len(d.routes) != len(other.routes):
		return "the number of routes"
	case len(d.backends) != len(other.backends):
		return "the number of services"
	case len(d.tenants) != len(other.tenants) || d.listed != other.listed:
		return "the number of tenants"
	case d.limits != other.limits:
		return "the limits"
	}
	for name, item := range d.routes {
		if other.routes[name].text != item.text {
			return "route " + name
		}
	}
	for name, item := range d.tenants {
		if other.tenants[name].text != item.text {
			return "tenant " + name
		}
	}
	return ""
}

// version is a configuration that an operator sent.
type version struct {
	*document
	order   *record.Order
	sentAt  int64
	refused bool // it was answered by a clear refusal
}

// never is later than every time of a record.
const never = math.MaxInt64

// ackedAt returns when the version was acknowledged, never if it was not.
func (v *version) ackedAt() int64 {
	if v.order.Status == http.StatusOK {
		return v.order.AckedAt
	}
	return never
}

// history is what operators sent.
type history struct {
	versions   []*version // valid ones, by revision; each revision is used once
	byRevision map[int64]*version
	acked      []*version // by revision
	orders     []*version // all, by time
}

// newHistory builds the history from the operators' records.
func newHistory(entries []record.Entry) history {
	h := history{byRevision: map[int64]*version{}}
	documents := map[int64]*document{0: emptyDocument()}
	for i := range entries {
		order := entries[i].Order
		if order == nil {
			continue
		}
		v := &version{order: order, sentAt: entries[i].At, refused: order.Status >= http.StatusBadRequest && order.Status < http.StatusInternalServerError}
		h.orders = append(h.orders, v)
		base := documents[order.Base]
		if order.Invalid || base == nil || h.byRevision[order.Revision] != nil {
			continue
		}
		v.document = base.after(order)
		documents[order.Revision] = v.document
		h.byRevision[order.Revision] = v
		h.versions = append(h.versions, v)
		if order.Status == http.StatusOK {
			h.acked = append(h.acked, v)
		}
	}
	byRevision := func(a, b *version) int { return int(a.order.Revision - b.order.Revision) }
	slices.SortFunc(h.versions, byRevision)
	slices.SortFunc(h.acked, byRevision)
	return h
}

// mayBeInForce returns the versions that may be in force between two times at a process that knows what was acknowledged at a
// third time: the newest of these, and all later ones that had been sent and were not refused.
func (h *history) mayBeInForce(knownAt, to int64) []*version {
	var floor int64
	for _, v := range h.acked {
		if v.ackedAt() <= knownAt {
			floor = max(floor, v.order.Revision)
		}
	}
	var allowed []*version
	for _, v := range h.versions {
		if v.order.Revision >= floor && v.sentAt <= to && !v.refused {
			allowed = append(allowed, v)
		}
	}
	return allowed
}
