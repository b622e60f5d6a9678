package node

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/node/scenario"
)

// classesOf returns n classes that cycle through all effects and groups.
func classesOf(n int) (list []map[string]any) {
	effects := []string{"read_like", "idempotency_key", "non_idempotent"}
	groups := []string{"all", "zone", "cell", ""}
	for i := range n {
		list = append(list, map[string]any{"name": fmt.Sprint("c", i), "effect": effects[i%3], "group": groups[i/3%4], "key_ttl_s": 3,
			"on_time_s": 0.6, "hard_limit_s": 2, "worth": 1})
	}
	return list
}

// configOf writes a configuration with the test's own settings, except for the given ones, and loads it.
func configOf(t *testing.T, discovery string, other map[string]any) (*Config, error) {
	var set map[string]any
	require.NoError(t, json.Unmarshal([]byte(settings), &set))
	for name, value := range other {
		if inner, ok := value.(map[string]any); ok {
			for k, v := range inner {
				set[name].(map[string]any)[k] = v
			}
			continue
		}
		set[name] = value
		if value == nil {
			delete(set, name)
		}
	}
	set["locality"] = "z"
	text, err := json.MarshalIndent(map[string]any{"name": "n0", "listen": scenario.Loopback(t) + ":0", "discovery": discovery, "seed": "1",
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024}, "settings": set}, "", " ")
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, text, 0o600))
	return Load(func(name string) string { return map[string]string{"ROUTER_CONFIG": path}[name] })
}

// Guards against a node that works only for one deployment: for its number of classes, their effects and groups,
// tenants, zones, or for limits above one.
func TestSettingsOfOtherDeployments(t *testing.T) {
	for name, c := range map[string]struct {
		other   map[string]any
		classes int
	}{
		"one class":                {map[string]any{"classes": classesOf(1)}, 1},
		"one unsafe class":         {map[string]any{"classes": classesOf(3)[2:]}, 0},
		"every effect and group":   {map[string]any{"classes": classesOf(12)}, 12},
		"ten classes":              {map[string]any{"classes": classesOf(10)}, 10},
		"one attempt":              {map[string]any{"classes": classesOf(3), "limits": map[string]any{"max_attempts": 1, "cancel": false}}, 3},
		"one open request":         {map[string]any{"classes": classesOf(3), "limits": map[string]any{"max_open": 1}}, 3},
		"no tenants":               {map[string]any{"classes": classesOf(3), "projects": nil}, 3},
		"an empty list of tenants": {map[string]any{"classes": classesOf(3), "projects": []any{}}, 3},
		"two zones":                {map[string]any{"classes": classesOf(3), "zones": []string{"y", "z"}, "machine_types": []string{"j", "k"}}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			s := scenario.New(t, "h1")
			conf, err := configOf(t, s.Discovery, c.other)
			require.NoError(t, err)
			runNode(t, s, conf)
			s.Run(begin("h1"))
			for i := range c.classes {
				s.Run("wait 5\n" + serves(classesOf(12)[i], i))
			}
			if c.classes == 0 {
				s.Run(serves(classesOf(3)[2], 2))
			}
		})
	}
}

// runNode runs a node with the given configuration in a scenario until the test ends.
func runNode(t *testing.T, s *scenario.Stage, conf *Config) {
	n, err := newNode(conf, Extras{Log: slog.New(slog.NewTextHandler(io.Discard, nil))}, s.Clock)
	require.NoError(t, err)
	s.Address = n.loop.Addr
	ctx, cancel := context.WithCancel(context.Background())
	go func() { s.Ended <- n.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		for {
			select {
			case <-s.Ended:
				return
			case <-time.After(time.Millisecond):
				s.Clock.Advance(1000)
			}
		}
	})
}

