package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/decide"
)

const good = `{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"ff",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"index":1,"endpoints":[]},
"settings":{"group_size":2,"my_number":1,"locality":"z","zones":["y","z"],"machine_types":["k"],"weights":"nominal",
"classes":[{"name":"pay","effect":"non_idempotent","group":"all","on_time_s":1.5,"hard_limit_s":5.0,"worth":3.0}],
"limits":{"max_attempts":6,"connect_timeout_s":0.25,"conn_idle_s":30.0},"new_key":1}}`

func load(t *testing.T, text string, env map[string]string) (*Config, error) {
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return Load(func(name string) string {
		if name == "ROUTER_CONFIG" {
			return path
		}
		return env[name]
	})
}

func TestLoad(t *testing.T) {
	c, err := load(t, good, map[string]string{"ROUTER_LISTEN": "127.0.0.1:9"})
	require.NoError(t, err)
	assert.Equal(t, "127.0.0.1:9", c.Listen)
	assert.Equal(t, uint64(255), c.Seed)
	assert.Equal(t, 250.0, c.ConnectTimeout)
	assert.Equal(t, 5000.0, c.MaxDeadline)
	assert.Equal(t, 1, c.Settings.Zone)
	assert.Equal(t, decide.Unsafe, c.Settings.Classes[0].Effect)
	assert.Equal(t, 1500*time.Millisecond, c.Settings.Classes[0].Target)
}

// Guards against a node that starts on a bad configuration, or does not say which field is wrong.
func TestBadFieldsAreNamed(t *testing.T) {
	for _, c := range []struct{ old, new, field string }{
		{`"listen":"127.0.0.1:1"`, `"listen":"here"`, "listen"},
		{`"discovery":"127.0.0.1:2"`, `"x":1`, "discovery"},
		{`"cores":1.0`, `"cores":0`, "limits.cores"},
		{`"memory_mb":192`, `"memory_mb":"lots"`, "limits.memory_mb"},
		{`"sockets":1024`, `"sockets":63`, "limits.sockets"},
		{`"index":1`, `"x":1`, "known"},
		{`"locality":"z"`, `"locality":"x"`, "settings.locality"},
		{`"group_size":2`, `"group_size":0`, "settings.group_size"},
		{`["k"]`, `[]`, "settings.machine_types"},
		{`"nominal"`, `"heavy"`, "settings.weights"},
		{`"non_idempotent"`, `"odd"`, "settings.classes.0.effect"},
		{`"all"`, `"odd"`, "settings.classes.0.group"},
		{`"name":"pay"`, `"name":""`, "settings.classes.0.name"},
		{`1.5`, `0`, "settings.classes.0.on_time_s"},
		{`5.0`, `1`, "settings.classes.0.hard_limit_s"},
		{`3.0}`, `-1}`, "settings.classes.0.worth"},
		{`"max_attempts":6`, `"max_attempts":0`, "settings.limits.max_attempts"},
		{`0.25`, `0`, "settings.limits.connect_timeout_s"},
		{`30.0`, `-1`, "settings.limits.conn_idle_s"},
		{`{"name":"n0"`, `{`, "ROUTER_CONFIG"},
	} {
		require.Contains(t, good, c.old)
		_, err := load(t, strings.Replace(good, c.old, c.new, 1), nil)
		var wrong *FieldError
		if assert.ErrorAs(t, err, &wrong, c.field) {
			assert.Equal(t, c.field, wrong.Field)
			assert.NotContains(t, err.Error(), "\n")
		}
	}
	_, err := Load(func(string) string { return "" })
	assert.ErrorContains(t, err, "ROUTER_CONFIG: missing")
}

// Guards against a check that stops at the first fault, tells one twice, or names a wrong place: that of the value, or
// of what should hold it.
func TestEveryFaultIsTold(t *testing.T) {
	text := `{"Listen":7,"discovery":"127.0.0.1:2",
 "limits":{"cores":1.0,"memory_mb":"lots","sockets":[]},
 "settings":{"group_size":1.5,"locality":"z","zones":["z"],"machine_types":["k"],
  "classes":[{"name":"pay","effect":"odd","on_time_s":true,"hard_limit_s":5.0},"x"],
  "limits":{"connect_timeout_s":0.25,"conn_idle_s":30.0}}}`
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	_, faults := Check(func(name string) string {
		return map[string]string{"ROUTER_CONFIG": path, "ROUTER_DISCOVERY": "there"}[name]
	})
	got := []string{}
	for _, f := range faults {
		got = append(got, strings.TrimPrefix(f.Error(), path+":"))
	}
	assert.Equal(t, []string{
		"1:11: listen: is of type number, want string",
		"2:36: limits.memory_mb: is of type string, want number",
		"2:53: limits.sockets: is of type array, want whole number",
		"3:27: settings.group_size: is of type number 1.5, want whole number",
		"4:55: settings.classes.0.on_time_s: is of type bool, want number",
		"4:80: settings.classes.1: is of type string, want object",
		`ROUTER_DISCOVERY: not an ip:port`,
		"5:12: settings.limits.max_attempts: must be 1 or more",
		`4:37: settings.classes.0.effect: unknown: "odd"`,
	}, got)
}
