package experiments_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"linenwheel.dev/linenwheel/lab/experiments"
	"linenwheel.dev/linenwheel/lab/sites"
	"linenwheel.dev/linenwheel/lab/world"
)

// Guards against a shipped experiment that cannot be read or drawn, or says less than `lab list` needs.
func TestShipped(t *testing.T) {
	seen := map[string]bool{}
	for _, name := range experiments.Names() {
		e, err := experiments.Load(name)
		require.NoError(t, err)
		require.Equal(t, name, e.Name)
		require.NotEmpty(t, e.About, name)
		require.NotZero(t, e.Floors.G, name)
		for _, tr := range e.Troubles {
			seen[tr.Kind] = true
		}
	}
	require.Len(t, seen, len(world.TroubleKinds()), "each kind of trouble is played by an experiment")
}

// Guards recorded arrivals: they come as the file says, found beside the file that names them, with the day's means where it
// leaves work and wait out.
func TestReplay(t *testing.T) {
	text, err := sites.Text("rating")
	require.NoError(t, err)
	e, err := experiments.Parse("a/x.toml", "site = \"b/site.toml\"\n", func(path string) ([]byte, error) {
		if path == "a/b/site.toml" {
			return []byte(strings.Replace(text, "[load]", "[load]\nfile = \"day.csv\"", 1)), nil
		}
		require.Equal(t, "a/b/day.csv", path)
		return []byte("5,post-charge,vltava-tel\n7.5,cap-alert,sumava-net,80,0\n999999,cap-alert,sumava-net\n"), nil
	})
	require.NoError(t, err)
	day, err := e.Day(1)
	require.NoError(t, err)
	var a world.Arrival
	stream := day.Arrivals()
	require.True(t, stream.Next(&a))
	require.Equal(t, []any{5.0, 0, 1, day.Classes[0].Work, day.Classes[0].Wait}, []any{a.At, a.Class, a.Partner, a.Work, a.Wait})
	require.True(t, stream.Next(&a))
	require.Equal(t, []any{7.5, 1, 2, 80.0, 0.0}, []any{a.At, a.Class, a.Partner, a.Work, a.Wait})
	require.NotZero(t, a.Key)
	require.False(t, stream.Next(&a), "what lies after the day's end does not come")
}

// Guards the page for those who write experiments: its tables say what the code does.
func TestPageIsTrue(t *testing.T) {
	page, err := os.ReadFile("../../docs/operate/experiments.md")
	require.NoError(t, err)
	for kind, about := range world.TroubleKinds() {
		require.Contains(t, string(page), fmt.Sprintf("| `%s` | %s | %s |\n", kind, about, world.TroubleFields(kind)))
	}
	for _, name := range experiments.Names() {
		e, err := experiments.Load(name)
		require.NoError(t, err)
		require.Contains(t, string(page), fmt.Sprintf("| `%s` | %s |\n", name, e.About))
	}
}

// Guards against a bad file that passes, and against an error that does not say where: each case is one line of an
// otherwise good file.
func TestBadFiles(t *testing.T) {
	files := func(path string) ([]byte, error) {
		if path == "arrivals.csv" {
			return []byte("# recorded\n0,post-charge,vltava-tel\n5,cap-alert,nobody\n"), nil
		}
		return nil, os.ErrNotExist
	}
	good := "site = \"rating\"\n[load]\nlevel = 0.5\n[[trouble]]\nkind = \"hang\"\n[[trouble]]\nkind = \"slow\"\n"
	_, err := experiments.Parse("x.toml", good, files)
	require.NoError(t, err)
	for add, want := range map[string]string{
		"speed = 3":              `x.toml:8: trouble.speed: unknown field`,
		"size = \"9..2\"":        `x.toml:8: trouble.size: 9..2 is no range: the first end must not lie above the second`,
		"zone = \"cellar\"":      `x.toml:8: trouble.zone: "cellar" is none of [hall-a]`,
		"part = 1.5":             `x.toml:8: trouble.part: 1.5..1.5 lies outside 0..1`,
		"size = 0.001":           `x.toml:8: trouble.size: 0.001 is below 0.01`,
		"length = 3":             `x.toml:8: trouble.length: "3" is no time and no range of times such as "250ms..2s"`,
		"share = 0.5":            `x.toml:8: trouble.share: a trouble of the kind slow has no share`,
		"part = \"0.5..1.5\"":    `x.toml:8: trouble.part: 0.5..1.5 lies outside 0..1`,
		"raters = [99]":          `x.toml: seed 1: trouble 1 (slow): raters: 99 is none of the 10 of the start`,
		"[floors]\ng = 2":        `x.toml:9: floors.g: 2 lies outside 0..1`,
		"[[trouble]]\nkind = 3":  `x.toml:9: trouble.kind: cannot decode TOML integer into struct field world.TroubleSpec.Kind of type string`,
		"[[trouble]]\nat = \"\"": `x.toml:9: trouble.at: "" is no time and no range of times such as "250ms..2s"`,
	} {
		_, err := experiments.Parse("x.toml", good+add+"\n", files)
		require.EqualError(t, err, want, add)
	}
	for text, want := range map[string]string{
		"site = \"rating\"\nprotocol = \"gopher\"":                     `x.toml:2: protocol: "gopher" is not known, want "http"`,
		"site = \"rating\"\nraters = 2\nzones = [\"a\", \"b\", \"c\"]": `x.toml:3: zones: 3 zones are too many for 2 raters`,
		"site = \"rating\"\n[list]\nlines_per_s = -1":                  `x.toml:3: list.lines_per_s: -1..-1 lies outside 1..1e+09`,
		"site = \"no.toml\"":                                           `x.toml:1: site: file does not exist`,
		"site = \"rating\"\n[load]\nfile = \"arrivals.csv\"":           `arrivals.csv:3: partner: no partner nobody`,
		"site = \"rating\"\n[load]\nshape = [\"flat\"]":                `x.toml:3: load.shape: "flat" is none of poisson, steady, waves`,
		"site = \"rating\"\n[limits]\ncores = 1 2":                     `x.toml:3: expected newline but got U+0032 '2'`,
	} {
		_, err := experiments.Parse("x.toml", text, files)
		require.EqualError(t, err, want, fmt.Sprintf("%q", text))
	}
}
