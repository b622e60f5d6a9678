package replica

import (
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Maximum numbers of disk operations until a scheduled crash.
const (
	maxOperationsToTear    = 4
	maxOperationsToCompact = 24
)

// powerFailureDelay is how long all processes continue to write before all machines lose power.
const powerFailureDelay = 30 * time.Millisecond

// runTornWrites runs a random history of members whose disks are files of package storage. In addition to all
// other faults, processes crash in the middle of writes and compactions, with and without a power failure of their
// machines, and disks become full.
func runTornWrites(t testing.TB, seed uint64, shape fleetShape, faults injectedFaults) *randomFaults {
	t.Helper()
	sim := &randomFaults{simulation: newSimulation(seed, 3), shape: shape, withFiles: true, faultCounts: map[string]int{}}
	sim.faults = faults
	directory, err := os.MkdirTemp(fastDirectory(), "torn-writes")
	require.NoError(t, err)
	disks := 0
	sim.newDisk = func(seed uint64) FileDisk {
		disks++
		return NewFileDisk(filepath.Join(directory, strconv.Itoa(disks)), seed)
	}
	sim.runAndCheck(seed)
	for _, n := range sim.nodes {
		sim.crash(n)
	}
	require.NoError(t, os.RemoveAll(directory))
	return sim
}

// fastDirectory returns a directory in memory if there is one. Real durability is not needed, because package
// disktest simulates it.
func fastDirectory() string {
	const inMemory = "/dev/shm"
	if info, err := os.Stat(inMemory); err == nil && info.IsDir() {
		return inMemory
	}
	return os.TempDir()
}

// fileFaults returns the kinds of faults that affect disks of files.
func (sim *randomFaults) fileFaults(n *node, duration time.Duration) []faultKind {
	return []faultKind{
		{"torn write", 1, 0, func() { sim.crashInWrite(n, duration) }},
		{"torn compaction", 1, 0, func() { sim.crashInCompaction(n, duration) }},
		{"full disk", 1, 0, func() { sim.fillDiskFor(n, duration) }},
		{"all lose power while they write", sim.shape.members, 0, func() { sim.powerCycleInWrites(duration / 4) }},
	}
}

// crashInWrite makes a process crash in one of its next writes, with a power failure of its machine half of the
// time.
func (sim *randomFaults) crashInWrite(n *node, duration time.Duration) {
	if !n.up || n.crashPending {
		return
	}
	sim.scheduleCrash(n, 1+sim.rand.IntN(maxOperationsToTear), func() { sim.restartTorn(n, duration) })
}

func (sim *randomFaults) restartTorn(n *node, duration time.Duration) {
	if sim.rand.IntN(2) == 0 {
		n.files.LosePower()
	}
	sim.startAfter(n, duration)
}

// crashInCompaction makes a process compact its disk and crash during the compaction.
func (sim *randomFaults) crashInCompaction(n *node, duration time.Duration) {
	if !n.up || n.frozen || n.crashPending {
		return
	}
	sim.scheduleCrash(n, 1+sim.rand.IntN(maxOperationsToCompact), func() { sim.restartTorn(n, duration) })
	_ = n.files.Recover()
	if n.files.Crashed() {
		sim.crashAtWrite(n)
	}
}

func (sim *randomFaults) fillDiskFor(n *node, duration time.Duration) {
	if n.files == nil {
		return // the member has not started yet
	}
	n.files.SetFull(true)
	n.diskFull = true
	sim.schedule(duration, func() {
		n.files.SetFull(false)
		n.diskFull, n.upSince = false, sim.now
	})
}

// powerCycleInWrites makes all processes crash at their next writes, and then all machines lose power.
func (sim *randomFaults) powerCycleInWrites(duration time.Duration) {
	for _, n := range sim.nodes {
		if n.up && !n.crashPending {
			sim.scheduleCrash(n, 1+sim.rand.IntN(maxOperationsToTear), nil)
		}
	}
	sim.schedule(powerFailureDelay, func() { sim.powerCycle(duration) })
}

func TestTornWritesPreserveInvariants(t *testing.T) {
	counts := map[string]int{}
	acknowledged, uses, inconclusive := 0, 0, 0
	count := histories() / 2
	for seed := firstHistory(); seed < firstHistory()+count; seed++ {
		shape := shapes[seed%uint64(len(shapes))]
		sim := runTornWrites(t, seed, shape, injectedFaults{})
		require.Empty(t, sim.violationReport(), "seed %d, %+v", seed, shape)
		acknowledged += len(sim.ackLog)
		if sim.inconclusive {
			inconclusive++
		}
		for _, d := range sim.dataProcesses {
			uses += d.uses
		}
		for name, count := range sim.faultCounts {
			counts[name] += count
		}
	}
	t.Logf("%d histories, %d orders acknowledged, %d uses of a configuration, moves: %v", count, acknowledged, uses, counts)
	requireConclusive(t, inconclusive, int(count))
	require.Len(t, counts, 18, "every kind of fault must be injected")
	require.Greater(t, acknowledged, int(count)*10)
	require.Greater(t, uses, int(count)*100)
}
