package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// gaps are the times between a repair and the next loss.
var gaps = []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second,
	1500 * time.Millisecond, 2500 * time.Millisecond, 4 * time.Second}

// join starts an empty machine beside the others.
func (w *world) join(address, domain string) *node {
	n := &node{address: address, domain: domain}
	w.nodes = append(w.nodes, n)
	w.start(n)
	return n
}

// discard takes a machine out of the world.
func (w *world) discard(gone *node) {
	w.crash(gone)
	for i, n := range w.nodes {
		if n == gone {
			w.nodes = append(w.nodes[:i:i], w.nodes[i+1:]...)
			return
		}
	}
}

// requireGoesOn takes an order within some seconds and finds nothing broken.
func requireGoesOn(t *testing.T, w *world, within time.Duration, about ...any) {
	t.Helper()
	took := w.submitUntilTaken(t, w.newest(), w.newest()+1)
	require.Less(t, took, within, about...)
	require.Empty(t, w.problems(), about...)
}

// A planned replacement: the new machine comes first, has its time to catch up, then the old one is stopped in order. As soon
// as that has gone, the disk of another one is lost.
func TestADiskIsLostRightAfterAPlannedReplacement(t *testing.T) {
	for _, gap := range gaps {
		for seed := range uint64(60) {
			w := founded(t, seed, 3)
			w.join("m9", "")
			w.runUntil(w.now + 4500*time.Millisecond)
			w.checkNext = true
			old, next := w.nodes[seed%3], w.nodes[(seed+1+seed/3%2)%3]
			gone := false
			w.leave(old, 6*time.Second, func() { gone = true })
			for !gone {
				w.runUntil(w.now + 10*time.Millisecond)
			}
			w.discard(old)
			w.runUntil(w.now + gap)
			w.wipe(next)
			requireGoesOn(t, w, 2500*time.Millisecond, "gap %v, seed %d", gap, seed)
			w.start(next)
			w.runUntil(w.now + w.catchUp)
			require.True(t, w.survivesNextLoss(1), "gap %v, seed %d: %v", gap, seed, w.view())
		}
	}
}

// The same with an old machine that falls silent without a word: once its silence is noticed, the newcomer has its vote.
func TestADiskIsLostAfterAStandbyTookASilentVotersPlace(t *testing.T) {
	for _, gap := range gaps[3:] {
		for seed := range uint64(60) {
			w := founded(t, seed, 3)
			w.join("m9", "")
			w.runUntil(w.now + 4500*time.Millisecond)
			w.discard(w.nodes[seed%3])
			w.runUntil(w.now + gap)
			next := w.nodes[int(seed/3)%2]
			w.wipe(next)
			requireGoesOn(t, w, 2500*time.Millisecond, "gap %v, seed %d", gap, seed)
			w.start(next)
			w.runUntil(w.now + w.catchUp)
			require.True(t, w.survivesNextLoss(1), "gap %v, seed %d: %v", gap, seed, w.view())
		}
	}
}

// The second loss leaves the disk: the fleet may rest until both are back, and then goes on with all that was acknowledged.
func TestAnotherMachineLosesPowerRightAfterARepair(t *testing.T) {
	repairs := map[string]func(w *world, victim *node){
		"restart": func(w *world, victim *node) {
			w.crash(victim)
			w.runUntil(w.now + 300*time.Millisecond)
			w.start(victim)
		},
		"wiped disk": func(w *world, victim *node) {
			w.wipe(victim)
			w.runUntil(w.now + 300*time.Millisecond)
			w.start(victim)
		},
		"replacement": func(w *world, victim *node) {
			w.discard(victim)
			w.runUntil(w.now + 300*time.Millisecond)
			w.join("m9", "")
		},
	}
	for name, repair := range repairs {
		for _, gap := range gaps {
			for seed := range uint64(12) {
				w := founded(t, seed, 3)
				repair(w, w.nodes[seed%3])
				w.runUntil(w.now + gap)
				second := w.nodes[(seed/3)%2]
				w.crash(second)
				w.runUntil(w.now + 500*time.Millisecond)
				w.start(second)
				requireGoesOn(t, w, 6*time.Second, "%s, gap %v, seed %d", name, gap, seed)
			}
		}
	}
}

