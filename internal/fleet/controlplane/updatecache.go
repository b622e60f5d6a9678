package controlplane

import (
	"sync"

	"linenwheel.dev/linenwheel/internal/fleet/distribution"
)

// updateCache caches the encoded updates to the newest configuration, since most nodes of the data plane need the same one.
type updateCache struct {
	mu      sync.Mutex
	epoch   uint64                         // of the view in which they were encoded: a new view may replace the last orders
	seq     uint64                         // of the configuration to which they lead
	encoded map[uint64]distribution.Update // by the sequence number from which they lead
}

// get returns the update to the published configuration from the one with a sequence number, 0 for none.
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
