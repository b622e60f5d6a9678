// Package options reads what the platform does not say: one TOML file, a table a subsystem. The types here are all
// there is to say about a field. The page of all fields and the example file are generated from their doc comments and
// tags.
//
// A new table is a type with a field in Options. Of the tags, `toml` names the field, `default`, `min` and `max` hold
// values as they are written in the file, `oneof` holds the words that are taken, and `reload:"now"` marks what a
// SIGHUP takes; all else waits for the next start. A table's method Check reports combinations that cannot work, its
// method Against those that cannot work together with what the platform says.
//
// The package reads the file that it is given and does no other I/O.
package options

import (
	"fmt"
	"math"

	"linenwheel.dev/linenwheel/internal/node/admin"
	"linenwheel.dev/linenwheel/internal/node/config"
)

//go:generate go run ./gen

// Options are the whole file. Each field has its default where the file does not name it.
type Options struct {
	Platform  Platform  `toml:"platform"`
	Log       Log       `toml:"log"`
	North     North     `toml:"north"`
	South     South     `toml:"south"`
	Inventory Inventory `toml:"inventory"`
	Service   Service   `toml:"service"`
	Repeats   Repeats   `toml:"repeats"`
	Quota     Quota     `toml:"quota"`
	Takeover  Takeover  `toml:"takeover"`
	State     State     `toml:"state"`
	Fleet     Fleet     `toml:"fleet"`
	Peers     Peers     `toml:"peers"`
	Policy    Policy    `toml:"policy"`
}

// Platform holds what the platform asks for or promises and config.json does not say. Other tables are held against
// it; nothing else comes of it.
type Platform struct {
	// ClientRest is how long a client's connection without an open request has to be kept.
	ClientRest Duration `toml:"client_rest" default:"2s" min:"0s" max:"1h" reload:"now"`
	// ClientEnd is the time from connecting in which a client that sends nothing useful is owed a close or an error.
	ClientEnd Duration `toml:"client_end" default:"3s" min:"100ms" max:"1h" reload:"now"`
	// ConnectFor is how long new connections keep coming after SIGTERM.
	ConnectFor Duration `toml:"connect_for" default:"400ms" min:"0s" max:"1h" reload:"now"`
	// ConnectSure is how long after SIGTERM a client that needs a new connection is sure to get one. From then on the node
	// refuses a request that would take one of the last free connections.
	ConnectSure Duration `toml:"connect_sure" default:"200ms" min:"0s" max:"1h" reload:"now"`
	// KillAfter is how long after SIGTERM the platform kills a node, counted beyond the longest deadline of a request.
	KillAfter Duration `toml:"kill_after" default:"700ms" min:"0s" max:"1h" reload:"now"`
	// LongestCounted is what a longer deadline counts as in that.
	LongestCounted Duration `toml:"longest_counted" default:"3s" min:"0s" max:"1h" reload:"now"`
	// DrainOver is how long after a call to drain the node no connection of a client may be idle any more.
	DrainOver Duration `toml:"drain_over" default:"4s" min:"100ms" max:"1h"`
	// DrainQuiet is the time before that in which no further request may have been taken.
	DrainQuiet Duration `toml:"drain_quiet" default:"2s" min:"0s" max:"1h"`
	// LongestWatch is how long discovery holds a call that waits for changes at the most.
	LongestWatch Duration `toml:"longest_watch" default:"1m" min:"100ms" max:"1h" reload:"now"`
	// ListTold is the time after which a change of the list counts as told to a node, from when discovery had it and could be
	// reached. A call, the pause after it and the next call take no longer: the limits and pauses of inventory.discovery are cut to that.
	ListTold Duration `toml:"list_told" default:"6s" min:"500ms" max:"1h" reload:"now"`
	// ReloadTold is the same for the list of an address that came with SIGHUP.
	ReloadTold Duration `toml:"reload_told" default:"4s" min:"500ms" max:"1h" reload:"now"`
}

// Log says what is logged and how.
type Log struct {
	// Level is the least severe level that is logged.
	Level string `toml:"level" default:"info" oneof:"debug info warn error" reload:"now"`
	// Format is the form of the lines: for people, or one JSON object each.
	Format string `toml:"format" default:"text" oneof:"text json"`
	// FloodInterval is the least time between two messages of one kind about clients and hosts; those between are counted.
	FloodInterval Duration `toml:"flood_interval" default:"1s" min:"1ms" max:"1h" reload:"now"`
}

