package lease

import (
	"encoding/json"
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"

	"linenwheel.dev/linenwheel/internal/node/quota"
)

// Tree defines how the capacity of all nodes is divided.
type Tree struct {
	Number   uint64         `json:"number"` // of the policy that contains it; 0 = from a settings file
	Leased   float64        `json:"leased"` // fraction of the capacity that is leased; the rest is divided equally among the nodes
	Settings quota.Settings `json:"set"`    // of all nodes together
}

// Hash returns a hash of the tree's content without its number: a policy that does not change the content leaves
// the hash unchanged. It is empty for a tree that Check rejects because it has no JSON form.
func (t *Tree) Hash() string {
	text, err := json.Marshal(Tree{Leased: t.Leased, Settings: t.Settings})
	if err != nil {
		return "" // a value is not a finite number, which Check reports
	}
	return fmt.Sprintf("%016x", xxhash.Sum64(text))
}

// Check returns an error if capacity cannot be divided according to the tree.
func (t *Tree) Check() error {
	if !(t.Leased > 0 && t.Leased <= MaxLeasedFraction) {
		return fmt.Errorf("%g of the room is leased: want more than 0, and %g at the most", t.Leased, MaxLeasedFraction)
	}
	if len(t.Settings.Nodes) > MaxNodes {
		return fmt.Errorf("the tree has %d nodes: %d at the most can be leased", len(t.Settings.Nodes), MaxNodes)
	}
	_, err := quota.New(t.Settings, 0)
	return err
}

// shape is a Tree in the form in which capacity is divided. Its first nodes have the indexes of the quota.Tree.
// They are followed by one additional leaf for every node with children, for what is requested of that node
// itself.
type shape struct {
	fluid     quota.Fluid
	names     []string
	parent    []int
	children  [][]int
	leafOf    []int // index of the leaf for what is requested of the node itself
	weight    []float64
	limit     []float64 // fraction of the root; +Inf = none
	longLimit []float64 // limit over the long window; +Inf = none
	lends     []bool
	borrows   []bool
}

// newShape returns the shape of a tree. The error is that of quota.New.
func newShape(t *Tree) (*shape, error) {
	tree, err := quota.New(t.Settings, 0)
	if err != nil {
		return nil, err
	}
	s, unassigned := &shape{}, []float64{}
	add := func(name string, parent int, weight, limit, longLimit float64, lends, borrows bool) int {
		index := s.fluid.Add(parent, weight, limit)
		s.names, s.parent, s.children = append(s.names, name), append(s.parent, parent), append(s.children, nil)
		s.leafOf, s.weight, s.limit, s.longLimit = append(s.leafOf, index), append(s.weight, weight), append(s.limit, limit), append(s.longLimit, longLimit)
		s.lends, s.borrows, unassigned = append(s.lends, lends), append(s.borrows, borrows), append(unassigned, weight)
		if index > 0 {
			s.children[parent] = append(s.children[parent], index)
			unassigned[parent] -= weight
		}
		return index
	}
	for i := range tree.Nodes() {
		l := tree.Loads(i)
		lends, borrows := tree.Sharing(i)
		weight, limit := max(l.Guarantee, minWeight), l.RateLimit
		if !borrows {
			limit = min(limit, weight)
		}
		add(tree.Name(i), tree.Parent(i), weight, limit, l.LongLimit, lends, borrows)
	}
	for i := range tree.Nodes() {
		if len(s.children[i]) > 0 {
			s.leafOf[i] = add("", i, max(unassigned[i], minWeight), math.Inf(1), math.Inf(1), false, true)
		}
	}
	return s, nil
}

// memberNodes returns the number of nodes that members know; the additional leaves follow them.
func (s *shape) memberNodes() int {
	for i, name := range s.names {
		if i > 0 && name == "" {
			return i
		}
	}
	return len(s.names)
}
