package controlplane

import (
	"sync"

	"linenwheel.dev/linenwheel/internal/fleet/distribution"
)

// updateCache caches the encoded updates to the newest configuration, because most data plane nodes need the same
// one.
type updateCache struct {
	mu      sync.Mutex
	epoch   uint64                         // of the view in which they were encoded: a new view may replace the last orders
	seq     uint64                         // of the configuration that the updates produce
	encoded map[uint64]distribution.Update // by the sequence number of the configuration that they update
}

// get returns the update from the configuration with a sequence number, 0 for none, to the published configuration.
func (c *updateCache) get(published *Published, from uint64) (distribution.Update, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.seq != published.Seq || c.epoch != published.View.Epoch {
		c.seq, c.epoch, c.encoded = published.Seq, published.View.Epoch, map[uint64]distribution.Update{}
	}
	if update, cached := c.encoded[from]; cached {
		return update, nil
	}
	update, err := published.source().Encode(from)
	if err == nil {
		c.encoded[from] = update
	}
	return update, err
}
