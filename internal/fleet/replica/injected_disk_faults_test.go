package replica

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// diskInjections are faults of disks and of data processes that the histories with torn writes must detect, each
// with the first history that is known to detect it.
var diskInjections = map[string]injection{
	"a disk does not sync files":                                {injectedFaults{ignoredSyncs: IgnoredSyncs{Files: true}}, 0},
	"a disk does not sync directories":                          {injectedFaults{ignoredSyncs: IgnoredSyncs{Directories: true}}, 0},
	"a failed write is treated as successful":                   {injectedFaults{failedWritesIgnored: true}, 0},
	"a member confirms its configuration without a majority":    {injectedFaults{pollUnconfirmed: true}, 0},
	"a member serves an order before it is committed":           {injectedFaults{pollBeforeCommit: true}, 0},
	"the lease of a data process starts with the reply":         {injectedFaults{leaseFromReply: true}, 0},
	"a data process discards its configuration with each reply": {injectedFaults{configForgotten: true}, 0},
}

// Each of these faults breaks one assumption. Some history must detect it, and must be free of violations without
// it.
func TestInjectedDiskAndDataProcessFaultsAreDetected(t *testing.T) {
	for name, injected := range diskInjections {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := injected.firstSeed; seed < injected.firstSeed+maxHistoriesUntilDetected; seed++ {
				shape := shapes[seed%uint64(len(shapes))]
				sim := runTornWrites(t, seed, shape, injected.faults)
				if len(sim.violations) > 0 {
					require.Empty(t, runTornWrites(t, seed, shape, injectedFaults{}).violations, "the history must have no violations without the fault")
					t.Logf("detected by history %d: %s", seed+1, sim.violations[0])
					return
				}
			}
			require.Fail(t, "not detected")
		})
	}
}