// A restarted member is behind, and the disk of one that has everything is lost.
func TestADiskIsLostRightAfterARestart(t *testing.T) {
	for _, gap := range gaps {
		for seed := range uint64(24) {
			w := founded(t, seed, 3)
			victim := w.nodes[seed%3]
			w.crash(victim)
			w.submitUntilTaken(t, 1, 2)
			w.start(victim)
			w.runUntil(w.now + gap)
			w.wipe(w.nodes[(seed+1+seed/3%2)%3])
			requireGoesOn(t, w, 4*time.Second, "gap %v, seed %d", gap, seed)
			require.EqualValues(t, 3, w.newest())
		}
	}
}

// A vote changes hands while messages are slow, and in the middle of it a machine loses power or its disk.
func TestALossInTheMiddleOfAVoteSwap(t *testing.T) {
	for seed := range uint64(200) {
		w := founded(t, seed, 3)
		w.join("m9", "")
		w.runUntil(w.now + 4500*time.Millisecond)
		w.slowest = 80 * time.Millisecond
		old := w.nodes[seed%3]
		w.leave(old, 6*time.Second, func() {})
		w.runUntil(w.now + time.Duration(w.rand.IntN(400))*time.Millisecond)
		second := w.nodes[(seed+1)%3]
		if seed%2 == 0 {
			w.wipe(second)
		} else {
			w.crash(second)
		}
		w.runUntil(w.now + time.Second)
		w.start(second)
		requireGoesOn(t, w, 8*time.Second, "seed %d", seed)
		w.runUntil(w.now + 2*w.catchUp)
		require.True(t, w.survivesNextLoss(1), "seed %d: %v", seed, w.view())
	}
}

// The snapshot of a newcomer is on its way, piece by piece and garbled now and then, when its source goes, and when another
// member does.
func TestALossWhileASnapshotIsHalfSent(t *testing.T) {
	halfway := 0
	for seed := range uint64(30) {
		w := founded(t, seed, 3)
		w.garblePieces, w.transferRate = true, 300<<10
		revision := int64(1)
		for range 3 {
			w.submitUntilTaken(t, revision, revision+1)
			revision++
		}
		w.takeLarge(t)
		victim := w.nodes[seed%3]
		w.wipe(victim)
		w.runUntil(w.now + time.Second)
		w.start(victim)
		w.runUntil(w.now + time.Duration(200+w.rand.IntN(600))*time.Millisecond)
		if len(victim.machine.transfer.incoming.chunks) > 0 {
			halfway++
		}
		second := w.nodes[(seed+1+seed/3%2)%3]
		w.crash(second)
		w.runUntil(w.now + time.Second)
		w.start(second)
		requireGoesOn(t, w, 8*time.Second, "seed %d", seed)
		w.runUntil(w.now + 2*w.catchUp)
		require.Contains(t, w.view().Chain, victim.disk.Self, "seed %d", seed)
		require.True(t, w.survivesNextLoss(1), "seed %d: %v", seed, w.view())
	}
	require.Greater(t, halfway, 20, "of 30 losses strike while pieces are on their way")
}

// takeLarge has large orders taken, so that only a snapshot leads from the beginning to the present state.
func (w *world) takeLarge(t *testing.T) {
	t.Helper()
	const orders, size = 6, 400 << 10
	require.Greater(t, orders*size, maxEntryBytes)
	for range orders {
		base := w.newest()
		order := w.order(base, base+1, w.noise(size))
		for range 50 {
			w.submit(order)
			w.runUntil(w.now + 100*time.Millisecond)
			if _, taken := w.acked[order.Digest()]; taken {
				break
			}
		}
		require.Contains(t, w.acked, order.Digest())
	}
}

// noise gives text that does not get shorter by compressing it.
func (w *world) noise(size int) string {
	text := make([]byte, size)
	for i := range text {
		text[i] = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789+-"[w.rand.IntN(64)]
	}
	return string(text)
}

