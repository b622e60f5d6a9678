package statemachine

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// ComponentOrders is the name of the component that holds the operators' orders to nodes.
const ComponentOrders = "orders"

// Bounds of the orders.
const (
	MaxOrdered  = 1024 // maximum number of nodes with orders
	MaxCordoned = 1024 // maximum number of backends cordoned at one node
)

// Ordered is the state that operators have ordered for a node. It is stored under the node's name, so that it also
// applies to a replacement on an empty machine.
type Ordered struct {
	Drained  bool     `json:"drained,omitempty"`
	Cordoned []string `json:"out,omitempty"` // cordoned backends, sorted
}

// Order is the body of a command that carries an operator's order to a node. It is idempotent.
type Order struct {
	Node    string `json:"node"`
	Action  string `json:"do"` // suspend, resume, drain, activate
	Backend string `json:"rater,omitempty"`
}

// OrdersOf is the body of a query for the orders of a node.
type OrdersOf struct {
	Node string `json:"node"`
}

// orders maps the names of nodes to their orders. A node without orders has no entry.
type orders struct{ nodes map[string]Ordered }

func newOrders() *orders { return &orders{nodes: map[string]Ordered{}} }

// Apply applies an Order and replies with the resulting Ordered.
func (o *orders) Apply(_ uint64, _ float64, _ uint64, body json.RawMessage) Reply {
	var c Order
	if err := json.Unmarshal(body, &c); err != nil {
		return Reply{Code: Invalid, Text: err.Error()}
	}
	current, known := o.nodes[c.Node]
	at, cordoned := slices.BinarySearch(current.Cordoned, c.Backend)
	needsBackend := c.Action == "suspend" || c.Action == "resume"
	switch {
	case c.Node == "" || len(c.Node) > maxNameBytes || needsBackend && (c.Backend == "" || len(c.Backend) > maxNameBytes):
		return Reply{Code: Invalid, Text: fmt.Sprintf("a node and a rater have names of 1 to %d bytes", maxNameBytes)}
	case !known && len(o.nodes) >= MaxOrdered || c.Action == "suspend" && !cordoned && len(current.Cordoned) >= MaxCordoned:
		return Reply{Code: Full, Text: "too much is ordered"}
	}
	switch c.Action {
	case "drain", "activate":
		current.Drained = c.Action == "drain"
	case "suspend":
		if !cordoned {
			current.Cordoned = slices.Insert(slices.Clone(current.Cordoned), at, c.Backend) // an image that is being encoded may share the old slice
		}
	case "resume":
		if cordoned {
			current.Cordoned = slices.Delete(slices.Clone(current.Cordoned), at, at+1)
		}
	default:
		return Reply{Code: Invalid, Text: fmt.Sprintf("there is no order %q", c.Action)}
	}
	if o.nodes[c.Node] = current; !current.Drained && len(current.Cordoned) == 0 {
		delete(o.nodes, c.Node)
	}
	return Reply{Code: OK, Body: encode(current)}
}

// Query answers an OrdersOf.
func (o *orders) Query(body json.RawMessage) Reply {
	var q OrdersOf
	if err := json.Unmarshal(body, &q); err != nil {
		return Reply{Code: Invalid, Text: err.Error()}
	}
	return Reply{Code: OK, Body: encode(o.nodes[q.Node])}
}

// Freeze captures the orders for an image.
func (o *orders) Freeze() func() (json.RawMessage, error) {
	snapshot := maps.Clone(o.nodes)
	return func() (json.RawMessage, error) { return json.Marshal(snapshot) }
}

// Load restores an image.
func (o *orders) Load(image json.RawMessage) error { return json.Unmarshal(image, &o.nodes) }