// North is the clients' side, a table a protocol.
type North struct {
	HTTP   NorthHTTP   `toml:"http"`
	Thrift NorthThrift `toml:"thrift"`
}

// NorthHTTP are clients that speak HTTP/1.1. The protocol's own limits (a head of 16 KiB and 64 fields, a body of 64
// KiB unless it flows) are not to be set.
type NorthHTTP struct {
	// IdleAfter is how long a client's connection may carry no request before it is closed.
	IdleAfter Duration `toml:"idle_after" default:"2050ms" min:"1ms" max:"24h" reload:"now"`
	// ReadLimit is the time in which a request must be whole once it has begun.
	ReadLimit Duration `toml:"read_limit" default:"2500ms" min:"1ms" max:"1h" reload:"now"`
	// FirstLimit is the time in which the first request on a connection must be whole, counted from connecting.
	FirstLimit Duration `toml:"first_limit" default:"2800ms" min:"1ms" max:"1h" reload:"now"`
	// SweepEvery is the time between two looks for connections that are past one of these times.
	SweepEvery Duration `toml:"sweep_every" default:"100ms" min:"5ms" max:"10s" reload:"now"`
	// Linger is how long a connection that the node ends is read on, and what comes dropped, so that the last answer is not lost to a
	// reset; it closes sooner if the client ends it.
	Linger Duration `toml:"linger" default:"500ms" min:"0s" max:"10s" reload:"now"`
	// RetryAfter is the form of Retry-After: seconds with decimals, as the platform's clients read it, or whole ones, rounded
	// up, as RFC 9110 and most libraries have it.
	RetryAfter string `toml:"retry_after" default:"decimal" oneof:"decimal whole" reload:"now"`
	// Settle is how long a client that has connected is spared before it may have to make room for another.
	Settle Duration `toml:"settle" default:"25ms" min:"0s" max:"10s" reload:"now"`
	// BodyMost is the most bytes in a request's body, and in the answer of a host. Stages that compare bodies (repeats) and hosts that
	// speak Thrift need them whole: with either on, the limit is the protocol's, 64 KiB.
	BodyMost Size `toml:"body_most" default:"32MiB" min:"64KiB" max:"1GiB"`
	// BodyWhole is up to how many bytes a request's body is held until it is whole, so that it can go out again; a longer one goes
	// to a host as it comes. Over 64 KiB it is counted in service.bodies_part.
	BodyWhole Size `toml:"body_whole" default:"256KiB" min:"64KiB" max:"16MiB"`
	// BodyRate is how many bytes a second of a body let its request take longer than the limits above.
	BodyRate Size `toml:"body_rate" default:"32KiB" min:"1KiB" max:"1GiB" reload:"now"`
	// Stall is how long an answer may stand still on its way, because its host gives or its client takes nothing; to clients that
	// speak Thrift, too.
	Stall Duration `toml:"stall" default:"15s" min:"1s" max:"1h" reload:"now"`
	// PipelineMost is how much is kept of what comes behind a request that is being handled; with more, that request's
	// answer is the connection's last, or, where a streamed answer has left the connection open, reading waits for its end.
	PipelineMost Size `toml:"pipeline_most" default:"32KiB" min:"1KiB" max:"16MiB" reload:"now"`
	// BacklogMost is how much of answers is kept for a client that does not read them; with more, its connection ends.
	// The largest answer must fit.
	BacklogMost Size `toml:"backlog_most" default:"256KiB" min:"80KiB" max:"16MiB" reload:"now"`
	// CrowdedPart is the part of the descriptors, without the operators' door's, from which on, held by clients that have asked, an answer ends its
	// connection. 1 is never.
	CrowdedPart float64 `toml:"crowded_part" default:"0.25" min:"0.01" max:"1"`
	// SpareConnections are those over the cap on clients' connections that are answered once and closed.
	SpareConnections int `toml:"spare_connections" default:"4" min:"0" max:"1024"`
}

