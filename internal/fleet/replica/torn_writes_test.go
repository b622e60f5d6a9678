package replica

import (
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The longest way, in operations on the disk, to the moments at which a process crashes.
const (
	maxOperationsToTear    = 4
	maxOperationsToCompact = 24
)

// powerFailureDelay is how long all processes go on writing before all machines lose power.
const powerFailureDelay = 30 * time.Millisecond

// runTornWrites plays a random history of members whose disks are files of package storage: beside all other faults, processes crash in the
// middle of writes and compactions, with and without the power of their machines, and disks are full.
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
	sim.play(seed)
	for _, n := range sim.nodes {
		sim.crash(n)
	}
	require.NoError(t, os.RemoveAll(directory))
	return sim
}

// fastDirectory returns a directory in memory where there is one: what is durable is the business of package disktest.
func fastDirectory() string {
	const inMemory = "/dev/shm"
	if info, err := os.Stat(inMemory); err == nil && info.IsDir() {
		return inMemory
	}
	return os.TempDir()
}

// fileFaults returns the kinds of faults of disks that are files.
func (sim *randomFaults) fileFaults(n *node, duration time.Duration) []faultKind {
	return []faultKind{
		{"torn write", 1, 0, func() { sim.crashInWrite(n, duration) }},
		{"torn compaction", 1, 0, func() { sim.crashInCompaction(n, duration) }},
		{"full disk", 1, 0, func() { sim.fillDiskFor(n, duration) }},
		{"all lose power while they write", sim.shape.members, 0, func() { sim.powerCycleInWrites(duration / 4) }},
	}
}

// crashInWrite has a process crash in one of its next writes, every second time with the power of its machine.
func (sim *randomFaults) crashInWrite(n *node, duration time.Duration) {
	if !n.up || n.doomed {
		return
	}
	sim.doom(n, 1+sim.rand.IntN(maxOperationsToTear), func() { sim.restartTorn(n, duration) })
}

func (sim *randomFaults) restartTorn(n *node, duration time.Duration) {
	if sim.rand.IntN(2) == 0 {
		n.files.LosePower()
	}
	sim.startAfter(n, duration)
}

// crashInCompaction has a process compact its disk and crash on the way.
func (sim *randomFaults) crashInCompaction(n *node, duration time.Duration) {
	if !n.up || n.frozen || n.doomed {
		return
	}
	sim.doom(n, 1+sim.rand.IntN(maxOperationsToCompact), func() { sim.restartTorn(n, duration) })
	_ = n.files.Recover()
	if n.files.Crashed() {
		sim.crashAtWrite(n)
	}
}

func (sim *randomFaults) fillDiskFor(n *node, duration time.Duration) {
	if n.files == nil {
		return // it has not started yet
	}
	n.files.SetFull(true)
	n.diskFull = true
	sim.schedule(duration, func() {
		n.files.SetFull(false)
		n.diskFull, n.upSince = false, sim.now
	})
}

// powerCycleInWrites has all processes crash at their next writes, and then all machines lose power.
func (sim *randomFaults) powerCycleInWrites(duration time.Duration) {
	for _, n := range sim.nodes {
		if n.up && !n.doomed {
			sim.doom(n, 1+sim.rand.IntN(maxOperationsToTear), nil)
		}
	}
	sim.schedule(powerFailureDelay, func() { sim.powerCycle(duration) })
}

func TestTornWritesKeepEveryPromise(t *testing.T) {
	moves := map[string]int{}
	acknowledged, uses, unjudged := 0, 0, 0
	count := histories() / 2
	for seed := firstHistory(); seed < firstHistory()+count; seed++ {
		shape := shapes[seed%uint64(len(shapes))]
		sim := runTornWrites(t, seed, shape, injectedFaults{})
		require.Empty(t, sim.violationReport(), "seed %d, %+v", seed, shape)
		acknowledged += len(sim.ackLog)
		if sim.unjudged {
			unjudged++
		}
		for _, d := range sim.dataProcesses {
			uses += d.uses
		}
		for name, count := range sim.faultCounts {
			moves[name] += count
		}
	}
	t.Logf("%d histories, %d orders acknowledged, %d uses of a configuration, moves: %v", count, acknowledged, uses, moves)
	requireJudged(t, unjudged, int(count))
	require.Len(t, moves, 18, "every kind of fault was injected")
	require.Greater(t, acknowledged, int(count)*10)
	require.Greater(t, uses, int(count)*100)
}
