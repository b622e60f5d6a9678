package nodes

import (
	"encoding/json"
	"strconv"

	"linenwheel.dev/linenwheel/lab/live/agents"
	"linenwheel.dev/linenwheel/lab/world"
)

// config is the form of the platform's config.json.
type config struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Known    agents.List    `json:"known"`
	Settings map[string]any `json:"settings"`
}

type object = map[string]any

// settings are what the platform tells a node of the deployment: nothing that only the world knows.
func settings(day *world.Day, node int) object {
	s := day.Site
	sec := func(ms float64) float64 { return ms / 1000 }
	var classes, projects []object
	for i, c := range day.Classes {
		o := object{"name": c.Name, "on_time_s": sec(c.Aim), "hard_limit_s": sec(c.Deadline), "worth": c.Worth,
			"late_share": c.Late, "streaming": false, "effect": effects[c.Effect], "group": "all", "key_ttl_s": sec(c.Deadline)}
		if c.Effect == world.Keyed {
			o["key_ttl_s"] = sec(s.Classes[i].KeyTTL.Lo)
		}
		classes = append(classes, o)
	}
	for _, p := range day.Partners {
		projects = append(projects, object{"name": p.Name, "quota_rps": p.Quota, "share": p.Share})
	}
	var kinds []string
	weights := "none"
	for _, k := range s.Kinds {
		kinds = append(kinds, k.Name)
		if k.ListedWeight == "nominal" {
			weights = "nominal"
		}
	}
	discovery := "push"
	if day.List.Lines > 0 {
		discovery = "ask"
	}
	retryAfter := 0.0
	if s.Node.RetryAfter {
		retryAfter = sec(s.Clients.MaxRetryAfter.Hi)
	}
	return object{
		"group_size": day.Nodes, "my_number": node, "locality": s.Size.Zones[day.Zone(node)], "zones": s.Size.Zones,
		"machine_types": kinds, "weights": weights, "discovery": discovery, "workload": "proxy", "stage": 0,
		"layers": []string{"rating-servers"}, "tick_s": 0.005, "worth_by": s.Load.WorthBy,
		"over_share_worth": s.Load.OverShareWorth, "classes": classes, "projects": projects,
		"clients": object{"marks_retry": s.Clients.MarksRetry},
		"report":  object{"how": "none", "columns": []string{}},
		"score_parts": object{"whole": s.Weights.Whole, "worst_window": s.Weights.WorstWindow,
			"worst_class": s.Weights.WorstClass, "worst_tenant": s.Weights.WorstPartner},
		"deductions": object{"late_fail": s.Prices.LateFail, "waste": s.Prices.Waste, "probe": s.Prices.Probe,
			"cross_zone": s.Prices.CrossZone},
		"limits": object{"max_attempts": s.Node.MaxAttempts, "cancel": s.Node.Cancel, "second_copies": s.Node.SecondCopies,
			"probes": s.Node.Probes, "retry_after": s.Node.RetryAfter, "max_retry_after_s": retryAfter, "peers": false,
			"connect_timeout_s": sec(s.Conns.ConnectTimeout.Lo), "conn_idle_s": sec(s.Conns.Idle.Lo), "streams_per_conn": 1,
			"max_open": 36228},
		"safety": object{"answer_slack_s": sec(s.Rules.AnswerSlack.Lo), "ask_within_s": 10.0,
			"drain_grace_s": sec(s.Rules.DrainGrace.Lo), "start_capacity": s.Rules.ColdFrom,
			"cold_s": sec(s.Rules.ColdTime.Lo), "fall_multiple": s.Rules.FallMultiple, "fall_s": sec(s.Rules.FallTime.Lo)},
	}
}

// effects are the platform's words for what a repeat does.
var effects = map[string]string{world.Safe: "read_like", world.Keyed: "idempotency_key", world.Unsafe: "non_idempotent"}

// text is the configuration of one start.
func (n *node) text(life int) []byte {
	day := n.all.stage.Day
	c := config{Name: n.name, Listen: n.listen, Discovery: n.all.discovery.Address(n.number),
		Seed:  strconv.FormatUint(day.Seed*0x9e3779b97f4a7c15+uint64(n.number*1000+life), 16),
		Known: n.all.discovery.Known(n.number), Settings: settings(day, n.number)}
	c.Limits.Cores, c.Limits.MemoryMB, c.Limits.Sockets = day.Site.Node.Cores, day.Site.Node.MemoryMB, day.Site.Node.Sockets
	b, err := json.MarshalIndent(c, "", " ")
	if err != nil {
		panic(err) // plain values: it cannot fail
	}
	return b
}
