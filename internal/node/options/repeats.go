package options

import (
	"fmt"
	"slices"
	"strings"

	"linenwheel.dev/linenwheel/decide"
	"linenwheel.dev/linenwheel/internal/node/config"
	"linenwheel.dev/linenwheel/internal/node/idempotency"
)

// Repeats is the recognition of calls that have been here before, which get the one answer of a single run. Only the classes
// that are listed take part.
type Repeats struct {
	// On switches it on.
	On bool `toml:"on" default:"false"`
	// Entries is how many calls are known at once. When all of them must stay known, a new call of a class that must not
	// run twice gets a back-off answer.
	Entries int `toml:"entries" default:"50000" min:"16" max:"50000000"`
	// Bytes is how much of answers is kept for repeats; the oldest go first.
	Bytes Size `toml:"bytes" default:"8MiB" min:"0B" max:"64GiB"`
	// Alpha is how many times the room that nobody holds one tenant may hold of calls that must stay known.
	Alpha float64 `toml:"alpha" default:"4" min:"0.01" max:"1000000"`
	// SecretFile is a file with the secret under which names are hashed; it must stay the same where there is a journal.
	// Without one, a secret is drawn at each start.
	SecretFile string `toml:"secret_file" default:""`
	// Journal is a folder in which what has begun and ended outlives the process; empty = none.
	Journal string `toml:"journal" default:""`
	// Segment is how large a file of the journal grows.
	Segment Size `toml:"segment" default:"4MiB" min:"64KiB" max:"1GiB"`
	// Queue is how many records may wait for the disk.
	Queue int `toml:"queue" default:"10000" min:"1" max:"10000000"`
	// Classes are those whose repeats are recognised.
	Classes []RepeatsClass `toml:"class" reload:"now"`
}

// RepeatsClass is one class whose repeats are recognised. SIGHUP and the fleet's policy take all of them or none; how calls of a class
// are named stays as it is until the next start.
type RepeatsClass struct {
	// Name is that of the class in the platform's settings.
	Name string `toml:"name" default:"" reload:"now"`
	// By is what makes two calls the same, beside class and tenant: the call's key, a header, or parts of the request.
	By string `toml:"by" default:"key" oneof:"key header parts"`
	// Header is the name of that header.
	Header string `toml:"header" default:""`
	// Parts are those parts: path, query, body, or header:NAME.
	Parts []string `toml:"parts" default:"[]"`
	// Required has a call refused as faulty that has no key or header to be named by; else it goes on unrecognised.
	Required bool `toml:"required" default:"false" reload:"now"`
	// Answered is how long an answer is known after it was given.
	Answered Duration `toml:"answered" default:"30s" min:"0s" max:"168h" reload:"now"`
	// Doubt is how long it is known that a call may have run.
	Doubt Duration `toml:"doubt" default:"1m" min:"0s" max:"168h" reload:"now"`
	// Recorded has a call wait until the disk has it before it is sent, and refused where the disk fails. With peers.fleet, a class
	// that must not run twice also waits until the fleet has agreed, and is refused while no majority of keepers can be reached.
	Recorded bool `toml:"recorded" default:"false" reload:"now"`
}

// Check reports a class that cannot be named by what it says.
func (c *RepeatsClass) Check(report Report) {
	switch {
	case c.Name == "":
		report("is missing", "name")
	case c.By == "header" && c.Header == "":
		report("is missing with by = \"header\"", "header", "by")
	case c.By == "parts" && len(c.Parts) == 0:
		report("is empty with by = \"parts\"", "parts", "by")
	}
	for _, part := range c.Parts {
		header, ok := strings.CutPrefix(part, "header:")
		if !slices.Contains([]string{"path", "query", "body"}, part) && (!ok || header == "") {
			report(fmt.Sprintf("%q is none of path, query, body, header:NAME", part), "parts")
		}
	}
}

// checkRepeats reports a recorded class that nothing records, and names that would differ from node to node.
func (o *Options) checkRepeats(report Report) {
	for i, c := range o.Repeats.Classes {
		if c.Recorded && o.Repeats.Journal == "" && o.Peers.Fleet == "" {
			report("wants a journal, or peers.fleet", fmt.Sprintf("repeats.class.%d.recorded", i), "repeats.journal", "peers.fleet")
		}
	}
	if o.Repeats.On && o.Peers.Fleet != "" && o.Repeats.SecretFile == "" {
		report("is missing: with peers.fleet all nodes must hash names under one secret", "repeats.secret_file", "peers.fleet")
	}
}

// Check reports what would make a journal worthless.
func (r *Repeats) Check(report Report) {
	if r.Journal != "" && r.SecretFile == "" {
		report("is missing: with another secret at the next start, no call in the journal would be found again",
			"secret_file", "journal")
	}
	names := map[string]bool{}
	for i, c := range r.Classes {
		if names[c.Name] {
			report(fmt.Sprintf("%q stands there twice", c.Name), fmt.Sprintf("class.%d.name", i))
		}
		names[c.Name] = true
	}
}

// Against reports classes that there are not, and a book that would not fit.
func (r *Repeats) Against(c *config.Config, report Report) {
	for i, class := range r.Classes {
		if !slices.ContainsFunc(c.Settings.Classes, func(k decide.Class) bool { return k.Name == class.Name }) {
			report(fmt.Sprintf("%q is no class of the platform's settings", class.Name), fmt.Sprintf("class.%d.name", i))
		}
	}
	if need := float64(r.Entries)*idempotency.EntryBytes + float64(r.Bytes.Bytes); r.On && need > c.MemoryMB*(1<<20)/2 {
		report(fmt.Sprintf("entries and bytes may hold %.0f MB, more than half of limits.memory_mb, %.0f MB", need/(1<<20),
			c.MemoryMB), "entries", "bytes", "on")
	}
}
