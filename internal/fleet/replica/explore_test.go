package replica

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// historiesVariable names the environment variable that sets how many histories are drawn.
const historiesVariable = "LINENWHEEL_HISTORIES"

func histories() uint64 {
	if count, err := strconv.ParseUint(os.Getenv(historiesVariable), 10, 64); err == nil {
		return count
	}
	if raceDetector {
		return 20
	}
	return 100
}

// play draws a history: orders of two operators, lost answers, reads, and troubles of which at most one loses a member at a
// time, with the time to catch up in between; now and then all lose power. At its end all is well again, and what was
// acknowledged must be there.
func play(seed uint64, planted planted) *world {
	w := newWorld(seed, 3)
	w.planted = planted
	w.runUntil(2 * time.Second)
	w.after(0, func() { w.operate(1) })
	w.after(0, func() { w.operate(2) })
	w.after(500*time.Millisecond, w.trouble)
	w.runUntil(25 * time.Second)
	w.settle()
	return w
}

// operate sends orders on the newest version that this operator has seen, each some times.
func (w *world) operate(name int) {
	if w.now > w.until {
		return
	}
	base := w.newest()
	order := w.order(base, base+1+int64(w.rand.IntN(3)), fmt.Sprintf("operator %d at %v", name, w.now))
	for i := range 1 + w.rand.IntN(4) {
		w.after(time.Duration(i*(20+w.rand.IntN(700)))*time.Millisecond, func() { w.submit(order) })
	}
	if w.rand.IntN(6) == 0 { // an old one once more
		old := order
		w.after(time.Duration(w.rand.IntN(9))*time.Second, func() { w.submit(old) })
	}
	w.after(time.Duration(w.rand.IntN(300))*time.Millisecond, func() { w.read(func(int64) {}) })
	w.after(time.Duration(100+w.rand.IntN(900))*time.Millisecond, func() { w.operate(name) })
}

// trouble strikes one member, or all, and the next one when that has been mended for long enough.
func (w *world) trouble() {
	if w.now > 20*time.Second {
		return
	}
	n := w.nodes[w.rand.IntN(len(w.nodes))]
	lasts := time.Duration(200+w.rand.IntN(3000)) * time.Millisecond
	switch w.rand.IntN(8) {
	case 0:
		w.crash(n)
		w.after(lasts, func() { w.start(n) })
	case 1:
		w.wipe(n)
		w.after(lasts, func() { w.start(n) })
	case 2:
		w.freeze(n)
		w.after(lasts, func() { w.thaw(n) })
	case 3:
		for _, other := range w.nodes {
			if other != n {
				w.cut(n, other, w.rand.IntN(2) == 0)
			}
		}
		w.after(lasts, w.heal)
	case 4:
		other := w.nodes[(w.rand.IntN(len(w.nodes)-1)+1)%len(w.nodes)]
		w.cut(n, other, w.rand.IntN(2) == 0)
		w.after(lasts, w.heal)
	case 5:
		n.badDisk = true
		w.after(lasts, func() { n.badDisk = false })
	case 6:
		w.replace(n, lasts)
	case 7:
		for _, one := range w.nodes {
			w.crash(one)
			w.after(time.Duration(w.rand.IntN(500))*time.Millisecond, func() { w.start(one) })
		}
		if w.rand.IntN(2) == 0 {
			w.wipe(n)
		}
	}
	w.after(lasts+4*time.Second, w.trouble)
}

// replace takes a machine away for good and brings an empty one at another address.
func (w *world) replace(n *node, after time.Duration) {
	w.crash(n)
	for i := range w.nodes {
		if w.nodes[i] == n {
			successor := &node{address: fmt.Sprintf("r%d", w.lastSeq)}
			w.nodes[i] = successor
			w.after(after, func() { w.start(successor) })
		}
	}
}

// settle mends everything and checks that what was acknowledged is there and that orders are taken.
func (w *world) settle() {
	w.heal()
	for _, n := range w.nodes {
		n.badDisk = false
		if n.frozen {
			w.thaw(n)
		}
		w.start(n)
	}
	w.runUntil(w.now + 6*time.Second)
	newest, read := w.newest(), int64(-1)
	for range 30 {
		w.read(func(revision int64) { read = revision })
		w.runUntil(w.now + 100*time.Millisecond)
	}
	if read < newest {
		w.fail("at the end %d is read, %d was acknowledged", read, newest)
		return
	}
	order := w.order(read, read+1, "last")
	for range 30 {
		w.submit(order)
		w.runUntil(w.now + 100*time.Millisecond)
	}
	if _, taken := w.acked[order.Digest()]; !taken {
		w.fail("at the end no order is taken; the view is %v", w.view())
	}
}