// serves returns the steps of one request of a class, and its response.
func serves(class map[string]any, i int) string {
	method, key := "POST", ""
	switch class["effect"] {
	case "read_like":
		method = "GET"
	case "idempotency_key":
		key = fmt.Sprint(" key=k", i)
	}
	line := fmt.Sprintf("%s /%s/1 id=q%d%s", method, class["name"], i, key)
	return "a send " + line + " owner=t deadline=900\n r expect " + line + "\n r send 200 body=ok\n a expect 200 body=ok"
}

// Guards against a node that starts with invalid settings, and against an error that does not name their position
// in one line.
func TestInvalidSettings(t *testing.T) {
	with := func(name string, value any) map[string]any {
		list := classesOf(2)
		list[1][name] = value
		return map[string]any{"classes": list}
	}
	limits := func(name string, value any) map[string]any {
		return map[string]any{"limits": map[string]any{name: value}}
	}
	for _, c := range []struct {
		other map[string]any
		field string
	}{
		{map[string]any{"classes": []any{}}, "settings.classes: missing"},
		{map[string]any{"zones": []string{"x", "y"}}, `settings.locality: "z" is none of zones`},
		{map[string]any{"machine_types": []string{}}, "settings.machine_types: missing"},
		{with("effect", "odd"), "settings.classes.1.effect: unknown"},
		{with("group", "odd"), "settings.classes.1.group: unknown"},
		{with("name", ""), "settings.classes.1.name: missing"},
		{with("name", "c0"), "settings.classes.1.name: "},
		{with("name", "c/1"), "settings.classes.1.name: "},
		{with("name", "c 1"), "settings.classes.1.name: "},
		{with("name", "c?1"), "settings.classes.1.name: "},
		{with("on_time_s", 0), "settings.classes.1.on_time_s: must be above 0"},
		{with("hard_limit_s", 0.1), "settings.classes.1.hard_limit_s: must be on_time_s or more"},
		{with("worth", -1), "settings.classes.1.worth: must be 0 or more"},
		{limits("max_attempts", 0), "settings.limits.max_attempts: must be 1 or more"},
		{limits("max_open", -1), "settings.limits.max_open: must be 0 or more"},
		{limits("connect_timeout_s", 0), "settings.limits.connect_timeout_s: must be above 0"},
		{map[string]any{"projects": []map[string]any{{"name": "t"}, {"name": "t"}}}, "settings.projects.1.name: "},
	} {
		_, err := configOf(t, "127.0.0.1:1", c.other)
		require.ErrorContains(t, err, c.field)
		require.Regexp(t, `config\.json:\d+:\d+: settings\.`, err.Error())
		require.NotContains(t, strings.TrimSpace(err.Error()), "\n")
	}
}

// Guards against a node that notices a drain too late: where the list is pushed, changes that the agent receives
// once discovery is reachable again count as announced immediately, so the pauses after failed queries are bounded
// by the drain grace of the settings. Where a query has a cost, and where the configured pause is shorter, they
// stay as configured.
func TestPausesOfAPushedListAreBoundedByTheDrainGrace(t *testing.T) {
	for name, c := range map[string]struct {
		settings map[string]any
		option   float64
		want     float64
	}{
		"pushed":           {map[string]any{}, 1000, 250},
		"short grace":      {map[string]any{"safety": map[string]any{"drain_grace_s": 0.3}}, 1000, 150},
		"no grace":         {map[string]any{"safety": map[string]any{"drain_grace_s": 0}}, 1000, 25},
		"long grace":       {map[string]any{"safety": map[string]any{"drain_grace_s": 5}}, 1000, 1000},
		"a shorter option": {map[string]any{}, 100, 100},
		"asked for":        {map[string]any{"discovery": "ask", "safety": map[string]any{"ask_within_s": 30}}, 1000, 1000},
	} {
		t.Run(name, func(t *testing.T) {
			conf, err := configOf(t, "127.0.0.1:1", c.settings)
			require.NoError(t, err)
			o := DefaultOptions()
			o.Inventory.Discovery.LastPause.Ms = c.option
			require.InDelta(t, c.want, listLimits(conf, &o).LastPause, 1e-9)
		})
	}
}
