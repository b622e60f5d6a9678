package quota

// Fluid is a tree whose capacity is divided among its nodes by weighted max-min fairness at each level, as a fluid
// would be. The root has the index 0.
type Fluid struct {
	parent   []int
	weight   []float64
	limit    []float64
	children [][]int
}

// Add adds a node below one that was added before and returns its index; the first node is the root. What a node
// receives is divided among its children by their weights, and no child receives more than its limit.
func (f *Fluid) Add(parent int, weight, limit float64) (index int) {
	index = len(f.parent)
	f.parent, f.weight, f.limit = append(f.parent, parent), append(f.weight, weight), append(f.limit, limit)
	f.children = append(f.children, nil)
	if index > 0 {
		f.children[parent] = append(f.children[parent], index)
	}
	return index
}

// Set changes the weight and the limit of a node.
func (f *Fluid) Set(index int, weight, limit float64) {
	f.weight[index], f.limit[index] = weight, limit
}

// AddToAncestors adds the value of each node to those of all its ancestors.
func (f *Fluid) AddToAncestors(values []float64) {
	for i := len(values) - 1; i > 0; i-- {
		values[f.parent[i]] += values[i]
	}
}

// Allocate divides a capacity among nodes with the given requested amounts, level by level: each node receives its
// part by weight, up to what it requests, and the rest goes to the nodes that request more, in proportion to their
// weights.
func (f *Fluid) Allocate(capacity float64, requested []float64) []float64 {
	want, due := make([]float64, len(requested)), make([]float64, len(requested))
	copy(want, requested)
	for i := len(want) - 1; i > 0; i-- { // children come after their parents
		want[i] = min(want[i], f.limit[i])
		want[f.parent[i]] += want[i]
	}
	due[Root] = min(want[Root], capacity)
	for i := range f.children {
		f.divide(i, due, want)
	}
	return due
}

// divide divides the allocation of a node among its children by progressive filling, until nothing is left.
func (f *Fluid) divide(parent int, due, want []float64) {
	unmet := make([]int, 0, len(f.children[parent]))
	for _, c := range f.children[parent] {
		if want[c] > 0 {
			unmet = append(unmet, c)
		}
	}
	for left := due[parent]; left > 1e-12 && len(unmet) > 0; {
		sum := 0.0
		for _, c := range unmet {
			sum += f.weight[c]
		}
		step := left / sum
		for _, c := range unmet {
			step = min(step, (want[c]-due[c])/f.weight[c])
		}
		rest := unmet[:0]
		for _, c := range unmet {
			due[c] += step * f.weight[c]
			left -= step * f.weight[c]
			if due[c] < want[c]-1e-12 {
				rest = append(rest, c)
			}
		}
		unmet = rest
	}
}
