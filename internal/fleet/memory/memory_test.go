package memory

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// endless is a sender without an end.
type endless struct{}

func (endless) Read(into []byte) (int, error) { return len(into), nil }

func TestReadAllReturnsWhatIsSent(t *testing.T) {
	content := bytes.Repeat([]byte("0123456789"), 10_000)
	for _, size := range []int64{-1, 0, 7, int64(len(content)), int64(len(content)) + 100} {
		budget := NewBudget(1 << 20)
		reservation := budget.Reserve()
		read, err := ReadAll(iotest.HalfReader(bytes.NewReader(content)), reservation, size)
		require.NoError(t, err)
		require.Equal(t, content, read)
		require.GreaterOrEqual(t, budget.Used(), int64(len(content)))
		reservation.Release()
		require.Zero(t, budget.Used())
	}
	read, err := ReadAll(iotest.TimeoutReader(iotest.OneByteReader(strings.NewReader("ab"))), NewBudget(10_000).Reserve(), -1)
	require.ErrorIs(t, err, iotest.ErrTimeout)
	require.Equal(t, "a", string(read))
	_, err = ReadAll(endless{}, NewBudget(1<<20).Reserve(), -1)
	require.ErrorIs(t, err, ErrExhausted)
	_, err = ReadAll(io.LimitReader(endless{}, 1<<20), (*Budget)(nil).Reserve(), -1)
	require.NoError(t, err, "a nil budget has no limit")
}

// Senders without an end grow at the same time; one that is refused ends, and another one takes its place.
func TestEndlessSendersLeaveRoomForOthers(t *testing.T) {
	const limit, step, rounds = 1 << 20, 1 << 10, 5000
	for senders := 1; senders <= 20; senders++ {
		budget := NewBudget(limit)
		reservations := make([]*Reservation, senders)
		for i := range reservations {
			reservations[i] = budget.Reserve()
		}
		refused := 0
		for range rounds {
			for _, endless := range reservations {
				if endless.Grow(step) != nil {
					refused++
					endless.Release()
				}
			}
			require.LessOrEqual(t, budget.Used(), int64(limit))
			small := budget.Reserve()
			require.NoError(t, small.Grow(firstCapacity), "with %d endless senders", senders)
			small.Release()
		}
		require.Positive(t, refused)
	}
}

func TestAReservationThatCannotGrowKeepsWhatItHas(t *testing.T) {
	budget := NewBudget(1000)
	first := budget.Reserve()
	require.NoError(t, first.Grow(400))
	require.True(t, errors.Is(first.Grow(200), ErrExhausted))
	require.EqualValues(t, 400, budget.Used())
	first.Release()
	require.NoError(t, first.Grow(500))
}
