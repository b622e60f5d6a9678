package options

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"linenwheel.dev/linenwheel/decide"
	"linenwheel.dev/linenwheel/internal/node/config"
	_ "linenwheel.dev/linenwheel/internal/rapidseed" // the same histories every time
)

// load reads a text and gives its faults, one a line, without the name of the file.
func load(t *testing.T, text string) (*File, string) {
	path := filepath.Join(t.TempDir(), "o.toml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	f, faults := Load(path)
	lines := ""
	for _, fault := range faults {
		lines += strings.TrimPrefix(fault.Error(), path+":") + "\n"
	}
	return f, lines
}

// Guards against an example that cannot be used, that leaves a field out, or that does something to a node.
func TestExampleIsTheDefaults(t *testing.T) {
	f, faults := Load("../../../deploy/linenwheel.toml")
	require.Empty(t, faults)
	assert.Equal(t, Default(), f.Options)
	lists := map[string]bool{}
	for _, field := range Fields() {
		lists[field.Path] = field.List
	}
	for _, v := range f.Values() {
		assert.True(t, v.Source == "file" || lists[v.Field], v.Field)
	}
}

// Guards against a type with a default outside of its bounds, a number without bounds, and a default that cannot be
// read, which a node would only find out at its start.
func TestTypesAreSound(t *testing.T) {
	for _, f := range Fields() {
		if f.List {
			continue
		}
		assert.NoError(t, f.check(), f.Path)
		what, kinds := takes(f.value.Type())
		assert.NotEmpty(t, kinds, f.Path)
		if what != "string" && what != "boolean" && what != "list" {
			assert.NotEmpty(t, f.Min, f.Path)
			assert.NotEmpty(t, f.Max, f.Path)
		}
	}
	o := Default()
	c := &config.Config{Sockets: 64, MemoryMB: 8, ConnIdle: 1}
	assert.Empty(t, Check(o, c), "defaults serve whatever the platform gives")
}

// Guards against a bad file that is taken, a fault that is not told, told twice or told with a wrong place, and one
// that hides others.
func TestEveryFaultIsTold(t *testing.T) {
	for text, want := range map[string]string{
		"": "",
		"[south]\nsettle = \"6ms\"\nwear = {quick = \"7ms\"}\n":                 "",
		"south.settle = \"6ms\"":                                                "",
		"[south":                                                                "1:6: expected ']' to close table name",
		"[south]\nsettle = \"5m":                                                "2:12: unterminated basic string",
		"[sotuh]\nsettle = 1\n[south]\nx = 1":                                   "1:2: sotuh: unknown table\n4:1: south.x: unknown field\n",
		"[South]\n[[log]]\n[log]\nLevel=\"info\"":                               "1:2: South: unknown table\n2:3: log: is a table, not a list of tables\n4:1: log.Level: unknown field\n",
		"[south.settle]\nx = 1\n":                                               "1:2: south.settle: is a field, not a table\n",
		"[south]\nsettle = 5\nidle_part = \"x\"\nwear = 1":                      "2:1: south.settle: is of type integer, want a time\n3:1: south.idle_part: is of type string, want a number\n4:1: south.wear: is of type integer, want a table\n",
		"[south]\nsettle = \"5\"\nretire_every = \"9 s\"\n":                     "2:10: south.settle: want a time with its unit, such as \"250ms\"\n3:16: south.retire_every: want a time with its unit, such as \"250ms\"\n",
		"[north.http]\npipeline_most = \"1.5KiB\"\nbacklog_most=\"9PiB\"\n":     "2:17: north.http.pipeline_most: want a size with its unit (B, KiB, MiB, GiB), such as \"64KiB\"\n3:14: north.http.backlog_most: want a size with its unit (B, KiB, MiB, GiB), such as \"64KiB\"\n",
		"[south]\nidle_part = 1.5\nsettle = \"-1s\"\n":                          "2:1: south.idle_part: 1.5 is above 1\n3:1: south.settle: -1s is below 1ms\n",
		"[south]\nidle_part = nan\n":                                            "2:1: south.idle_part: NaN is below 0.01\n",
		"[log]\nlevel = \"loud\"\nlevel = \"info\"\n":                           "2:1: log.level: \"loud\" is none of debug, info, warn, error\n3:1: level: key level is already defined\n",
		"[log]\n[south]\n[log]\nlevel = \"loud\"\n":                             "3:2: log: stands there twice\n",
		"[service]\ngc_percent = 99999999999999999999\nreserve = 1\n":           "2:14: service.gc_percent: decimal number is too large to fit in a 64-bit signed integer\n3:1: service.reserve: 1 is below 16\n",
		"[service]\nanswers_ahead = \"40ms\"\n":                                 "2:1: service.answers_ahead: end_ahead, 50ms, is longer than answers_ahead, 40ms\n",
		"[service]\nanswers_ahead = \"800ms\"\n":                                "2:1: service.answers_ahead: service.answers_ahead, 800ms, is longer than platform.kill_after, 700ms\n",
		"[service]\nanswers_ahead = \"800ms\"\n[platform]\nkill_after = \"1s\"": "",
		"[service]\nanswers_ahead = \"800 ms\"\n":                               "2:17: service.answers_ahead: want a time with its unit, such as \"250ms\"\n",
		"[state]\nfrom = [\"h1:9\", \"[::1]:9\"]\nfrom_wait = \"50ms\"\n":       "",
		"[state]\nfrom = [\"h1\", \":9\", \"h:0\", \"h:9\", \"h:9\"]\n":         "2:1: state.from: from: \"h1\" is no host:port\n2:1: state.from: from: \":9\" is no host:port\n2:1: state.from: from: \"h:0\" is no host:port\n2:1: state.from: from has \"h:9\" twice\n",
		"[state]\nfrom_wait = \"49ms\"\n":                                       "2:1: state.from_wait: 49ms is below 50ms\n",
		"[state]\nfrom = [" + strings.Repeat("\"a:1\",", 65) + "]\n":            "2:1: state.from: from has 65 doors, want 64 at the most\n" + strings.Repeat("2:1: state.from: from has \"a:1\" twice\n", 64),
		"[north.http]\nsweep_every = \"1s\"\nidle_after = \"1s\"\n":             "2:1: north.http.sweep_every: north.http.read_limit, 2500ms, and sweep_every, 1s, is longer than platform.client_end, 3s\n2:1: north.http.sweep_every: north.http.first_limit, 2800ms, and sweep_every, 1s, is longer than platform.client_end, 3s\n3:1: north.http.idle_after: platform.client_rest, 2s, is longer than north.http.idle_after, 1s\n",
	} {
		_, got := load(t, text)
		assert.Equal(t, strings.TrimSuffix(want, "\n"), strings.TrimSuffix(got, "\n"), text)
	}
}

// Guards against an options file that leaves the node no room within what the platform gives, and against a fault told
// of what the file does not change.
func TestAgainstThePlatform(t *testing.T) {
	c := &config.Config{Sockets: 64, MemoryMB: 192, ConnIdle: 30000}
	for text, want := range map[string]string{
		"[south]\nconnections_part = 0.01":                             "2:1: south.connections_part: no connection to hosts is left of limits.sockets, 64",
		"[south]\nconnections_part = 0.99":                             "2:1: south.connections_part: no connection of clients is left of limits.sockets, 64",
		"[service]\nreserve = 34":                                      "2:1: service.reserve: crowded_part of limits.sockets, 16 of 64, is more than the 13 that clients may hold",
		"[south]\nsettle = \"1s\"\nidle_part = 0.03":                   "3:1: south.idle_part: idle_part of settings.limits.conn_idle_s, 900ms, is not more than settle, 1s: no connection would be used again",
		"[north.http]\npipeline_most = \"16MiB\"\n":                    "2:1: north.http.pipeline_most: pipeline_most for each of 18 clients, 288 MB, is more than memory_part of limits.memory_mb, 134 MB",
		"[north.http]\ncrowded_part = 1\n[south]\nidle_part = 0.001\n": "",
	} {
		f, _ := load(t, text)
		got := ""
		for _, fault := range f.Against(c) {
			got += strings.TrimPrefix(fault.Error(), f.Path+":")
		}
		assert.Equal(t, want, got, text)
	}
	o := Default()
	o.Service.Reserve, o.South.Settle.Ms = 64, -1
	assert.Len(t, Check(o, c), 3, "options that come from no file are checked too")
}

// Guards against a division of the descriptors that differs from whole-number arithmetic by a rounding.
func TestRoom(t *testing.T) {
	o := Default()
	for sockets := 64; sockets < 1<<16; sockets++ {
		hosts := (sockets - 24) * 45 / 100
		if want := (Room{Hosts: hosts, Clients: sockets - 24 - hosts - 4, Spare: 4, Crowded: sockets / 4}); o.Room(&config.Config{Sockets: sockets}) != want {
			require.Equal(t, want, o.Room(&config.Config{Sockets: sockets}))
		}
	}
}

// Guards against a node whose operators' door leaves clients so few connections that no answer ends one in a crowd, or that does not
// start because of it.
func TestRoomBesideTheDoor(t *testing.T) {
	o := Default()
	for sockets := 64; sockets < 1<<16; sockets++ {
		c := &config.Config{Sockets: sockets, Control: "127.0.0.1:7", MemoryMB: 1e6, ConnIdle: 30000}
		r := o.Room(c)
		if r.Hosts < 1 || r.Clients < 1 || r.Crowded > r.Clients {
			require.Fail(t, "no room", "%d: %+v", sockets, r)
		}
	}
	o.Against(&config.Config{Sockets: 64, Control: "127.0.0.1:7", MemoryMB: 192, ConnIdle: 30000}, func(reason string, fields ...string) {
		require.Fail(t, reason, fields)
	})
}

// Guards against a time or a size that is shown as something else than it is.
func TestValuesAreWrittenAsTheyAreRead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, s := Duration{float64(rapid.IntRange(-1e9, 1e9).Draw(t, "us")) / 1000}, Size{rapid.IntRange(0, 1<<40).Draw(t, "b")}
		var d2 Duration
		var s2 Size
		require.NoError(t, d2.UnmarshalText([]byte(d.String())))
		require.NoError(t, s2.UnmarshalText([]byte(s.String())))
		require.InDelta(t, d.Ms, d2.Ms, 1e-6)
		require.Equal(t, s, s2)
	})
}

