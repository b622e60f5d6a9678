package operator

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/operator/operatorpb"
)

// RouteType determines whether a request may be retried and whether its response is streamed.
type RouteType uint8

// Route types.
const (
	Unsafe RouteType = iota
	Safe
	Streaming
)

// Route is a compiled route.
type Route struct {
	Name        string
	Prefix      string
	Type        RouteType
	Timeout     time.Duration
	Target      time.Duration
	GapTarget   time.Duration
	Priority    int
	MaxAttempts int
	Anonymous   bool
	Affinity    bool
	Resume      bool
	Splits      []Split
}

// Idempotent reports whether a request on the route may be executed more than once.
func (r *Route) Idempotent() bool { return r.Type == Safe || r.Type == Streaming && r.Resume }

// Split is one service of a route. UpTo is the cumulative fraction of the traffic, up to 1, that is sent to this
// service and the ones before it.
type Split struct {
	Service string
	UpTo    float64
}

// Pick returns the service for a number drawn uniformly from [0, 1).
func (r *Route) Pick(draw float64) string {
	for _, split := range r.Splits {
		if draw < split.UpTo {
			return split.Service
		}
	}
	return r.Splits[len(r.Splits)-1].Service
}

// Allows reports whether the route sends requests to a service.
func (r *Route) Allows(service string) bool {
	return slices.ContainsFunc(r.Splits, func(s Split) bool { return s.Service == service })
}

// Service is a compiled service: a group of backend instances that serve the requests of routes. The configuration
// calls it a backend.
type Service struct {
	Name           string
	MaxConnections int
	Engine         bool
	Slots          int
	KvTokens       float64
}

// Tenant is a compiled tenant.
type Tenant struct {
	Name        string
	HasPriority bool
	Priority    int
	ByTokens    bool
	PlainTokens float64
	Rate        float64 // 0 = no limit
	Burst       float64
}

// Limits bound what a client may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Limits that apply if the configuration sets none.
const (
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 4 << 20
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	unitTokens           = "token_count"
)

// Table is a compiled document, used to look up the route and tenant of a request. It is immutable.
type Table struct {
	Revision int64
	hosts    map[string][]*Route // longest prefix first
	Services map[string]*Service
	keys     map[string]*Tenant
	Tenants  map[string]*Tenant
	// RequiresKeys means that the document has a list of tenants: a request needs a key of one of them, unless its
	// route is anonymous. If the list is empty, no key is valid. Without a list, keys are ignored.
	RequiresKeys bool
	Limits       Limits
}

// Compile compiles a valid document.
func (d *Document) Compile() *Table {
	t := &Table{Revision: d.Revision, hosts: map[string][]*Route{}, Services: map[string]*Service{}, keys: map[string]*Tenant{},
		Tenants: map[string]*Tenant{}, Limits: compileLimits(d.limits)}
	for _, route := range messages[*operatorpb.Route](d, fieldRoutes) {
		host := strings.ToLower(route.Hostname)
		t.hosts[host] = append(t.hosts[host], compileRoute(route))
	}
	for _, routes := range t.hosts {
		slices.SortFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, backend := range messages[*operatorpb.Backend](d, fieldBackends) {
		t.Services[backend.Name] = compileBackend(backend)
	}
	for _, tenant := range messages[*operatorpb.Tenant](d, fieldTenants) {
		compiled := compileTenant(tenant)
		t.Tenants[tenant.Name] = compiled
		for _, key := range tenant.ApiKeys {
			t.keys[key] = compiled
		}
	}
	t.RequiresKeys = d.hasList(fieldTenants)
	return t
}

// Tenants returns the tenants of a document, compiled.
func (d *Document) Tenants() []*Tenant {
	var tenants []*Tenant
	for _, tenant := range messages[*operatorpb.Tenant](d, fieldTenants) {
		tenants = append(tenants, compileTenant(tenant))
	}
	return tenants
}

func compileRoute(route *operatorpb.Route) *Route {
	compiled := &Route{Name: route.Name, Prefix: route.PathPrefix, Timeout: milliseconds(route.TimeoutMs),
		Target: milliseconds(route.TargetLatencyMs), GapTarget: milliseconds(route.GapAimMs), Priority: int(route.Priority),
		MaxAttempts: max(1, int(route.MaxAttempts)), Anonymous: route.Anonymous, Affinity: route.SessionAffinity,
		Resume: route.StreamResume}
	switch route.RouteType {
	case "safe":
		compiled.Type = Safe
	case "streaming":
		compiled.Type = Streaming
	}
	if len(route.TrafficSplit) == 0 {
		compiled.Splits = []Split{{Service: route.Backend, UpTo: 1}}
		return compiled
	}
	sum := 0.0
	for _, split := range route.TrafficSplit {
		sum += bounded(split.Weight)
	}
	upTo := 0.0
	for _, split := range route.TrafficSplit {
		if split.Weight > 0 {
			upTo += bounded(split.Weight) / sum
			compiled.Splits = append(compiled.Splits, Split{Service: split.Backend, UpTo: upTo})
		}
	}
	return compiled
}

func compileBackend(backend *operatorpb.Backend) *Service {
	compiled := &Service{Name: backend.Name, MaxConnections: int(backend.MaxConnections)}
	if engine := backend.Engine; engine != nil {
		compiled.Engine, compiled.Slots, compiled.KvTokens = true, int(engine.Slots), bounded(engine.KvTokens)
	}
	return compiled
}

func compileTenant(tenant *operatorpb.Tenant) *Tenant {
	compiled := &Tenant{Name: tenant.Name, ByTokens: tenant.Unit == unitTokens, PlainTokens: bounded(tenant.PlainTokens),
		Rate: bounded(tenant.RatePerS), Burst: bounded(tenant.Burst)}
	if tenant.Priority != nil {
		compiled.HasPriority, compiled.Priority = true, int(*tenant.Priority)
	}
	return compiled
}

func compileLimits(limits *operatorpb.Limits) Limits {
	compiled := Limits{HeaderBytes: int(max(0, limits.MaxHeaderBytes)), BodyBytes: max(0, limits.MaxBodyBytes),
		HeaderTimeout: milliseconds(limits.HeaderTimeoutMs), IdleTimeout: milliseconds(limits.IdleTimeoutMs)}
	compiled.HeaderBytes = cmp.Or(compiled.HeaderBytes, defaultHeaderBytes)
	compiled.BodyBytes = cmp.Or(compiled.BodyBytes, defaultBodyBytes)
	compiled.HeaderTimeout = cmp.Or(compiled.HeaderTimeout, defaultHeaderTimeout)
	compiled.IdleTimeout = cmp.Or(compiled.IdleTimeout, defaultIdleTimeout)
	return compiled
}

func milliseconds(value float64) time.Duration {
	return time.Duration(bounded(value) * float64(time.Millisecond))
}

// Route returns the route for a host, as in a Host header, and a path: the matching one with the longest prefix,
// or nil if none matches.
func (t *Table) Route(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, route := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Tenant returns the tenant with an API key, or nil if there is none.
func (t *Table) Tenant(key string) *Tenant { return t.keys[key] }

// Routes returns all routes, in no particular order.
func (t *Table) Routes() []*Route {
	var all []*Route
	for _, routes := range t.hosts {
		all = append(all, routes...)
	}
	return all
}
