package quota

// Fluid is a tree whose room is divided among those that ask for it as a fluid would be. The root is the place 0.
type Fluid struct {
	parent   []int
	weight   []float64
	limit    []float64
	children [][]int
}

// Add adds a node below one that was added before, and gives its place; the first is the root. Among the children of a node what
// it has is divided by their weights, and none gets more than its limit.
func (f *Fluid) Add(parent int, weight, limit float64) (place int) {
	place = len(f.parent)
	f.parent, f.weight, f.limit = append(f.parent, parent), append(f.weight, weight), append(f.limit, limit)
	f.children = append(f.children, nil)
	if place > 0 {
		f.children[parent] = append(f.children[parent], place)
	}
	return place
}

// Set changes a node.
func (f *Fluid) Set(place int, weight, limit float64) {
	f.weight[place], f.limit[place] = weight, limit
}

// Sum adds what each place has to all that are above it.
func (f *Fluid) Sum(each []float64) {
	for i := len(each) - 1; i > 0; i-- {
		each[f.parent[i]] += each[i]
	}
}

// Due divides a capacity among places that ask for so much: each gets its weight's part as far as it asks for it, and what is left
// goes to those that want more, level by level, in proportion to weights.
func (f *Fluid) Due(capacity float64, asked []float64) []float64 {
	want, due := make([]float64, len(asked)), make([]float64, len(asked))
	copy(want, asked)
	for i := len(want) - 1; i > 0; i-- { // children stand behind their parents
		want[i] = min(want[i], f.limit[i])
		want[f.parent[i]] += want[i]
	}
	due[Root] = min(want[Root], capacity)
	for i := range f.children {
		f.divide(i, due, want)
	}
	return due
}

// divide gives a node's due to its children: level rises until it is given out.
func (f *Fluid) divide(parent int, due, want []float64) {
	open := make([]int, 0, len(f.children[parent]))
	for _, c := range f.children[parent] {
		if want[c] > 0 {
			open = append(open, c)
		}
	}
	for left := due[parent]; left > 1e-12 && len(open) > 0; {
		sum := 0.0
		for _, c := range open {
			sum += f.weight[c]
		}
		step := left / sum
		for _, c := range open {
			step = min(step, (want[c]-due[c])/f.weight[c])
		}
		still := open[:0]
		for _, c := range open {
			due[c] += step * f.weight[c]
			left -= step * f.weight[c]
			if due[c] < want[c]-1e-12 {
				still = append(still, c)
			}
		}
		open = still
	}
}
