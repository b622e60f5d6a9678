package options

import (
	"fmt"
	"net/netip"
	"slices"

	"linenwheel.dev/linenwheel/decide"
	"linenwheel.dev/linenwheel/internal/node/config"
)

// NorthThrift are clients that speak Thrift, on a listener of their own.
type NorthThrift struct {
	// Listen is the address, ip:port. Empty = no such clients.
	Listen string `toml:"listen" default:""`
	// Service is the name in front of a method's with which multiplexed clients call it.
	Service string `toml:"service" default:""`
	// ConnectionsPart is the part of the clients' connections that is for these.
	ConnectionsPart float64 `toml:"connections_part" default:"0.5" min:"0.01" max:"0.99"`
	// Open is how many calls may be open on one connection.
	Open int `toml:"open" default:"64" min:"1" max:"65536"`
	// IdleAfter is how long a connection may carry no call before it is closed.
	IdleAfter Duration `toml:"idle_after" default:"1m" min:"1ms" max:"24h"`
	// ReadLimit is the time in which a call must be whole once it has begun.
	ReadLimit Duration `toml:"read_limit" default:"2500ms" min:"1ms" max:"1h"`
	// FirstLimit is the time in which the first call on a connection must be whole, counted from connecting.
	FirstLimit Duration `toml:"first_limit" default:"2800ms" min:"1ms" max:"1h"`
	// Linger is how long a client that sent what cannot be read has to read why before its connection ends.
	Linger Duration `toml:"linger" default:"500ms" min:"0s" max:"10s"`
	// Settle is how long a client that has connected is spared before it may have to make room for another.
	Settle Duration `toml:"settle" default:"25ms" min:"0s" max:"10s"`
	// MessageMost is how large a call may be.
	MessageMost Size `toml:"message_most" default:"68KiB" min:"1KiB" max:"16MiB"`
	// PipelineMost is how much is kept of what comes behind open calls; with more, these are the connection's last.
	PipelineMost Size `toml:"pipeline_most" default:"128KiB" min:"1KiB" max:"16MiB"`
	// BacklogMost is how much of results is kept for a client that does not read them; with more, its connection ends.
	BacklogMost Size `toml:"backlog_most" default:"256KiB" min:"80KiB" max:"16MiB"`
	// Methods are those that clients may call.
	Methods []ThriftMethod `toml:"method"`
}

// ThriftMethod says which class a method is.
type ThriftMethod struct {
	// Name is the method's, as it is on the wire without a service's.
	Name string `toml:"name" default:""`
	// Class is that of the platform's settings.
	Class string `toml:"class" default:""`
	// OneWay says that nobody waits for its results; some libraries' clients do not say so in their calls.
	OneWay bool `toml:"one_way" default:"false"`
}

// SouthThrift is how hosts that speak Thrift are spoken with. A host does if its entry in the list says so (protocol =
// "thrift"), or by its type of machine.
type SouthThrift struct {
	// Kinds are types of machines that speak Thrift.
	Kinds []string `toml:"kinds" default:"[]"`
	// Protocol is how values are written.
	Protocol string `toml:"protocol" default:"binary" oneof:"binary compact"`
	// Transport is how messages are told apart.
	Transport string `toml:"transport" default:"framed" oneof:"framed unframed header"`
	// Cross has calls over HTTP/1.1 go to Thrift hosts and the reverse, as the methods say: all hosts are one fleet.
	Cross bool `toml:"cross" default:"false"`
}

// Check reports what cannot be served.
func (n *NorthThrift) Check(report Report) {
	if n.Listen == "" {
		return
	}
	if _, err := netip.ParseAddrPort(n.Listen); err != nil {
		report(fmt.Sprintf("%q is no ip:port", n.Listen), "listen")
	}
	if len(n.Methods) == 0 {
		report("no method: clients could call nothing", "listen")
	}
	names := map[string]bool{}
	for i, m := range n.Methods {
		if m.Name == "" || names[m.Name] {
			report("is missing or stands there twice", fmt.Sprintf("method.%d.name", i))
		}
		names[m.Name] = true
	}
}

// Against reports classes and types of machines that there are not.
func (n *NorthThrift) Against(c *config.Config, report Report) {
	for i, m := range n.Methods {
		if !slices.ContainsFunc(c.Settings.Classes, func(k decide.Class) bool { return k.Name == m.Class }) {
			report(fmt.Sprintf("%q is no class of the platform's settings", m.Class), fmt.Sprintf("method.%d.class", i))
		}
	}
}

// Against reports types of machines that there are not.
func (s *SouthThrift) Against(c *config.Config, report Report) {
	for _, kind := range s.Kinds {
		if !slices.Contains(c.Settings.Kinds, kind) {
			report(fmt.Sprintf("%q is no machine type of the platform's settings", kind), "kinds")
		}
	}
}
