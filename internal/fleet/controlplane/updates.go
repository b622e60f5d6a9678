package controlplane

import (
	"sync"

	"linenwheel.dev/linenwheel/internal/fleet/distribution"
	"linenwheel.dev/linenwheel/internal/fleet/operator"
)

// updateCache keeps the encoded ways to the newest configuration: most nodes of the data plane need the same one.
type updateCache struct {
	mu      sync.Mutex
	epoch   uint64 // of the view in which they were made: its beginning may replace an order
	seq     uint64
	encoded map[uint64]distribution.Update // by the place from which it leads
}

// get gives what leads from a place, 0 for nothing, to what is published.
func (u *updateCache) get(published *Published, from uint64) (distribution.Update, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.seq != published.Seq || u.epoch != published.View.Epoch {
		u.seq, u.epoch, u.encoded = published.Seq, published.View.Epoch, map[uint64]distribution.Update{}
	}
	if update, known := u.encoded[from]; known {
		return update, nil
	}
	update, err := encodeUpdate(published, from)
	if err == nil {
		u.encoded[from] = update
	}
	return update, err
}

func encodeUpdate(published *Published, from uint64) (distribution.Update, error) {
	var patches []operator.Order
	if from > 0 && published.Seq-from <= maxPatches {
		patches = published.OrdersSince(from, published.Seq)
	}
	if patches == nil {
		return distribution.NewUpdate(published.State.Document.JSON(), nil)
	}
	return distribution.NewUpdate(nil, patches)
}
