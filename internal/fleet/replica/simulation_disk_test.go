package replica

import (
	"slices"
	"time"
)

// scheduledCrashTimeout is how long a process that should crash at a write waits for one; after that it crashes
// anyway.
const scheduledCrashTimeout = 300 * time.Millisecond

// restartInterval is the delay before a process that could not start is started again.
const restartInterval = 200 * time.Millisecond

// FileDisk is a member's disk with files of package storage. An external test file of this package provides it,
// because package storage imports this package.
type FileDisk interface {
	// Open restarts the process and returns the stored state.
	Open() (Stored, error)
	// Write stores records. After an error Recover must succeed before the next write.
	Write(records []Record) error
	// Recover makes the disk writable again after a failed write, by a compaction.
	Recover() error
	// CrashAfter makes the process crash at one of its next operations, 1 being the very next one.
	CrashAfter(operations int)
	// Crashed reports whether the process has crashed.
	Crashed() bool
	// SetFull makes the disk reject writes, or accept them again.
	SetFull(full bool)
	// LosePower loses a random part of what was not synced. The process must have ended.
	LosePower()
	// Wipe empties the disk.
	Wipe()
	// Close ends the process.
	Close()
	// IgnoreSyncs makes the disk report syncs as done without doing them.
	IgnoreSyncs(ignored IgnoredSyncs)
}

// IgnoredSyncs selects the syncs that a disk reports as done without doing them.
type IgnoredSyncs struct {
	Files       bool // syncs of file contents
	Directories bool // syncs of directories
}

// NewFileDisk returns a FileDisk on an empty directory. The seed determines what a power failure loses.
var NewFileDisk func(directory string, seed uint64) FileDisk

// openFiles reads the files of a member. A new member gets an identity, which is stored before the member starts.
func (sim *simulation) openFiles(n *node) bool {
	if n.files == nil {
		n.files = sim.newDisk(sim.rand.Uint64())
		n.files.IgnoreSyncs(sim.faults.ignoredSyncs)
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
	if err := n.files.Write([]Record{identity}); err != nil { // the disk is full: the process exits and is restarted
		n.files.Close()
		sim.schedule(restartInterval, func() { sim.start(n) })
		return false
	}
	return true
}

// writeFiles stores records in the files of a member. It reports whether the process continues and its messages
// may be sent.
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

// recoverFiles tries to make the disk of a member writable again after a failure.
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

// crashAtWrite crashes a process at a scheduled crash of its disk.
func (sim *simulation) crashAtWrite(n *node) {
	sim.crash(n)
	n.crashPending = false
	if n.onCrash != nil {
		n.onCrash()
		n.onCrash = nil
	}
}

// scheduleCrash makes the process of a member crash at one of its next disk operations, or after
// scheduledCrashTimeout at the latest.
func (sim *simulation) scheduleCrash(n *node, operations int, onCrash func()) {
	starts := n.starts
	n.crashPending, n.onCrash = true, onCrash
	n.files.CrashAfter(operations)
	sim.schedule(scheduledCrashTimeout, func() {
		if n.crashPending && n.starts == starts {
			sim.crashAtWrite(n)
		}
	})
}
