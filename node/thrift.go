package node

import (
	"log/slog"
	"slices"

	"linenwheel.dev/linenwheel/decide"
	"linenwheel.dev/linenwheel/internal/codec/http1"
	"linenwheel.dev/linenwheel/internal/codec/thrift"
	"linenwheel.dev/linenwheel/internal/node/core"
	"linenwheel.dev/linenwheel/internal/node/dispatch"
	"linenwheel.dev/linenwheel/internal/node/downstream/connlimit"
	"linenwheel.dev/linenwheel/internal/node/downstream/thriftserver"
	"linenwheel.dev/linenwheel/internal/node/netpoll"
	"linenwheel.dev/linenwheel/internal/node/options"
	"linenwheel.dev/linenwheel/internal/node/upstream/connpool"
	"linenwheel.dev/linenwheel/internal/node/upstream/httpbackend"
	"linenwheel.dev/linenwheel/internal/node/upstream/thriftbackend"
)

// speaksThrift is what a host's protocol is called in the list.
const speaksThrift = "thrift"

// thriftSide is what a node has besides when Thrift is spoken. Where calls do not cross, the hosts that speak it are a fleet
// of their own, with a pilot and a core of its own, so that the module never weighs a host that a call does not fit.
type thriftSide struct {
	kinds []string // types of machines that speak it
	pilot *dispatch.Dispatcher
	core  *core.Core
	front *thriftserver.Server // nil = no listener
	loop  *netpoll.Loop
}

// protocols says what is spoken with a host.
func protocols(conf *Config, o *Options) func(core.Host) connpool.Protocol {
	s := &o.South.Thrift
	plain := httpbackend.Protocol{Cross: s.Cross, Most: o.North.HTTP.BodyMost.Bytes, Flows: flows(o)}
	methods := make([]string, len(conf.Settings.Classes))
	for i, c := range conf.Settings.Classes {
		method := "POST"
		if c.Effect == decide.Safe {
			method = "GET"
		}
		plain.Classes = append(plain.Classes, httpbackend.Class{Name: c.Name, Method: method})
		if at := slices.IndexFunc(o.North.Thrift.Methods, func(m options.ThriftMethod) bool { return m.Class == c.Name }); at >= 0 &&
			s.Cross {
			methods[i] = o.North.Thrift.Methods[at].Name
		}
	}
	for _, t := range conf.Settings.Tenants {
		plain.Tenants = append(plain.Tenants, t.Name)
	}
	forms := map[string]thrift.Protocol{"binary": thrift.Binary, "compact": thrift.Compact}
	transports := map[string]thrift.Transport{"framed": thrift.Framed, "unframed": thrift.Unframed, "header": thrift.Header}
	second := thriftbackend.New(thriftbackend.Settings{Form: thrift.Form{Protocol: forms[s.Protocol], Transport: transports[s.Transport]},
		Limits: messageLimits(o), Methods: methods, Tenants: plain.Tenants})
	return func(h core.Host) connpool.Protocol {
		if h.Protocol == speaksThrift {
			return second
		}
		return plain
	}
}

func messageLimits(o *Options) thrift.Limits {
	l := thrift.DefaultLimits
	l.Message = o.North.Thrift.MessageMost.Bytes
	return l
}