// Guards against a crash, a fault without a line, or a wrong place on whatever stands in a file.
func FuzzLoad(f *testing.F) {
	f.Add("[south]\nsettle = \"5ms\"\nwear = {quick = 1}\n[[log]]\nx.y = 1\n")
	f.Add("log.level.x = 1\n\"south.settle\" = \"1ms\"\n[north.http.idle_after.y]")
	f.Fuzz(func(t *testing.T, text string) {
		o := Default()
		d := &document{path: "o", text: []byte(text), root: &o}
		d.read()
		for _, fault := range d.faults {
			assert.NotContains(t, fault.Error(), "\n")
			assert.LessOrEqual(t, fault.Place.Line, 1+strings.Count(text, "\n"))
			assert.NotZero(t, fault.Place.Line, fault.Error())
		}
	})
}

// Guards against a secret that is shown, and against kinds of fields that tables to come need and none has yet.
func TestOtherKindsOfFields(t *testing.T) {
	type door struct {
		Key   string   `toml:"key" default:"open" secret:"true"`
		On    bool     `toml:"on" default:"true"`
		Names []string `toml:"names" default:"[]"`
	}
	var o struct {
		Door door `toml:"door"`
	}
	fill(&o)
	assert.Equal(t, door{"open", true, []string{}}, o.Door)
	d := &document{text: []byte("[door]\nkey = \"k\"\nnames = [\"a\"]\non = 1\n"), root: &o}
	d.read()
	require.Len(t, d.faults, 1)
	assert.EqualError(t, d.faults[0], "door.on: is of type integer, want a boolean")
	assert.Equal(t, []config.Value{{Field: "door.key", Value: config.Masked, Source: "file", Where: "o:2"},
		{Field: "door.on", Value: true, Source: "file", Where: "o:4"},
		{Field: "door.names", Value: []string{"a"}, Source: "file", Where: "o:3"}}, values(&o, "o", d.places))
}

