package lease

import (
	"encoding/json"
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"

	"linenwheel.dev/linenwheel/internal/node/quota"
)

// Tree is what the fleet's room is divided by.
type Tree struct {
	Number uint64         `json:"number"` // of the policy that it came with, 0 = of a file
	Leased float64        `json:"leased"` // part of the room that leases are made of; the rest belongs to the nodes in equal parts
	Set    quota.Settings `json:"set"`    // of the whole fleet
}

// Hash names what the tree says, whatever its number: a policy that leaves it as it was makes no other tree of it.
func (t *Tree) Hash() string {
	text, err := json.Marshal(Tree{Leased: t.Leased, Set: t.Set})
	if err != nil {
		return "" // a figure that is none: Check tells
	}
	return fmt.Sprintf("%016x", xxhash.Sum64(text))
}

// Check tells why a fleet could not divide its room by the tree.
func (t *Tree) Check() error {
	if !(t.Leased > 0 && t.Leased <= MostLeased) {
		return fmt.Errorf("%g of the room is leased: want more than 0, and %g at the most", t.Leased, MostLeased)
	}
	if len(t.Set.Nodes) > MostNodes {
		return fmt.Errorf("the tree has %d nodes: %d at the most can be leased", len(t.Set.Nodes), MostNodes)
	}
	_, err := quota.New(t.Set, 0)
	return err
}

// shape is the tree as it is divided. The places of its nodes are those of a quota.Book; behind them every node that has children
// has one more, for what is asked of it alone.
type shape struct {
	fluid     quota.Fluid
	names     []string
	parent    []int
	children  [][]int
	leafOf    []int // where what is asked of a place stands
	weight    []float64
	limit     []float64 // that never changes
	longLimit []float64 // +Inf = none
	lends     []bool
	borrows   []bool
}

// newShape takes a tree that was checked.
func newShape(t *Tree) (*shape, error) {
	book, err := quota.New(t.Set, 0)
	if err != nil {
		return nil, err
	}
	s, left := &shape{}, []float64{}
	add := func(name string, parent int, weight, limit, long float64, lends, borrows bool) int {
		at := s.fluid.Add(parent, weight, limit)
		s.names, s.parent, s.children = append(s.names, name), append(s.parent, parent), append(s.children, nil)
		s.leafOf, s.weight, s.limit, s.longLimit = append(s.leafOf, at), append(s.weight, weight), append(s.limit, limit), append(s.longLimit, long)
		s.lends, s.borrows, left = append(s.lends, lends), append(s.borrows, borrows), append(left, weight)
		if at > 0 {
			s.children[parent] = append(s.children[parent], at)
			left[parent] -= weight
		}
		return at
	}
	for i := range book.Nodes() {
		l := book.Loads(i)
		lends, borrows := book.Ways(i)
		weight, limit := max(l.Guarantee, minWeight), l.Ceiling
		if !borrows {
			limit = min(limit, weight)
		}
		add(book.Name(i), book.Parent(i), weight, limit, l.Long, lends, borrows)
	}
	for i := range book.Nodes() {
		if len(s.children[i]) > 0 {
			s.leafOf[i] = add("", i, max(left[i], minWeight), math.Inf(1), math.Inf(1), false, true)
		}
	}
	return s, nil
}

// places tells how many there are for askers; behind them are those that askers do not know.
func (s *shape) places() int {
	for i, name := range s.names {
		if i > 0 && name == "" {
			return i
		}
	}
	return len(s.names)
}
