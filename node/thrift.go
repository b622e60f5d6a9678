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

// protocolThrift is the value of a host's protocol in the endpoint list.
const protocolThrift = "thrift"

// thriftParts are the additional components of a node that speaks Thrift. Where calls do not cross protocols, the
// backends that speak it are a fleet of their own, with a dispatcher and a core of its own, so that the balancer
// never considers a backend that cannot serve the call.
type thriftParts struct {
	kinds      []string // types of machines that speak Thrift
	dispatcher *dispatch.Dispatcher
	core       *core.Core
	front      *thriftserver.Server // nil = there is no Thrift listener
	loop       *netpoll.Loop
}

// protocols returns the function that selects the protocol for a host.
func protocols(conf *Config, o *Options) func(core.Host) connpool.Protocol {
	s := &o.South.Thrift
	plain := httpbackend.Protocol{Cross: s.Cross, Most: o.North.HTTP.BodyMost.Bytes, Flows: streamsBodies(o)}
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
		if h.Protocol == protocolThrift {
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

// initThrift creates the components for Thrift, if the node or a backend speaks it.
func (n *Node) initThrift(set decide.Settings, seed uint64, o *Options, room options.Room, calls core.Settings, log *slog.Logger) error {
	t := &thriftParts{kinds: o.South.Thrift.Kinds, dispatcher: n.dispatcher, core: n.core}
	front := &o.North.Thrift
	if front.Listen == "" && len(t.kinds) == 0 {
		return nil
	}
	var err error
	if !o.South.Thrift.Cross {
		if t.dispatcher, err = dispatch.New(set, seed+1, n.clock, log.With("part", "pilot"), n.wake); err != nil {
			return err
		}
		t.core = core.New(calls, t.dispatcher, n.pool, log.With("part", "core"))
	}
	n.thrift = t
	if front.Listen == "" {
		return nil
	}
	fs := thriftserver.Settings{Methods: map[string]thriftserver.Method{}, Tenants: map[string]int{}, Messages: messageLimits(o), Open: front.Open,
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

// ThriftAddress returns the address on which clients that speak Thrift connect, empty if there is none.
func (n *Node) ThriftAddress() string {
	if n.thrift == nil || n.thrift.loop == nil {
		return ""
	}
	return n.thrift.loop.Addr()
}

// setHosts passes a list to the dispatchers, each the hosts of its own fleet.
func (n *Node) setHosts(from dispatch.ListKind, list []dispatch.Host) {
	t := n.thrift
	if t == nil {
		if !n.opts.Load().South.Thrift.Cross && slices.ContainsFunc(list, needsThrift) {
			n.log.Warn("Thrift backends ignored: this node has no listener for Thrift and calls do not cross protocols")
			list = slices.DeleteFunc(slices.Clone(list), needsThrift)
		}
		n.dispatcher.SetHosts(from, list)
		return
	}
	var first, second []dispatch.Host
	for _, h := range list {
		if slices.Contains(t.kinds, h.Kind) {
			h.Protocol = protocolThrift
		}
		if t.dispatcher != n.dispatcher && h.Protocol == protocolThrift {
			second = append(second, h)
		} else {
			first = append(first, h)
		}
		if h.Status == dispatch.Removed && t.dispatcher != n.dispatcher { // a removal contains only the name
			second = append(second, h)
		}
	}
	n.dispatcher.SetHosts(from, first)
	if t.dispatcher != n.dispatcher {
		t.dispatcher.SetHosts(from, second)
	}
}

func needsThrift(h dispatch.Host) bool {
	return h.Protocol == protocolThrift && h.Status != dispatch.Removed
}

// runTimers runs the timers that are due in all dispatchers and returns when the next one is due.
func (n *Node) runTimers() float64 {
	next := n.dispatcher.Tick()
	if n.thrift != nil && n.thrift.dispatcher != n.dispatcher {
		next = min(next, n.thrift.dispatcher.Tick())
	}
	return next
}

// unanswered returns the number of calls that are not answered yet, over all protocols.
func (n *Node) unanswered() int {
	open := n.core.Unanswered()
	if n.thrift != nil && n.thrift.core != n.core {
		open += n.thrift.core.Unanswered()
	}
	return open
}

// content returns a payload as the content that stages see, whatever protocol it came in.
func content(payload any) core.Content {
	if m, ok := payload.(*thrift.Message); ok {
		return thriftserver.Content{Message: m}
	}
	return http1.Content{Message: payload.(*http1.Message)}
}
