package replica

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// diskInjections are faults of disks and of data processes, which the histories with torn writes must detect, each with the first history
// that is known to.
var diskInjections = map[string]injection{
	"a disk does not sync files":                                   {injectedFaults{diskLies: DiskLies{Files: true}}, 0},
	"a disk does not sync the names of files":                      {injectedFaults{diskLies: DiskLies{Directories: true}}, 0},
	"a failed write is taken for a good one":                       {injectedFaults{failedWritesIgnored: true}, 0},
	"a member confirms its configuration without a majority":       {injectedFaults{pollUnconfirmed: true}, 0},
	"a member hands out an order before it is committed":           {injectedFaults{pollBeforeCommit: true}, 0},
	"a data process counts its lease from the reply":               {injectedFaults{leaseFromReply: true}, 0},
	"a data process forgets its configuration with each new reply": {injectedFaults{configForgotten: true}, 0},
}

// Each of these faults breaks one assumption; some history must detect it, and be free of violations without the fault.
func TestInjectedDiskAndDataProcessFaultsAreDetected(t *testing.T) {
	for name, one := range diskInjections {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := one.firstSeed; seed < one.firstSeed+maxHistoriesUntilDetected; seed++ {
				shape := shapes[seed%uint64(len(shapes))]
				sim := runTornWrites(t, seed, shape, one.faults)
				if len(sim.violations) > 0 {
					require.Empty(t, runTornWrites(t, seed, shape, injectedFaults{}).violations, "it is the fault that is detected")
					t.Logf("detected by history %d: %s", seed+1, sim.violations[0])
					return
				}
			}
			require.Fail(t, "not detected")
		})
	}
}
