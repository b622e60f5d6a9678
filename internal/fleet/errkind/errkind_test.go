package errkind

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The number of a kind is sent between control processes of different versions, so it must never change.
func TestKindNumbersAreUnchanged(t *testing.T) {
	kinds := map[Kind]uint8{
		Internal:                 0,
		InvalidConfig:            1,
		VersionConflict:          2,
		OutcomeUnknown:           3,
		BadRequest:               4,
		TooLarge:                 5,
		NoRoute:                  6,
		UnknownKey:               7,
		OverQuota:                8,
		NotConfigured:            9,
		StaleConfig:              10,
		NoBackend:                11,
		Saturated:                12,
		Rejected:                 13,
		BackendLost:              14,
		MalformedResponse:        15,
		DeadlineExceeded:         16,
		DeadlineExceededInFlight: 17,
		ShuttingDown:             18,
		OutOfMemory:              19,
	}
	require.Len(t, kinds, int(kindCount), "each kind is listed, with a number of its own")
	for kind, number := range kinds {
		require.EqualValues(t, number, kind, kind.String())
		require.NotZero(t, kind.Response().Status, kind.String())
	}
	require.Equal(t, Internal.Response(), kindCount.Response(), "an unknown kind, as a later version may send")
}
