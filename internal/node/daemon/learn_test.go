package daemon

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/node/config"
	"linenwheel.dev/linenwheel/internal/node/options"
	"linenwheel.dev/linenwheel/node"
)

// Guards against a node that asks though it knows as much itself, that asks nobody though what it knows is old, that asks
// itself, and against a fleet whose nodes all ask the same few.
func TestWhomToAsk(t *testing.T) {
	o, c := options.Default(), clock.NewManual(1e12)
	d := &daemon{clock: c, set: Settings{Options: &o, Config: &config.Config{Name: "n1", Control: "h2:9"}}}
	assert.False(t, d.asks(nil), "off by default")
	o.State.From = []string{"h1:9", "h2:9", "h3:9", "h4:9", "h5:9"}
	assert.True(t, d.asks(nil))
	assert.False(t, d.asks(&node.Knowledge{At: c.Now() - 4000}))
	assert.True(t, d.asks(&node.Knowledge{At: c.Now() - 4001}))
	asked := map[string]int{}
	for _, name := range []string{"n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8", "n9"} {
		d.set.Config.Name = name
		doors := d.doors()
		assert.Len(t, doors, mostAsked)
		for _, door := range doors {
			asked[door]++
		}
	}
	assert.Len(t, asked, 4)
	assert.NotContains(t, asked, "h2:9")
	o.State.From = []string{"h2:9"}
	assert.Empty(t, d.doors())
}
