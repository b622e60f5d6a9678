package quota

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a message by which a limit is lost: a NaN in a balance is never too low.
func TestNumbersOfMessagesAreBounded(t *testing.T) {
	require.NoError(t, (&AcquireRequest{Rate: 5, Burst: 5, Need: 1, Ahead: 0.5}).Validate())
	require.NoError(t, (&AcquireReply{Granted: 3}).Validate())
	require.NoError(t, (&BucketState{Level: -3, Rate: 5, Burst: 5}).Validate())
	for _, units := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), 1e300} {
		for name, message := range map[string]interface{ Validate() error }{
			"Rate": &AcquireRequest{Rate: units}, "Burst": &AcquireRequest{Burst: units}, "Need": &AcquireRequest{Need: units},
			"Ahead": &AcquireRequest{Ahead: units}, "Returned": &AcquireRequest{Returned: units},
			"Granted": &AcquireReply{Granted: units}, "Level": &BucketState{Level: units},
		} {
			require.ErrorContains(t, message.Validate(), name)
		}
		require.ErrorContains(t, (&BucketState{Rate: units}).Validate(), "Rate")
		require.ErrorContains(t, (&BucketState{Burst: units}).Validate(), "Burst")
	}
	require.Error(t, (&AcquireRequest{Need: -1}).Validate())
	require.Error(t, (&AcquireReply{Granted: -1}).Validate())
}
