// Package experiments reads experiment files: one TOML file says what to play, with which seeds, on how many nodes, with
// which troubles at which times, and what must come of it. The live lab and the simulator read the same file.
//
// Load opens files (the experiment's own, its site's, recorded arrivals); Parse opens them with what it is handed.
package experiments

import (
	"embed"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"linenwheel.dev/linenwheel/lab/form"
	"linenwheel.dev/linenwheel/lab/sites"
	"linenwheel.dev/linenwheel/lab/world"
)

// Experiment is what an experiment file says.
type Experiment struct {
	Name     string   `toml:"name"`
	About    string   `toml:"about"`    // one line for `lab list`
	SiteName string   `toml:"site"`     // a shipped site's name, or a path relative to this file
	Seeds    []uint64 `toml:"seeds"`    // one day each
	Protocol string   `toml:"protocol"` // "http"
	Virtual  bool     `toml:"virtual"`  // it has more nodes than one machine carries: on sockets it wants fewer, and a survey leaves it out

	// These go before the site's, where set.
	Nodes  form.Range        `toml:"nodes"`
	Raters form.Range        `toml:"raters"`
	Length form.Span         `toml:"length"` // of the day
	Zones  []string          `toml:"zones"`  // that nodes and raters are dealt out to in turn
	List   *ListService      `toml:"list"`   // whole: the list must be asked for
	Load   *world.Load       `toml:"load"`   // field by field
	Limits *world.NodeLimits `toml:"limits"` // whole: what a node may use and do

	Node     NodeOptions         `toml:"node"`
	Draws    form.Range          `toml:"draws"`   // so many of the site's troubles strike too; none without it
	Troubles []world.TroubleSpec `toml:"trouble"` // with their times; a time left out is drawn
	Floors   Floors              `toml:"floors"`

	Site *world.Site `toml:"-"` // with all of the above laid over it
	File string      `toml:"-"`
	Text string      `toml:"-"` // of the file, so that a report can print it whole
}

// NodeOptions is how the nodes under test are started.
type NodeOptions struct {
	Args  []string          `toml:"args"`  // added to the command
	Env   map[string]string `toml:"env"`   // added to the platform's
	Extra string            `toml:"extra"` // text of the node's own options file, named by LINENWHEEL_OPTIONS
}

// Floors is what must come of it for the run to pass. A rule broken fails it in any case.
type Floors struct {
	G          float64   `toml:"g"`           // least service figure, mean over seeds
	WorstSeed  float64   `toml:"worst_seed"`  // of each seed
	MemoryMB   float64   `toml:"memory_mb"`   // most at any node; 0 = the node's limit
	Sockets    int       `toml:"sockets"`     // likewise
	CPUMillis  float64   `toml:"cpu_ms"`      // most processor time a request, ms; 0 = not asked
	LatencyP99 form.Span `toml:"latency_p99"` // of served requests; 0 = not asked
}

// ListService is the one that all nodes ask for the list, see [world.DiscoveryDelays].
type ListService struct {
	LinesPerS form.Range `toml:"lines_per_s"`
	CallLines float64    `toml:"call_lines"`
	Patience  form.Span  `toml:"patience"`
}

// Files opens what an experiment names: its own file, a site, recorded arrivals.
type Files func(path string) ([]byte, error)

//go:embed *.toml
var shipped embed.FS

// Names lists the shipped experiments.
func Names() (names []string) {
	list, _ := fs.Glob(shipped, "*.toml")
	for _, n := range list {
		names = append(names, strings.TrimSuffix(n, ".toml"))
	}
	return names
}

// Load reads the shipped experiment of this name, or the file at this path.
func Load(nameOrPath string) (*Experiment, error) {
	if text, err := shipped.ReadFile(nameOrPath + ".toml"); err == nil {
		return Parse(nameOrPath+".toml", string(text), os.ReadFile)
	}
	if !strings.ContainsAny(nameOrPath, "./\\") {
		return nil, fmt.Errorf("no experiment %q is shipped: there are %s", nameOrPath, strings.Join(Names(), ", "))
	}
	text, err := os.ReadFile(nameOrPath)
	if err != nil {
		return nil, err
	}
	return Parse(nameOrPath, string(text), os.ReadFile)
}