// South is the hosts' side.
type South struct {
	// ConnectionsPart is the part of the descriptors left after service.reserve that is for connections to hosts. There
	// are never more open requests than connections to hosts.
	ConnectionsPart float64 `toml:"connections_part" default:"0.45" min:"0.01" max:"0.99"`
	// IdlePart is the part of the platform's conn_idle_s after which an idle connection to a host is closed.
	IdlePart float64 `toml:"idle_part" default:"0.5" min:"0.01" max:"1" reload:"now"`
	// RetireEvery is the time between two looks for connections that are idle for so long.
	RetireEvery Duration `toml:"retire_every" default:"1s" min:"10ms" max:"1h" reload:"now"`
	// Settle is how long a connection rests after an answer, in which a host that sends more or closes shows.
	Settle Duration `toml:"settle" default:"5ms" min:"1ms" max:"1s"`
	// Wear is the learning of how long kept connections last.
	Wear Wear `toml:"wear"`
	// Thrift is how hosts that speak Thrift are spoken with.
	Thrift SouthThrift `toml:"thrift"`
}

// Wear is how the node learns from which idle time on connections to hosts turn out dead. Idle times are put into
// bands, each twice as long as the one before, from south.settle on.
type Wear struct {
	// Memory is the time after which what was seen weighs 1/e.
	Memory Duration `toml:"memory" default:"20s" min:"100ms" max:"24h" reload:"now"`
	// Quick is the time within which a connection that breaks after a request was most likely dead before.
	Quick Duration `toml:"quick" default:"10ms" min:"1ms" max:"10s" reload:"now"`
	// Least is how many breaks tell anything.
	Least float64 `toml:"least" default:"4" min:"1" max:"1000" reload:"now"`
	// Deviations above the usual number of breaks give a band up.
	Deviations float64 `toml:"deviations" default:"4" min:"0" max:"100" reload:"now"`
	// Hold is how long a band that was given up is not tried again.
	Hold Duration `toml:"hold" default:"30s" min:"0s" max:"24h" reload:"now"`
	// Usual is the part of requests that may break on a connection of any age.
	Usual float64 `toml:"usual" default:"0.05" min:"0.001" max:"1" reload:"now"`
}

// Service is the process: its planned end and its share of the machine.
type Service struct {
	// AcceptFor is how long new connections are taken after SIGTERM.
	AcceptFor Duration `toml:"accept_for" default:"500ms" min:"0s" max:"1h" reload:"now"`
	// AnswersAhead is how long before the platform's kill all that is still open gets its final answer.
	AnswersAhead Duration `toml:"answers_ahead" default:"150ms" min:"0s" max:"1h" reload:"now"`
	// EndAhead is how long before the platform's kill the node ends, whatever is left.
	EndAhead Duration `toml:"end_ahead" default:"50ms" min:"0s" max:"1h" reload:"now"`
	// YieldRest is how long a node that another process has taken over from may live on beyond north.http.idle_after and
	// the longest deadline.
	YieldRest Duration `toml:"yield_rest" default:"1s" min:"0s" max:"1h" reload:"now"`
	// Reserve are descriptors kept back for the engine, the runtime, discovery and accepting.
	Reserve int `toml:"reserve" default:"24" min:"16" max:"4096"`
	// MemoryPart is the part of the platform's memory_mb that the garbage collector keeps the process under.
	MemoryPart float64 `toml:"memory_part" default:"0.7" min:"0.1" max:"0.95" reload:"now"`
	// BodiesPart is the part of the platform's memory_mb that bodies may take: half for those that are held whole, half for those
	// that flow.
	BodiesPart float64 `toml:"bodies_part" default:"0.25" min:"0.01" max:"0.8"`
	// GCPercent is how much the heap may grow before it is collected, in percent of what is alive.
	GCPercent int `toml:"gc_percent" default:"400" min:"10" max:"10000" reload:"now"`
}

// Check reports a node that would end before it has answered.
func (s *Service) Check(report Report) {
	if s.EndAhead.Ms > s.AnswersAhead.Ms {
		report(fmt.Sprintf("end_ahead, %v, is longer than answers_ahead, %v", s.EndAhead, s.AnswersAhead), "end_ahead",
			"answers_ahead")
	}
}