// secondSide makes what the node has besides for Thrift, if anything speaks it.
func (n *Node) secondSide(set decide.Settings, seed uint64, o *Options, room options.Room, calls core.Settings, log *slog.Logger) error {
	t := &thriftSide{kinds: o.South.Thrift.Kinds, pilot: n.pilot, core: n.core}
	front := &o.North.Thrift
	if front.Listen == "" && len(t.kinds) == 0 {
		return nil
	}
	var err error
	if !o.South.Thrift.Cross {
		if t.pilot, err = dispatch.New(set, seed+1, n.clock, log.With("part", "pilot"), n.wake); err != nil {
			return err
		}
		t.core = core.New(calls, t.pilot, n.pool, log.With("part", "core"))
	}
	n.thrift = t
	if front.Listen == "" {
		return nil
	}
	fs := thriftserver.Settings{Methods: map[string]thriftserver.Method{}, Tenants: map[string]int{}, Messages: messageLimits(o), MaxOpenCalls: front.Open,
		Pipeline: front.PipelineMost.Bytes, Backlog: front.BacklogMost.Bytes, Linger: front.Linger.Ms, Stall: o.North.HTTP.Stall.Ms,
		Limiter: connlimit.Settings{Connections: room.Thrift, Crowded: room.Thrift, Limits: connlimit.Limits{Idle: front.IdleAfter.Ms,
			Read: front.ReadLimit.Ms, First: front.FirstLimit.Ms, Settle: front.Settle.Ms}}}
	for i, c := range n.conf.Settings.Classes {
		fs.Classes = append(fs.Classes, thriftserver.Class{Keyed: c.Effect == decide.Keyed})
		for _, m := range front.Methods {
			if m.Class == c.Name {
				for _, name := range thriftserver.MethodNames(front.Service, m.Name) {
					fs.Methods[name] = thriftserver.Method{Class: i, OneWay: m.OneWay}
				}
			}
		}
	}
	for i, tenant := range n.conf.Settings.Tenants {
		fs.Tenants[tenant.Name] = i
	}
	t.front = thriftserver.New(fs, n.clock, t.core, n.gate, log.With("part", "north"))
	t.loop, err = netpoll.Listen(front.Listen, room.Thrift, t.front.Accept)
	return err
}

// ThriftAddress is where clients that speak Thrift connect, empty if nowhere.
func (n *Node) ThriftAddress() string {
	if n.thrift == nil || n.thrift.loop == nil {
		return ""
	}
	return n.thrift.loop.Addr()
}

// tell gives a list to the pilots, each the hosts of its own fleet.
func (n *Node) tell(from dispatch.ListKind, list []dispatch.Host) {
	t := n.thrift
	if t == nil {
		if !n.opts.Load().South.Thrift.Cross && slices.ContainsFunc(list, needsThrift) {
			n.log.Warn("hosts that speak Thrift are left out: no client of this node's can be served there")
			list = slices.DeleteFunc(slices.Clone(list), needsThrift)
		}
		n.pilot.SetHosts(from, list)
		return
	}
	var first, second []dispatch.Host
	for _, h := range list {
		if slices.Contains(t.kinds, h.Kind) {
			h.Protocol = speaksThrift
		}
		if t.pilot != n.pilot && h.Protocol == speaksThrift {
			second = append(second, h)
		} else {
			first = append(first, h)
		}
		if h.Status == dispatch.Removed && t.pilot != n.pilot { // an entry that says no more than the name
			second = append(second, h)
		}
	}
	n.pilot.SetHosts(from, first)
	if t.pilot != n.pilot {
		t.pilot.SetHosts(from, second)
	}
}

func needsThrift(h dispatch.Host) bool {
	return h.Protocol == speaksThrift && h.Status != dispatch.Removed
}

// ticks runs the timers of all pilots and gives when the next is due.
func (n *Node) ticks() float64 {
	next := n.pilot.Tick()
	if n.thrift != nil && n.thrift.pilot != n.pilot {
		next = min(next, n.thrift.pilot.Tick())
	}
	return next
}

// unanswered is the number of calls that are owed an answer on any front.
func (n *Node) unanswered() int {
	open := n.core.Unanswered()
	if n.thrift != nil && n.thrift.core != n.core {
		open += n.thrift.core.Unanswered()
	}
	return open
}

// content shows a payload to stages, whatever front or carrier it is from.
func content(payload any) core.Content {
	if m, ok := payload.(*thrift.Message); ok {
		return thriftserver.Content{Message: m}
	}
	return http1.Content{Message: payload.(*http1.Message)}
}