// Guards against lists of tables whose fields have no defaults, no places or no bounds, that are written as one table, or
// whose faults are told of another.
func TestListsOfTables(t *testing.T) {
	type room struct {
		Name string   `toml:"name" default:"any"`
		Wait Duration `toml:"wait" default:"5s" min:"1s" max:"9s"`
	}
	var o struct {
		Door struct {
			Rooms []room `toml:"room" reload:"now"`
		} `toml:"door"`
	}
	fill(&o)
	d := &document{root: &o, text: []byte("[[door.room]]\nname = \"a\"\n[[door.room]]\nwait = \"1ms\"\n[[door.room]]\nx = 1\n")}
	d.read()
	assert.Equal(t, []room{{"a", Duration{5000}}, {"any", Duration{1}}, {"any", Duration{5000}}}, o.Door.Rooms)
	told := ""
	for _, f := range d.faults {
		told += f.Error() + "\n"
	}
	assert.Equal(t, "door.room.2.x: unknown field\ndoor.room.1.wait: 1ms is below 1s\n", told)
	assert.Equal(t, "o:4", values(&o, "o", d.places)[3].Where)
	for _, text := range []string{"[door.room]", "[door]\nroom = [{name = \"a\"}]"} {
		d := &document{root: &o, text: []byte(text)}
		d.read()
		require.Len(t, d.faults, 1, text)
		assert.EqualError(t, d.faults[0], "door.room: is a list of tables, write [[door.room]]")
	}
}