// Parse reads an experiment's text. What it names beside it is opened with files.
func Parse(file, text string, files Files) (*Experiment, error) {
	e := &Experiment{File: file, Text: text}
	if err := form.Read(file, text, e); err != nil {
		return nil, err
	}
	if e.Protocol == "" {
		e.Protocol = "http"
	}
	if e.Name == "" {
		e.Name = strings.TrimSuffix(filepath.Base(file), ".toml")
	}
	if len(e.Seeds) == 0 {
		e.Seeds = []uint64{1}
	}
	if err := e.site(files); err != nil {
		return nil, err
	}
	wrong := func(field, format string, args ...any) error {
		return form.Wrong(file, text, field, 0, format, args...)
	}
	switch f := e.Floors; {
	case e.Protocol != "http":
		return nil, wrong("protocol", "%q is not known, want \"http\"", e.Protocol)
	case e.Zones != nil && float64(len(e.Zones)) > e.Site.Size.Raters.Lo:
		return nil, wrong("zones", "%d zones are too many for %g raters", len(e.Zones), e.Site.Size.Raters.Lo)
	case e.List != nil && !e.List.LinesPerS.Within(1, 1e9):
		return nil, wrong("list.lines_per_s", "%g..%g lies outside 1..1e+09", e.List.LinesPerS.Lo, e.List.LinesPerS.Hi)
	case e.List != nil && !(e.List.CallLines >= 0):
		return nil, wrong("list.call_lines", "%g is below 0", e.List.CallLines)
	case f.G < 0 || f.G > 1:
		return nil, wrong("floors.g", "%g lies outside 0..1", f.G)
	case f.WorstSeed < 0 || f.WorstSeed > 1:
		return nil, wrong("floors.worst_seed", "%g lies outside 0..1", f.WorstSeed)
	}
	if err := e.Site.Check(file, text); err != nil {
		return nil, err
	}
	for i := range e.Troubles {
		if err := e.Troubles[i].Check(file, text, i); err != nil {
			return nil, err
		}
		if zone, all := e.Troubles[i].Zone, e.Site.Size.Zones; zone != "" && !slices.Contains(all, zone) {
			return nil, form.Wrong(file, text, "trouble.zone", i, "%q is none of %v", zone, all)
		}
	}
	for _, seed := range e.Seeds { // what hangs on the draw: numbers of raters, names of classes
		if _, err := e.Day(seed); err != nil {
			return nil, &form.Error{File: file, Text: fmt.Sprintf("seed %d: %v", seed, err)}
		}
	}
	return e, nil
}

// site reads the site and lays over it what the experiment sets.
func (e *Experiment) site(files Files) error {
	beside := func(file, path string) string { // what a file names is relative to that file
		if filepath.IsAbs(path) {
			return path
		}
		return filepath.Join(filepath.Dir(file), path)
	}
	var err error
	says := e.File // whoever names the arrivals
	if strings.HasSuffix(e.SiteName, ".toml") {
		var text []byte
		path := beside(e.File, e.SiteName)
		if text, err = files(path); err == nil {
			e.Site, err = world.ParseSite(e.SiteName, string(text))
		}
		if e.Load == nil || e.Load.File == "" {
			says = path
		}
	} else {
		e.Site, err = sites.Load(e.SiteName)
	}
	var fault *form.Error
	if errors.As(err, &fault) {
		return err
	} else if err != nil {
		return form.Wrong(e.File, e.Text, "site", 0, "%v", err)
	}
	s := e.Site
	lay(&s.Size.Nodes, e.Nodes)
	lay(&s.Size.Raters, e.Raters)
	lay(&s.Size.Day, e.Length)
	s.Size.Troubles = e.Draws
	if e.Zones != nil {
		s.Size.Zones = e.Zones
	}
	if l := e.List; l != nil {
		s.Discovery.LinesPerS, s.Discovery.CallLines, s.Discovery.Patience = l.LinesPerS, l.CallLines, l.Patience
	}
	if e.Limits != nil {
		s.Node = *e.Limits
	}
	if l := e.Load; l != nil {
		if !l.Level.IsZero() {
			s.Load.Rate = form.Range{} // whichever the experiment names, it goes before the site's other
		}
		lay(&s.Load.Level, l.Level)
		lay(&s.Load.Rate, l.Rate)
		lay(&s.Load.Swing, l.Swing)
		lay(&s.Load.Period, l.Period)
		lay(&s.Load.QuotaOfCapacity, l.QuotaOfCapacity)
		lay(&s.Load.OverShareWorth, l.OverShareWorth)
		lay(&s.Load.WorthBy, l.WorthBy)
		lay(&s.Load.File, l.File)
		if l.Shape != nil {
			s.Load.Shape = l.Shape
		}
		if l.Steps != nil {
			s.Load.Steps = l.Steps
		}
	}
	if s.Load.File == "" {
		return nil
	}
	text, err := files(beside(says, s.Load.File))
	if err != nil {
		return form.Wrong(e.File, e.Text, "load.file", 0, "%v", err)
	}
	s.Replayed, err = s.ReadArrivals(s.Load.File, string(text))
	return err
}

// lay puts a value over another where it is set.
func lay[T comparable](over *T, v T) {
	if v != *new(T) {
		*over = v
	}
}

// Day draws the experiment's day of a seed.
func (e *Experiment) Day(seed uint64) (*world.Day, error) {
	return world.Draw(e.Site, seed, e.Troubles)
}
