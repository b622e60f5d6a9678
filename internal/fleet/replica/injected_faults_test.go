package replica

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// maxHistoriesUntilDetected limits the number of random histories that are run until one detects an injected fault.
const maxHistoriesUntilDetected = 4000

// injection is an injected fault and the first history that is known to detect it. The search begins with that
// history, or with history 0 in a long run.
type injection struct {
	faults    injectedFaults
	firstSeed uint64
}

var injections = map[string]injection{
	"entries forwarded without being stored":                     {injectedFaults{entriesNotStored: true}, 0},
	"promises not stored":                                        {injectedFaults{promisesNotStored: true}, 0},
	"a wiped member keeps its incarnation":                       {injectedFaults{wipedKeepsIdentity: true}, 0},
	"a restart loses which orders were committed":                {injectedFaults{digestsDropped: true}, 0},
	"reads without confirmation of the view":                     {injectedFaults{readsUnconfirmed: true}, 0},
	"rejections without confirmation of the view":                {injectedFaults{rejectionUnconfirmed: true}, 189},
	"a rejection confirmed by a later view":                      {injectedFaults{rejectionOfEarlierEpoch: true}, 948},
	"a lease that starts at the time of the check":               {injectedFaults{leaseUnconfirmed: true}, 0},
	"a view begins with the log of a voter outside the chain":    {injectedFaults{outsiderClaimsBase: true}, 0},
	"one promise counted for two voters":                         {injectedFaults{promiseCountedTwice: true}, 121},
	"one acceptance counted for two voters":                      {injectedFaults{acceptCountedTwice: true}, 98},
	"an order acknowledged before the whole chain has it":        {injectedFaults{committedEarly: true}, 0},
	"a restart loses the last entry":                             {injectedFaults{lastEntryLost: true}, 0},
	"a restart loses the latest view":                            {injectedFaults{lastViewLost: true}, 0},
	"a leaving member does not wait until it is released":        {injectedFaults{leavesUnreleased: true}, 45},
	"a member of the chain stores another order than the head's": {injectedFaults{orderAltered: true}, 0},
}

// Each fault breaks one assumption of the protocols. Some history must detect it, and must be free of violations
// without it. A fault that no history detects would reveal a gap in the checks.
func TestInjectedFaultsAreDetected(t *testing.T) {
	for name, injected := range injections {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first := injected.firstSeed
			if os.Getenv(historiesVariable) != "" {
				first = 0
			}
			for seed := first; seed < first+maxHistoriesUntilDetected; seed++ {
				shape := shapes[seed%uint64(len(shapes))]
				sim := runRandomFaults(seed, shape, injected.faults)
				if len(sim.violations) > 0 {
					require.Empty(t, runRandomFaults(seed, shape, injectedFaults{}).violations, "the history must have no violations without the fault")
					t.Logf("detected by history %d: %s", seed+1, sim.violations[0])
					return
				}
			}
			require.Fail(t, "not detected")
		})
	}
}
