package replica

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// mostUntilCaught bounds the histories that are drawn until one notices a planted fault.
const mostUntilCaught = 4000

// plant is a planted fault, with the first history that is known to notice it: the search begins there, or at the first one of
// all in a long run.
type plant struct {
	fault planted
	from  uint64
}

var plants = map[string]plant{
	"orders handed on before they are stored":                    {planted{entriesNotStored: true}, 0},
	"promises not stored":                                        {planted{promisesNotStored: true}, 1099},
	"a wiped member goes on under its name":                      {planted{wipedKeepsName: true}, 0},
	"a restart forgets which orders were taken":                  {planted{digestsDropped: true}, 0},
	"a read without confirming the view":                         {planted{readsUnconfirmed: true}, 0},
	"a refusal without confirming the view":                      {planted{refusalUnconfirmed: true}, 1048},
	"a refusal confirmed by a later view":                        {planted{refusalOfBefore: true}, 415},
	"a lease counted from now":                                   {planted{leaseUnconfirmed: true}, 0},
	"a view begins with the copy of a voter outside the chain":   {planted{outsiderHolds: true}, 0},
	"one promise counted for two voters":                         {planted{promiseTwice: true}, 721},
	"one acceptance counted for two voters":                      {planted{acceptTwice: true}, 280},
	"an order acknowledged before the whole chain has it":        {planted{committedEarly: true}, 0},
	"a restart loses the newest order":                           {planted{newestForgotten: true}, 0},
	"a restart goes back to the view before":                     {planted{oldView: true}, 0},
	"a member that leaves does not wait until it is released":    {planted{leavesAtOnce: true}, 44},
	"a member of the chain stores another order than the head's": {planted{anotherOrder: true}, 0},
}

// Each fault breaks one thing on which a promise rests; some history notices it, and is sound without the fault. One that none
// noticed would be a hole in the model.
func TestPlantedFaultsAreCaught(t *testing.T) {
	for name, one := range plants {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first := one.from
			if os.Getenv(historiesVariable) != "" {
				first = 0
			}
			for seed := first; seed < first+mostUntilCaught; seed++ {
				shape := shapes[seed%uint64(len(shapes))]
				w := playWorstDays(seed, shape, one.fault)
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
