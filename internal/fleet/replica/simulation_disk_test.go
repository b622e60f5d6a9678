package replica

import (
	"slices"
	"time"
)

// doomTimeout is how long a process that is to crash at a write waits for one.
const doomTimeout = 300 * time.Millisecond

// restartInterval is after how long a process that could not start is started again.
const restartInterval = 200 * time.Millisecond

// FileDisk is a member's disk with the files of package storage on it. That package's tests of this one provide it, as it depends on
// this one.
type FileDisk interface {
	// Open starts another life of the process on what is there.
	Open() (Stored, error)
	// Write stores records. After an error Recover must succeed before the next one.
	Write(records []Record) error
	// Recover makes the disk writable again after a failed write, by a compaction.
	Recover() error
	// CrashAfter has the process crash at one of its next operations, 1 for the very next.
	CrashAfter(operations int)
	// Crashed reports whether it has.
	Crashed() bool
	// SetFull has the disk refuse writes, or take them again.
	SetFull(full bool)
	// LosePower loses any part of what was not synced. The process must have ended.
	LosePower()
	// Wipe empties the disk.
	Wipe()
	// Close ends the life of the process.
	Close()
	// Lie has the disk report syncs that it does not do.
	Lie(lies DiskLies)
}

// DiskLies are the syncs that a disk reports without doing them.
type DiskLies struct {
	Files       bool // of files
	Directories bool // of their names
}

// NewFileDisk returns a FileDisk over an empty directory below a temporary one; what it loses is drawn from a seed.
var NewFileDisk func(directory string, seed uint64) FileDisk

// openFiles reads a member's files, and gives a new member its identity, which is stored before it takes part.
func (sim *simulation) openFiles(n *node) bool {
	if n.files == nil {
		n.files = sim.newDisk(sim.rand.Uint64())
		n.files.Lie(sim.faults.diskLies)
	}
	stored, err := n.files.Open()
	if err != nil {
		sim.reportViolation("%s cannot open its disk: %v", n.address, err)
		return false
	}
	if stored.Self.Address != "" {
		n.disk = stored
		return true
	}
	n.disk = sim.newIdentity(n)
	identity := SaveIdentity{Self: n.disk.Self, Founder: n.disk.Founder, Founders: n.disk.Founders}
	if err := n.files.Write([]Record{identity}); err != nil { // the disk is full: the process ends, and is started again
		n.files.Close()
		sim.schedule(restartInterval, func() { sim.start(n) })
		return false
	}
	return true
}

// writeFiles stores records in a member's files, and reports whether its process goes on and what it did is to be sent.
func (sim *simulation) writeFiles(n *node, before Checkpoint, records []Record) bool {
	if len(records) == 0 {
		return true
	}
	if !n.machine.Healthy() {
		n.machine.Rollback(before)
		return false
	}
	stored := slices.DeleteFunc(slices.Clone(records), sim.faults.dropRecord)
	err := n.files.Write(stored)
	if n.files.Crashed() {
		sim.crashAtWrite(n)
		return false
	}
	if err != nil && !sim.faults.failedWritesIgnored {
		n.machine.Rollback(before)
		return false
	}
	return true
}

// recoverFiles tries to write to a member's disk again after a failure.
func (sim *simulation) recoverFiles(n *node) {
	err := n.files.Recover()
	if n.files.Crashed() {
		sim.crashAtWrite(n)
		return
	}
	if err == nil {
		n.machine.SetHealthy()
	}
}

// crashAtWrite crashes a process whose disk has ended its life.
func (sim *simulation) crashAtWrite(n *node) {
	sim.crash(n)
	n.doomed = false
	if n.onCrash != nil {
		n.onCrash()
		n.onCrash = nil
	}
}

// doom has a member's process crash at one of its next operations on the disk, or after that time at the latest.
func (sim *simulation) doom(n *node, operations int, onCrash func()) {
	starts := n.starts
	n.doomed, n.onCrash = true, onCrash
	n.files.CrashAfter(operations)
	sim.schedule(doomTimeout, func() {
		if n.doomed && n.starts == starts {
			sim.crashAtWrite(n)
		}
	})
}