// Check reports times that the platform's rules do not allow, and tables that do not go together.
func (o *Options) Check(report Report) {
	o.checkRepeats(report)
	o.checkPolicy(report)
	o.checkLeased(report)
	type setting struct {
		name  string
		value Duration
	}
	p, h, s := &o.Platform, &o.North.HTTP, &o.Service
	sweep := h.SweepEvery.Ms
	for _, pair := range []struct {
		low, high setting
		late      float64 // that the low one may come
	}{
		{setting{"platform.client_rest", p.ClientRest}, setting{"north.http.idle_after", h.IdleAfter}, 0},
		{setting{"north.http.read_limit", h.ReadLimit}, setting{"platform.client_end", p.ClientEnd}, sweep},
		{setting{"north.http.first_limit", h.FirstLimit}, setting{"platform.client_end", p.ClientEnd}, sweep},
		{setting{"platform.connect_for", p.ConnectFor}, setting{"service.accept_for", s.AcceptFor}, 0},
		{setting{"platform.connect_sure", p.ConnectSure}, setting{"platform.connect_for", p.ConnectFor}, 0},
		{setting{"service.answers_ahead", s.AnswersAhead}, setting{"platform.kill_after", p.KillAfter}, 0},
		{setting{"inventory.discovery.watch_wait", o.Inventory.Discovery.WatchWait},
			setting{"platform.longest_watch", p.LongestWatch}, 0},
	} {
		if pair.low.value.Ms+pair.late <= pair.high.value.Ms {
			continue
		}
		names, late := []string{pair.low.name, pair.high.name}, ""
		if pair.late > 0 {
			names, late = append(names, "north.http.sweep_every"), fmt.Sprintf(" and sweep_every, %v,", h.SweepEvery)
		}
		report(fmt.Sprintf("%s, %v,%s is longer than %s, %v", pair.low.name, pair.low.value, late, pair.high.name,
			pair.high.value), names...)
	}
}

// Room is how a node divides its descriptors.
type Room struct {
	Hosts   int // the most connections to hosts, and of open requests
	Clients int // the most connections of clients that speak HTTP/1.1,
	Thrift  int // and of those that speak Thrift
	Spare   int // of clients over that, answered once and closed
	Crowded int // clients that have asked, from which on an answer ends its connection
}

// Room divides the platform's limits.sockets.
func (o *Options) Room(c *config.Config) Room {
	sockets := c.Sockets
	if c.Control != "" { // the door's are for no client
		sockets -= admin.Descriptors
	}
	left := max(0, sockets-o.Service.Reserve)
	r := Room{Hosts: int(math.Floor(o.South.ConnectionsPart*float64(left) + 1e-6)), Spare: o.North.HTTP.SpareConnections}
	r.Clients = left - r.Hosts - r.Spare
	if t := &o.North.Thrift; t.Listen != "" {
		r.Thrift = max(1, int(t.ConnectionsPart*float64(r.Clients)))
		r.Clients -= r.Thrift
	}
	r.Crowded = max(1, int(o.North.HTTP.CrowdedPart*float64(sockets)))
	return r
}

// Against reports what leaves no room within the platform's limits.
func (o *Options) Against(c *config.Config, report Report) {
	const part, reserve, spare = "south.connections_part", "service.reserve", "north.http.spare_connections"
	r := o.Room(c)
	if r.Hosts < 1 {
		report(fmt.Sprintf("no connection to hosts is left of limits.sockets, %d", c.Sockets), part, reserve)
	}
	if r.Clients < 1 {
		report(fmt.Sprintf("no connection of clients is left of limits.sockets, %d", c.Sockets), part, reserve, spare)
	} else if r.Crowded > r.Clients && o.North.HTTP.CrowdedPart < 1 {
		report(fmt.Sprintf("crowded_part of limits.sockets, %d of %d, is more than the %d that clients may hold",
			r.Crowded, c.Sockets, r.Clients), "north.http.crowded_part", part, reserve, spare)
	}
	if idle := o.South.IdlePart * c.ConnIdle; idle <= o.South.Settle.Ms {
		report(fmt.Sprintf("idle_part of settings.limits.conn_idle_s, %v, is not more than settle, %v: no connection "+
			"would be used again", Duration{idle}, o.South.Settle), "south.idle_part", "south.settle")
	}
	memory := o.Service.MemoryPart * c.MemoryMB * (1 << 20)
	if kept := float64(r.Clients) * float64(o.North.HTTP.PipelineMost.Bytes); kept > memory {
		report(fmt.Sprintf("pipeline_most for each of %d clients, %.0f MB, is more than memory_part of limits.memory_mb, "+
			"%.0f MB", r.Clients, kept/(1<<20), memory/(1<<20)), "north.http.pipeline_most", "service.memory_part")
	}
}
