package options

import (
	"cmp"
	"errors"
	"reflect"
	"slices"
	"strings"

	"linenwheel.dev/linenwheel/internal/node/config"
)

// Policy has the whole fleet judge calls by one document, which takes hold everywhere or nowhere: linenwheel policy.
type Policy struct {
	// On has this node judge by the fleet's policy. It wants peers.fleet; the node is ready once it has heard which one holds.
	On bool `toml:"on" default:"false"`
	// Lease is how long the node judges by a policy without word from the fleet. A change waits so long for a node that hangs.
	Lease Duration `toml:"lease" default:"2s" min:"100ms" max:"8s"`
	// Hold is how long a call waits at the most while a change takes hold, or while the lease has run out.
	Hold Duration `toml:"hold" default:"500ms" min:"0s" max:"1m"`
	// Without is what the node does when its lease has run out: refuse calls with a time to come back, or go on with the last
	// policy. While a node that goes on is out of reach, no change can be agreed until it is declared dead.
	Without string `toml:"without" default:"refuse" oneof:"refuse go-on"`
}

// checkPolicy reports a policy that nobody agrees on.
func (o *Options) checkPolicy(report Report) {
	if o.Policy.On && o.Peers.Fleet == "" {
		report("is missing: with policy.on the fleet agrees on the policy", "peers.fleet", "policy.on")
	}
}

// checkLeased reports room that nobody agrees on.
func (o *Options) checkLeased(report Report) {
	if o.Quota.On && o.Quota.Leased > 0 && o.Peers.Fleet == "" {
		report("is missing: with quota.leased the fleet agrees on who has which room", "peers.fleet", "quota.leased")
	}
}

// ownTables are those that say what belongs to one machine or process, whatever a SIGHUP takes of them.
var ownTables = []string{"log", "service", "platform", "fleet", "peers", "policy", "takeover", "state"}

// errOwn is why a field is no policy.
var errOwn = errors.New("is no policy: it belongs to one machine, or waits for a restart")

// errRepeatsOff is why classes cannot be taken: what recognises repeats is made at the start.
var errRepeatsOff = errors.New("is nothing to this machine: its own options have repeats.on = false")

// classesField is the list of classes whose repeats are recognised.
const classesField = "repeats.class"

// Overlay lays a policy's text over a machine's own options, as far as it names fields: those that a SIGHUP takes, but for what
// belongs to one machine. Faults are the text's, under a name, and of what comes of both together. A process that runs tells by fits
// what does not go with what it has done; nil = nothing.
func Overlay(own Options, name string, text []byte, c *config.Config, fits func(*Options, Report)) (Options, []*config.FieldError) {
	said := Default()
	d := &document{path: name, text: text, root: &said}
	if d.parse() {
		d.settle()
	}
	next := own
	_, to := walk(&next)
	_, from := walk(&said)
	to = slices.DeleteFunc(to, func(f Field) bool { return f.Item })
	from = slices.DeleteFunc(from, func(f Field) bool { return f.Item })
	for i, f := range to {
		place, named := d.places[f.Path]
		if !named {
			continue
		}
		table, _, _ := strings.Cut(f.Path, ".")
		if _, size := f.value.Interface().(Size); !f.Now || size || slices.Contains(ownTables, table) {
			d.fault(f.Path, place, errOwn)
			continue
		}
		if f.Path == classesField && !own.Repeats.On {
			d.fault(f.Path, place, errRepeatsOff)
		}
		f.value.Set(from[i].value)
	}
	if len(d.faults) == 0 && !reflect.DeepEqual(next, own) {
		both := &document{path: name, places: d.places, root: &next}
		both.check()
		d.faults = slices.Concat(both.faults, against(&next, c, name, d.places))
		if _, named := d.places[classesField]; named && fits != nil && len(d.faults) == 0 {
			fits(&next, func(reason string, names ...string) { d.combination("", reason, names) })
		}
	}
	slices.SortStableFunc(d.faults, func(a, b *config.FieldError) int {
		return cmp.Or(cmp.Compare(a.Place.Line, b.Place.Line), cmp.Compare(a.Place.Column, b.Place.Column))
	})
	return next, d.faults
}
