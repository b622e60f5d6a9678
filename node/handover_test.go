package node

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"linenwheel.dev/linenwheel/internal/node/options"
)

// Guards against copies of one configuration that run in step or all use the same part of a large fleet, and
// against a single node that waits without need.
func TestInstancesOfOneConfigurationDiffer(t *testing.T) {
	a, b := &Config{Name: "n1", Seed: 7}, &Config{Name: "n2", Seed: 7}
	assert.Nil(t, jitterSource(a, 1))
	assert.NotEqual(t, jitterSource(a, 2)(), jitterSource(b, 2)())
	for _, c := range []struct {
		fleet        options.Fleet
		size, number int
	}{
		{options.Fleet{Number: -1}, 9, 4},
		{options.Fleet{Size: 20, Number: 13}, 20, 13},
		{options.Fleet{Number: -1, Members: []string{"n0", "n1", "n2"}}, 3, 1},
	} {
		size, number := c.fleet.Place("n1", 9, 4)
		assert.Equal(t, [2]int{c.size, c.number}, [2]int{size, number})
	}
}
