package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"linenwheel.dev/linenwheel/lab/soak/judge"
	"linenwheel.dev/linenwheel/lab/soak/schedule"
)

// bounds are the bounds of the settings files.
var bounds = judge.Bounds{Contact: 3 * time.Second, Config: 2 * time.Second, Revoke: 5 * time.Second, Drain: 2 * time.Second,
	Grace: 4 * time.Second, Recover: 6 * time.Second, Deadline: deadline, RetryRatio: 0.2, RetrySlack: 64, RetryWindow: 10 * time.Second,
	QuotaWindow: 8 * time.Second, QuotaOver: 0.1, QuotaSlack: 140000}

// memoryMB is the memory of each process, in MB.
const memoryMB = 284

// settings returns the lines of the settings files that state the bounds.
func settings() []string {
	ms := func(name string, d time.Duration) string { return fmt.Sprintf("Bounds.%s=%d", name, d.Milliseconds()) }
	seconds := func(name string, d time.Duration) string { return fmt.Sprintf("Bounds.%s=%g", name, d.Seconds()) }
	return []string{ms("ContactMs", bounds.Contact), ms("ConfigMs", bounds.Config), ms("RevokeMs", bounds.Revoke), ms("DrainMs", bounds.Drain),
		fmt.Sprintf("Bounds.RetryBudgetRatio=%g", bounds.RetryRatio), fmt.Sprintf("Bounds.BudgetSlack=%g", bounds.RetrySlack),
		seconds("BudgetWindowS", bounds.RetryWindow), seconds("QuotaWindowS", bounds.QuotaWindow), fmt.Sprintf("Bounds.QuotaOver=%g", bounds.QuotaOver),
		fmt.Sprintf("Bounds.QuotaSlack=%g", bounds.QuotaSlack), fmt.Sprintf("Limits.MemoryMb=%d", memoryMB), "Limits.MaxFds=4100"}
}

// host is the host of all routes.
const host = "soak.example"

// services of every deployment.
var services = []string{"llm", "api", "spare"}

// split is a part of a route's traffic.
type split struct {
	Backend string
	Weight  int
}

// route is a route of the configuration.
type route struct {
	Name            string
	Hostname        string
	PathPrefix      string
	RouteType       string
	TimeoutMs       int
	TargetLatencyMs int
	Priority        int
	Backend         string  `json:",omitempty"`
	TrafficSplit    []split `json:",omitempty"`
	MaxAttempts     int
	Anonymous       bool
	SessionAffinity bool
	StreamResume    bool
}

// service is a service of the configuration, which calls it a backend.
type service struct {
	Name           string
	HealthCheck    string
	MaxConnections int
	Protocol       string
}

// tenant is a tenant of the configuration.
type tenant struct {
	Name        string
	APIKeys     []string `json:"ApiKeys"`
	Priority    int
	Unit        string
	PlainTokens int
	RatePerS    int
	Burst       int
}

// limits bound what clients may send.
type limits struct {
	MaxHeaderBytes  int
	MaxBodyBytes    int
	HeaderTimeoutMs int
	IdleTimeoutMs   int
}

// configuration is a whole configuration.
type configuration struct {
	Revision int64
	Routes   []route
	Backends []service
	Tenants  []tenant
	Limits   limits
}

// clone returns a copy whose lists may be changed.
func (c *configuration) clone() configuration {
	next := *c
	next.Routes = append([]route{}, c.Routes...)
	next.Backends = append([]service{}, c.Backends...)
	next.Tenants = append([]tenant{}, c.Tenants...)
	return next
}

// Sizes of a deployment.
const (
	amplePerS   = 10_000_000
	limitedPerS = 20_000
	maxHeader   = 16 << 10 // bytes
	maxBody     = 1 << 20
)

// firstConfiguration returns the configuration with which a play begins.
func firstConfiguration(plan *schedule.Plan) configuration {
	random := rand.New(rand.NewPCG(plan.Seed, 1))
	c := configuration{Revision: 1, Limits: limits{maxHeader, maxBody, 3000, 15000}}
	for _, name := range services {
		c.Backends = append(c.Backends, service{Name: name, HealthCheck: "/healthz", MaxConnections: 600, Protocol: "h1"})
	}
	for _, kind := range []struct {
		name, routeType string
		attempts        int
		resume, open    bool
	}{{"resumed", "streaming", 2, true, false}, {"thrice", "streaming", 3, true, false}, {"plain", "streaming", 1, false, false},
		{"twice", "streaming", 2, false, false}, {"safe", "safe", 2, false, false}, {"unsafe", "unsafe", 2, false, false}, {"open", "safe", 2, false, true}} {
		c.Routes = append(c.Routes, route{Name: kind.name, Hostname: host, PathPrefix: "/" + kind.name + "/", RouteType: kind.routeType, TimeoutMs: 4000,
			TargetLatencyMs: 500, Priority: random.IntN(3), Backend: services[random.IntN(2)], MaxAttempts: kind.attempts, Anonymous: kind.open,
			SessionAffinity: kind.routeType == "streaming", StreamResume: kind.resume})
	}
	for i := range plan.Routes {
		c.Routes = append(c.Routes, drawRoute(random, fmt.Sprintf("r%d", i)))
	}
	for i := range plan.Tenants {
		perS := amplePerS
		if i%5 == 4 {
			perS = limitedPerS
		}
		c.Tenants = append(c.Tenants, tenant{Name: fmt.Sprintf("t%d", i), APIKeys: []string{fmt.Sprintf("key-%d-a", i), fmt.Sprintf("key-%d-b", i)},
			Priority: i % 3, Unit: "token_count", PlainTokens: 200, RatePerS: perS, Burst: perS})
	}
	return c
}

// drawRoute returns a route of any type.
func drawRoute(random *rand.Rand, name string) route {
	r := route{Name: name, Hostname: host, PathPrefix: "/" + name + "/", RouteType: []string{"safe", "unsafe", "streaming"}[random.IntN(3)],
		TimeoutMs: 4000, TargetLatencyMs: 500, Priority: random.IntN(3), MaxAttempts: 1 + random.IntN(3), Anonymous: random.IntN(5) == 0,
		SessionAffinity: random.IntN(2) == 0}
	r.StreamResume = r.RouteType == "streaming" && random.IntN(2) == 0
	if random.IntN(3) == 0 {
		r.TrafficSplit = []split{{services[0], 1 + random.IntN(9)}, {services[1], 1 + random.IntN(9)}}
	} else {
		r.Backend = services[random.IntN(2)]
	}
	return r
}

// encode returns the JSON of a value that the operators send.
func encode(value any) string {
	text, err := json.Marshal(value)
	if err != nil { // cannot happen: the types above are plain data
		panic(err)
	}
	return string(text)
}