// playGrown draws a history of six members of whom two may be lost at once.
func playGrown(seed uint64) *world {
	w := newWorld(seed, 3)
	w.tolerated = 2
	for i := range 3 {
		n := &node{address: fmt.Sprintf("n%d", i)}
		w.nodes = append(w.nodes, n)
		w.after(time.Duration(w.rand.IntN(300))*time.Millisecond, func() { w.start(n) })
	}
	w.runUntil(3 * time.Second)
	w.after(0, func() { w.operate(1) })
	w.after(0, func() { w.operate(2) })
	w.after(300*time.Millisecond, w.trouble)
	w.after(500*time.Millisecond, w.trouble)
	w.runUntil(25 * time.Second)
	w.settle()
	return w
}

func TestHistoriesOfSixMembersKeepEveryPromise(t *testing.T) {
	for seed := range histories() / 4 {
		w := playGrown(seed)
		require.Empty(t, w.problems(), "seed %d", seed)
	}
}

func TestHistoriesKeepEveryPromise(t *testing.T) {
	acknowledged := 0
	for seed := range histories() {
		w := play(seed, planted{})
		require.Empty(t, w.problems(), "seed %d", seed)
		acknowledged += len(w.ackedAt)
	}
	require.Greater(t, acknowledged, int(histories())*10, "the histories take orders")
}

// playFounding draws a founding during which messages are slow and founders are restarted again and again.
func playFounding(seed uint64, planted planted) *world {
	w := newWorld(seed, 3)
	w.planted, w.slowest = planted, 150*time.Millisecond
	for range 4 + w.rand.IntN(8) {
		n := w.nodes[w.rand.IntN(len(w.nodes))]
		w.after(time.Duration(w.rand.IntN(3000))*time.Millisecond, func() {
			w.crash(n)
			w.after(time.Duration(w.rand.IntN(200))*time.Millisecond, func() { w.start(n) })
		})
	}
	w.runUntil(12 * time.Second)
	return w
}

func TestFoundingHistoriesAgreeOnOneView(t *testing.T) {
	for seed := range 3 * histories() {
		w := playFounding(seed, planted{})
		require.Empty(t, w.problems(), "seed %d", seed)
		require.NotZero(t, w.view().Epoch, "seed %d", seed)
	}
}

// playSplitVote cuts two members from each other, so that each wants a view with the third alone, and restarts the third,
// cut off from the one that has had its vote, as soon as one of the two views is agreed.
func playSplitVote(seed uint64, planted planted) *world {
	w := newWorld(seed, 3)
	w.planted = planted
	w.runUntil(2 * time.Second)
	first, second, third := w.nodes[seed%3], w.nodes[(seed+1)%3], w.nodes[(seed+2)%3]
	w.cut(first, second, true)
	for w.view().Epoch < 2 && w.now < 10*time.Second {
		w.runUntil(w.now + 50*time.Microsecond)
	}
	winner := first
	if second.machine.View().Epoch == 2 {
		winner = second
	}
	w.crash(third)
	w.cut(winner, third, true)
	w.start(third)
	w.runUntil(w.now + 4*time.Second)
	w.heal()
	w.runUntil(w.now + 4*time.Second)
	return w
}

func TestASplitVoteEndsInOneView(t *testing.T) {
	for seed := range histories() {
		w := playSplitVote(seed, planted{})
		require.Empty(t, w.problems(), "seed %d", seed)
		require.Len(t, w.view().Chain, 3, "seed %d", seed)
	}
}

func TestForgottenPromisesAreCaught(t *testing.T) {
	for seed := range uint64(500) {
		if w := playSplitVote(seed, planted{promisesNotStored: true}); len(w.broken) > 0 {
			t.Logf("caught by seed %d: %s", seed, w.broken[0])
			return
		}
	}
	require.Fail(t, "not caught")
}
