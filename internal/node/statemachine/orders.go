package statemachine

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// ComponentOrders is the name of the part that holds what operators have ordered nodes.
const ComponentOrders = "orders"

// Bounds of the orders: nodes that have any, and raters out at one of them.
const (
	MaxOrdered  = 1024
	MaxCordoned = 1024
)

// Ordered is what holds for a node, by its name: a replacement on an empty machine has it too.
type Ordered struct {
	Drained bool     `json:"drained,omitempty"`
	Out     []string `json:"out,omitempty"` // raters out by hand, sorted
}

// Order is a command: what operators tell a node. Given again it changes nothing.
type Order struct {
	Node  string `json:"node"`
	Do    string `json:"do"` // suspend, resume, drain, activate
	Rater string `json:"rater,omitempty"`
}

// OrdersOf asks what holds for a node.
type OrdersOf struct {
	Node string `json:"node"`
}

// orders holds them. A node of which nothing is ordered is not in it.
type orders struct{ nodes map[string]Ordered }

func newOrders() *orders { return &orders{nodes: map[string]Ordered{}} }

func (o *orders) Apply(_ uint64, _ float64, _ uint64, body json.RawMessage) Reply {
	var c Order
	if err := json.Unmarshal(body, &c); err != nil {
		return Reply{Code: Faulty, Text: err.Error()}
	}
	have, known := o.nodes[c.Node]
	at, out := slices.BinarySearch(have.Out, c.Rater)
	raters := c.Do == "suspend" || c.Do == "resume"
	switch {
	case c.Node == "" || len(c.Node) > maxNameBytes || raters && (c.Rater == "" || len(c.Rater) > maxNameBytes):
		return Reply{Code: Faulty, Text: fmt.Sprintf("a node and a rater have names of 1 to %d bytes", maxNameBytes)}
	case !known && len(o.nodes) >= MaxOrdered || c.Do == "suspend" && !out && len(have.Out) >= MaxCordoned:
		return Reply{Code: Full, Text: "too much is ordered"}
	}
	switch c.Do {
	case "drain", "activate":
		have.Drained = c.Do == "drain"
	case "suspend":
		if !out {
			have.Out = slices.Insert(slices.Clone(have.Out), at, c.Rater) // an image may have the old one
		}
	case "resume":
		if out {
			have.Out = slices.Delete(slices.Clone(have.Out), at, at+1)
		}
	default:
		return Reply{Code: Faulty, Text: fmt.Sprintf("there is no order %q", c.Do)}
	}
	if o.nodes[c.Node] = have; !have.Drained && len(have.Out) == 0 {
		delete(o.nodes, c.Node)
	}
	return Reply{Code: OK, Body: encode(have)}
}

func (o *orders) Query(body json.RawMessage) Reply {
	var q OrdersOf
	if err := json.Unmarshal(body, &q); err != nil {
		return Reply{Code: Faulty, Text: err.Error()}
	}
	return Reply{Code: OK, Body: encode(o.nodes[q.Node])}
}

func (o *orders) Freeze() func() (json.RawMessage, error) {
	held := maps.Clone(o.nodes)
	return func() (json.RawMessage, error) { return json.Marshal(held) }
}

func (o *orders) Load(image json.RawMessage) error { return json.Unmarshal(image, &o.nodes) }