// Guards against a SIGHUP that says a field is taken which waits for the next start, or that takes one which waits.
func TestTake(t *testing.T) {
	a, b := Default(), Default()
	b.Log.Level, b.Log.Format, b.South.Settle = "warn", "json", Duration{9}
	next, taken, waiting := Take(&a, &b)
	assert.Equal(t, []string{"log.level"}, taken)
	assert.Equal(t, []string{"log.format", "south.settle"}, waiting)
	a.Log.Level = "warn"
	assert.Equal(t, a, next)
}

// Guards against a policy that changes what belongs to one machine or waits for a restart, that changes the machine's own options
// beside itself, or whose faults do not say where; and against lists of the machine's own that lose what they hold.
func TestOverlay(t *testing.T) {
	own, lines := load(t, "[peers]\nfleet = \"f\"\nkeepers = [\"a\"]\n[[peers.member]]\nname = \"a\"\naddress = \"h:1\"\n[quota]\non = true\nrequests = 5\n")
	require.Empty(t, lines)
	before := own.Options
	c := &config.Config{Sockets: 256, MemoryMB: 64, ConnIdle: 1000}
	next, faults := Overlay(own.Options, "policy", []byte("[quota]\nrequests = 9\n[[quota.node]]\nname = \"x\"\n"), c, nil)
	require.Empty(t, faults)
	assert.Equal(t, 9.0, next.Quota.Requests)
	assert.True(t, next.Quota.Nodes[0].Lends, "a default of a list's table")
	assert.Equal(t, before.Peers, next.Peers)
	assert.Equal(t, 5.0, own.Options.Quota.Requests)
	for text, want := range map[string]string{
		"[quota]\non = false\n":                          "policy:2:1: quota.on: is no policy",
		"[north.http]\nbacklog_most = \"1MiB\"\n":        "policy:2:1: north.http.backlog_most: is no policy",
		"[log]\nlevel = \"debug\"\n":                     "policy:2:1: log.level: is no policy",
		"[quota]\n\nrequests = -1\n":                     "policy:3:1: quota.requests: ",
		"[quota]\nnew = 1\n":                             "policy:2:1: quota.new: ",
		"[[quota.node]]\nname = \"x\"\nparent = \"y\"\n": "quota",
		"no toml": "policy:1",
	} {
		_, faults := Overlay(own.Options, "policy", []byte(text), c, nil)
		if assert.NotEmpty(t, faults, text) {
			assert.Contains(t, faults[0].Error(), want)
		}
	}
	recognising := own.Options
	recognising.Repeats.On, recognising.Repeats.SecretFile = true, "s"
	c.Settings.Classes = []decide.Class{{Name: "pay"}}
	const pay = "[[repeats.class]]\nname = \"pay\"\nanswered = \"5m\"\n"
	next, faults = Overlay(recognising, "policy", []byte(pay+"recorded = true\n"), c, nil)
	require.Empty(t, faults)
	assert.Equal(t, 300000.0, next.Repeats.Classes[0].Answered.Ms)
	assert.Equal(t, 60000.0, next.Repeats.Classes[0].Doubt.Ms)
	assert.True(t, next.Repeats.Classes[0].Recorded)
	alone := recognising
	alone.Peers = Default().Peers
	for what, wrong := range map[string]struct {
		own        Options
		text, want string
	}{
		"repeats off":              {own.Options, "\n" + pay, "policy:2:3: repeats.class: is nothing to this machine"},
		"nobody to record it":      {alone, pay + "recorded = true\n", "policy:4:1: repeats.class.0.recorded: wants a journal, or peers.fleet"},
		"no class of the platform": {recognising, "[[repeats.class]]\nname = \"none\"\n", "policy:2:1: repeats.class.0.name: \"none\" is no class"},
		"a secret":                 {recognising, pay + "[repeats]\nsecret_file = \"x\"\n", "repeats.secret_file: is no policy"},
		"a size":                   {recognising, "[repeats]\nbytes = \"1MiB\"\n", "policy:2:1: repeats.bytes: is no policy"},
		"what the process has done": {recognising, pay + "header = \"X\"\nby = \"header\"\n",
			"policy:5:1: repeats.class.0.by: it is done"},
	} {
		_, faults := Overlay(wrong.own, "policy", []byte(wrong.text), c, func(_ *Options, report Report) {
			report("it is done", "repeats.class.0.by", "repeats.class.0.name")
		})
		if assert.NotEmpty(t, faults, what) {
			assert.Contains(t, faults[0].Error(), wrong.want, what)
		}
	}
	same, faults := Overlay(own.Options, "policy", nil, c, nil)
	assert.Empty(t, faults)
	assert.Equal(t, before, same)
}