func TestTheLeaverHasTheOnlyOtherCopy(t *testing.T) {
	for seed := range uint64(30) {
		w := founded(t, seed, 3)
		down, old := w.nodes[seed%3], w.nodes[(seed+1)%3]
		w.crash(down)
		w.submitUntilTaken(t, 1, 2)
		gone := time.Duration(0)
		w.leave(old, 6*time.Second, func() { gone = w.now })
		w.runUntil(w.now + 2*time.Second)
		require.Zero(t, gone, "seed %d: it is one of F+1 copies", seed)
		requireGoesOn(t, w, 2*time.Second, "seed %d", seed)
		w.start(down)
		for gone == 0 {
			w.runUntil(w.now + 50*time.Millisecond)
		}
		require.Contains(t, w.view().Chain, down.disk.Self, "seed %d: it went once another had its place", seed)
		requireGoesOn(t, w, 2*time.Second, "seed %d", seed)
	}
}

func TestTheLeaverDiesBetweenItsLastPromiseAndItsExit(t *testing.T) {
	for seed := range uint64(100) {
		w := founded(t, seed, 3)
		w.join("m9", "")
		w.runUntil(w.now + 4500*time.Millisecond)
		w.slowest = 20 * time.Millisecond
		old := w.nodes[seed%3]
		w.leave(old, 6*time.Second, func() {})
		for old.up && !old.machine.sealed() {
			w.runUntil(w.now + time.Millisecond)
		}
		w.discard(old)
		requireGoesOn(t, w, 4*time.Second, "seed %d", seed)
		w.runUntil(w.now + w.catchUp)
		require.True(t, w.survivesNextLoss(1), "seed %d: %v", seed, w.view())
	}
}

func TestTwoReplacementsAtOnceAndARack(t *testing.T) {
	for seed := range uint64(30) {
		w := newWorld(seed, 3)
		w.tolerated = 2
		for i := range 3 {
			w.nodes = append(w.nodes, &node{address: fmt.Sprintf("n%d", i)})
		}
		for i, n := range w.nodes {
			n.domain = fmt.Sprintf("zone-%d", i%3)
			w.after(time.Duration(w.rand.IntN(300))*time.Millisecond, func() { w.start(n) })
		}
		w.runUntil(4 * time.Second)
		w.submitUntilTaken(t, 0, 1)
		zone := int(seed) % 3
		first, second := w.nodes[zone], w.nodes[zone+3]
		w.discard(first) // a rack: both machines of a zone
		w.discard(second)
		requireGoesOn(t, w, 2*time.Second, "seed %d", seed)
		w.join("r0", first.domain)
		w.join("r1", second.domain)
		w.runUntil(w.now + 6*time.Second)
		require.True(t, w.survivesNextLoss(2), "seed %d: %v", seed, w.view())
		w.wipe(w.nodes[0])
		w.wipe(w.nodes[1])
		requireGoesOn(t, w, 2*time.Second, "seed %d", seed)
	}
}

func TestAVoterIsTakenFromEachZoneWhereZonesMayBeLost(t *testing.T) {
	for seed := range uint64(30) {
		w := newWorld(seed, 3)
		for i := range 3 {
			w.nodes = append(w.nodes, &node{address: fmt.Sprintf("n%d", i)})
		}
		for i, n := range w.nodes {
			n.domain = fmt.Sprintf("zone-%d", i/2)
			w.after(time.Duration(w.rand.IntN(300))*time.Millisecond, func() { w.start(n) })
		}
		w.runUntil(4 * time.Second)
		domains := map[string]bool{}
		for _, voter := range w.view().Voters {
			domains[voter.Domain] = true
		}
		require.Len(t, domains, 3, "seed %d: %v", seed, w.view())
		w.submitUntilTaken(t, 0, 1)
		zone := int(seed) % 3
		w.crash(w.nodes[2*zone])
		w.crash(w.nodes[2*zone+1])
		requireGoesOn(t, w, 2*time.Second, "seed %d", seed)
	}
}
