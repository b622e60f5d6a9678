package replica

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// mostUntilCaught bounds the histories that are drawn until one notices a planted fault.
const mostUntilCaught = 4000

// Each fault breaks one thing on which a promise rests; some history notices it. One that none noticed would be a hole in the
// model.
func TestPlantedFaultsAreCaught(t *testing.T) {
	for name, fault := range map[string]planted{
		"orders handed on before they are stored":                    {entriesNotStored: true},
		"promises not stored":                                        {promisesNotStored: true},
		"a wiped member goes on under its name":                      {wipedKeepsName: true},
		"a restart forgets which orders were taken":                  {digestsDropped: true},
		"a read without confirming the view":                         {readsUnconfirmed: true},
		"a refusal without confirming the view":                      {refusalUnconfirmed: true},
		"a refusal confirmed by a later view":                        {refusalOfBefore: true},
		"a lease counted from now":                                   {leaseUnconfirmed: true},
		"a heartbeat confirms from when its answer came":             {stampAtReceipt: true},
		"a voter outside the chain leads with its copy":              {outsiderHolds: true},
		"one promise counted for two voters":                         {promiseTwice: true},
		"one acceptance counted for two voters":                      {acceptTwice: true},
		"an order acknowledged before the whole chain has it":        {committedEarly: true},
		"a restart loses the newest order":                           {newestForgotten: true},
		"a restart goes back to the view before":                     {oldView: true},
		"a member that leaves does not wait until it is released":    {leavesAtOnce: true},
		"a member of the chain stores another order than the head's": {anotherOrder: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(mostUntilCaught) {
				shape := shapes[seed%uint64(len(shapes))]
				w := playWorstDays(seed, shape, fault)
				if len(w.broken) > 0 {
					require.Empty(t, playWorstDays(seed, shape, planted{}).broken, "it is the fault that is noticed")
					t.Logf("caught by history %d: %s", seed+1, w.broken[0])
					return
				}
			}
			require.Fail(t, "not caught")
		})
	}
}
