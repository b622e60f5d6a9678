package world

import (
	"maps"
	"slices"
	"strings"

	"linenwheel.dev/linenwheel/lab/form"
)

// troubleKind says whom a kind of trouble strikes, which fields it takes and what it does without them. A field whose
// range is zero here is not one of the kind's, but for those in also.
type troubleKind struct {
	whom    PartyKind // of whom Part is, RaterParty or NodeParty
	part    form.Range
	length  form.Range // ms; 0 = for good
	size    form.Range
	share   form.Range
	every   form.Range // ms
	pause   form.Range // ms
	gap     form.Range // ms
	delay   form.Range // ms
	rate    form.Range
	between []string
	also    string
	about   string
}

func is(v float64) form.Range { return form.Exactly(v) }

var troubleKinds = map[string]troubleKind{
	Slow:       {whom: RaterParty, part: is(0.25), length: is(15e3), size: is(5), about: "some raters run slower"},
	Hang:       {whom: RaterParty, part: is(0.15), length: is(12e3), about: "some raters take requests and answer none"},
	Pauses:     {whom: RaterParty, part: is(0.4), length: is(20e3), every: is(2e3), pause: is(300), about: "some raters stand still again and again"},
	HeavyTail:  {length: is(20e3), size: is(15), share: is(0.02), also: "class", about: "rare requests of one class are far heavier"},
	SharedSlow: {whom: RaterParty, part: is(1), length: is(8e3), size: is(2), about: "what all raters need is slower"},
	Errors:     {whom: RaterParty, part: is(0.15), length: is(10e3), share: is(0.5), about: "some raters answer with errors"},

	Drain:   {whom: RaterParty, part: is(0.2), length: is(20e3), gap: is(8e3), about: "some raters drain and end, and start again cold"},
	Restart: {whom: RaterParty, part: is(0.2), length: is(4e3), every: is(2e3), about: "some raters die and start again, cold"},
	Kill:    {whom: RaterParty, part: is(0.2), also: "every", about: "some raters die"},
	Vanish:  {whom: RaterParty, part: is(0.2), also: "every", about: "some machines say nothing any more"},
	Heir:    {whom: RaterParty, part: is(0.2), gap: is(1e3), about: "some raters die, and others stand at their addresses"},
	Churn: {whom: RaterParty, part: is(1), every: is(4e3), pause: is(3e3), gap: is(8e3),
		about: "one rater after the other is replaced by a new one"},

	DiscoverySilent: {length: is(15e3), about: "discovery tells nothing"},
	DiscoveryMoved:  {about: "discovery has another address, named in a new file"},
	DiscoveryHalf:   {length: is(15e3), share: is(0.5), about: "discovery's answers break off"},
	StaleNode:       {whom: NodeParty, part: is(0.01), length: is(20e3), about: "some nodes get no news"},

	Spoilt:  {length: is(20e3), share: is(0.02), about: "some answers cannot be read"},
	Surplus: {length: is(20e3), share: is(0.05), about: "some answers bring more than belongs to them"},
	Resets:  {length: is(20e3), share: is(0.02), about: "some attempts are reset before their answer"},
	Rude:    {length: is(20e3), rate: is(20), also: "ways", about: "clients that keep to no protocol"},
	Surge:   {length: is(10e3), size: is(1.5), about: "more requests"},

	NodeRestart: {whom: NodeParty, part: is(1), every: is(8e3), gap: is(7e3), about: "nodes get SIGTERM and start again"},
	NodeKill:    {whom: NodeParty, part: is(0.5), every: is(8e3), gap: is(3e3), about: "nodes get SIGKILL and start again"},
	NodeRoll:    {whom: NodeParty, part: is(1), every: is(8e3), about: "nodes' next processes start beside them and take over"},
	NodeReload:  {whom: NodeParty, part: is(1), length: is(20e3), every: is(5e3), about: "nodes get SIGHUP and a new file"},

	NetDelay:   {length: is(15e3), delay: is(20), between: []string{"nodes", "raters"}, about: "a link is slower"},
	NetJitter:  {length: is(15e3), delay: is(30), between: []string{"nodes", "raters"}, about: "a link's delay varies"},
	NetLoss:    {length: is(15e3), share: is(0.02), delay: is(200), between: []string{"nodes", "raters"}, about: "a link stalls now and then"},
	NetCut:     {length: is(8e3), between: []string{"nodes", "rater-0"}, about: "a link is cut"},
	NetHalf:    {length: is(8e3), between: []string{"nodes", "rater-0"}, about: "a link passes one way only"},
	SlowReader: {length: is(15e3), rate: is(2000), between: []string{"clients", "nodes"}, about: "one side reads slowly"},
}

// TroubleKinds gives each kind of trouble with a line about it.
func TroubleKinds() map[string]string {
	m := map[string]string{}
	for k, t := range troubleKinds {
		m[k] = t.about
	}
	return m
}

// TroubleFields lists the fields that a kind of trouble takes beside kind and at, with what each is where it is left out.
func TroubleFields(kind string) string {
	k := troubleKinds[kind]
	var list []string
	add := func(name string, r form.Range, time bool) {
		if r.IsZero() {
			return
		}
		text, _ := r.MarshalText()
		if time {
			text, _ = form.Span{Range: r}.MarshalText()
		}
		list = append(list, name+" = "+string(text))
	}
	add("part", k.part, false)
	if k.length.IsZero() {
		list = append(list, "length = for good")
	}
	add("length", k.length, true)
	add("size", k.size, false)
	add("share", k.share, false)
	add("every", k.every, true)
	add("pause", k.pause, true)
	add("gap", k.gap, true)
	add("delay", k.delay, true)
	add("rate", k.rate, false)
	switch k.whom {
	case RaterParty:
		list = append(list, "raters")
	case NodeParty:
		list = append(list, "nodes")
	}
	if k.also != "" {
		list = append(list, k.also)
	}
	if k.between != nil {
		list = append(list, "between = "+strings.Join(k.between, ", "))
	}
	return strings.Join(list, "; ")
}

// KindsInOrder lists the kinds of trouble by name.
func KindsInOrder() []string { return slices.Sorted(maps.Keys(troubleKinds)) }

func or(r, without form.Range) form.Range {
	if r.IsZero() {
		return without
	}
	return r
}
