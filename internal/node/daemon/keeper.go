package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"

	"linenwheel.dev/linenwheel/internal/node/statedir"
	"linenwheel.dev/linenwheel/node"
)

// keeper keeps what the node knows. A nil one keeps nothing.
type keeper struct {
	d     *daemon
	store *statedir.Store
	known *node.Knowledge // what the last process kept, nil if that is of no use

	mu   sync.Mutex
	mine bool // this process is the one to write
}

// newKeeper takes the state's directory, and tells how the last process ended. A directory that cannot be used is named
// in the log, and nothing is kept.
func newKeeper(d *daemon) *keeper {
	dir := d.set.Options.State.Directory
	s, last, err := statedir.Open(dir, d.set.Config.Name)
	if s == nil {
		d.log.Error("nothing is kept for the next start", "error", err)
		return nil
	}
	k := &keeper{d: d, store: s, mine: true}
	if err != nil {
		d.log.Warn("what was kept is not used", "error", err)
	}
	if last == nil {
		return k
	}
	age := d.clock.Now() - last.Saved
	word := fmt.Sprintf("%s, %.0f s after its last word, with %d calls open then", last.End, age/1000, last.Open)
	if last.End == statedir.Clean || last.End == statedir.HandedOver {
		word = string(last.End)
	}
	d.mu.Lock()
	d.last = word
	d.mu.Unlock()
	d.log.Info("how the last process ended", "end", string(last.End), "pid", last.PID, "age_ms", age, "open", last.Open,
		"crash", last.Crash)
	switch {
	case age > d.set.Options.State.UseFor.Ms:
		d.log.Info("what was kept is too old to be used", "age_ms", age)
	case last.End != statedir.HandedOver: // else it was handed over by word of mouth
		k.known = d.knowledge(last.Knowledge)
	}
	return k
}

// run writes snapshots until ctx ends: one at once, by which a kill is told from the end before, and the others at a phase
// of this process's own.
func (k *keeper) run(ctx context.Context) {
	k.save(statedir.Unknown, 0)
	every := k.d.set.Options.State.Every.Ms
	for next := k.d.clock.Now() + rand.Float64()*every; ; next = max(next+every, k.d.clock.Now()) {
		over := make(chan struct{})
		stop := k.d.clock.At(next, func() { close(over) })
		select {
		case <-over:
			k.save(statedir.Unknown, k.d.node.Status().Open)
		case <-ctx.Done():
			stop()
			return
		}
	}
}

// save writes a snapshot, with the end that it tells of.
func (k *keeper) save(end statedir.End, open int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.write(end, open)
}

// write is save under the lock.
func (k *keeper) write(end statedir.End, open int) {
	if !k.mine {
		return
	}
	if !k.store.Held() {
		if err := k.store.Acquire(); err != nil {
			k.d.log.Warn("the state is not written", "error", err)
			return
		}
	}
	s := k.d.node.Status()
	state := statedir.State{Node: s.Name, PID: os.Getpid(), Release: k.d.set.Release, Started: s.Since, Saved: s.Now, End: end,
		Open: open}
	var err error
	if state.Counts, err = json.Marshal(s.Endings); err == nil {
		state.Knowledge, err = json.Marshal(k.d.node.Knowledge())
	}
	if err == nil {
		err = k.store.Write(state)
	}
	if err != nil {
		k.d.log.Warn("the state is not written", "error", err)
	}
}

// last writes the end of this process.
func (k *keeper) last(unanswered int) {
	if k == nil {
		return
	}
	end := statedir.Clean
	if unanswered > 0 {
		end = statedir.Unanswered
	}
	k.letGo(end, unanswered)
}

// letGo writes the last snapshot of this process: none comes after it.
func (k *keeper) letGo(end statedir.End, open int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.write(end, open)
	k.mine = false
	k.store.Release()
}

// release lets another process keep the state from here on.
func (k *keeper) release() {
	if k == nil {
		return
	}
	k.letGo(statedir.HandedOver, k.d.node.Status().Open)
}

// regain keeps the state here again.
func (k *keeper) regain() {
	if k == nil {
		return
	}
	k.mu.Lock()
	k.mine = true
	k.mu.Unlock()
	k.save(statedir.Unknown, k.d.node.Status().Open)
}
