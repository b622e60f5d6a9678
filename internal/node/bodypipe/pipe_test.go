package bodypipe

import (
	"errors"
	"flag"
	"io"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards, for any order of Put, Next and End, against bytes that are lost, duplicated or out of order, a source
// that is never resumed or never throttled, an end that is reported before the last byte, and a pipe that stays
// counted in the budget.
func TestPipeInvariants(t *testing.T) {
	require.NoError(t, flag.Set("rapid.seed", "3"))
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(rapid.IntRange(1, 1<<20).Draw(t, "budget"))
		throttled, dropped := false, false
		p := New(b, func(on bool) { require.NotEqual(t, on, throttled); throttled = on }, func() { dropped = true })
		sent, got, ended := byte(0), byte(0), false
		take := func() (n int, err error) {
			c, err := p.Next()
			for _, x := range c.Bytes {
				require.Equal(t, got, x)
				got++
			}
			n = len(c.Bytes)
			c.Free()
			return n, err
		}
		held := 0
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				if throttled || ended {
					break
				}
				data := make([]byte, rapid.IntRange(0, 2*ChunkSize).Draw(t, "bytes"))
				for i := range data {
					data[i] = sent
					sent++
				}
				p.Put(data)
				held += len(data)
				require.Equal(t, held >= b.Window(), throttled)
			case 2:
				n, err := take()
				held -= n
				require.Equal(t, ended && n == 0, err == io.EOF) //nolint:errorlint // only io.EOF itself
			case 3:
				if rapid.IntRange(0, 9).Draw(t, "end") == 0 {
					p.End(io.EOF)
					ended = true
				}
			}
		}
		p.End(io.EOF)
		if rapid.Bool().Draw(t, "drop") {
			p.Drop()
			require.False(t, dropped && ended, "drop was called although the source has ended")
			held, got = 0, sent
		}
		for held > 0 {
			n, err := take()
			require.NoError(t, err)
			held -= n
		}
		_, err := take()
		require.Error(t, err)
		require.False(t, throttled && !dropped && held > 0)
		require.Zero(t, b.pipes.Load())
		require.Equal(t, sent, got)
	})
}

// Guards against a body that was cut off and is reported as complete, a second consumer of one body, and memory
// that is reserved twice.
func TestEndClaimAndReserve(t *testing.T) {
	b := NewBudget(1000)
	dropped := 0
	p := New(b, func(bool) {}, func() { dropped++ })
	require.True(t, p.Claim())
	require.False(t, p.Claim())
	p.Put([]byte("abc"))
	p.End(errors.New("reset"))
	_, err := p.Next()
	require.EqualError(t, err, "reset")
	p = New(b, func(bool) {}, func() { dropped++ })
	p.Drop()
	p.Drop()
	require.Equal(t, 1, dropped)
	_, err = p.Next()
	require.ErrorIs(t, err, ErrDropped)
	require.True(t, b.Reserve(400))
	require.False(t, b.Reserve(400), "the other half is for streamed bodies")
	b.Release(400)
	require.True(t, b.Reserve(500))
}

// Guards against a source that is never resumed because the producer and the consumer call throttle at the same
// time.
func TestConcurrentPutAndNext(t *testing.T) {
	for range 200 {
		var throttled atomic.Bool
		b, resumed := NewBudget(1), make(chan struct{}, 1)
		p := New(b, func(on bool) {
			throttled.Store(on)
			if !on {
				select {
				case resumed <- struct{}{}:
				default:
				}
			}
		}, func() {})
		go func() {
			data := make([]byte, ChunkSize)
			for range 50 {
				for throttled.Load() {
					<-resumed
				}
				p.Put(data)
			}
			p.End(io.EOF)
		}()
		for got := 0; ; {
			c, err := p.Next()
			if got += len(c.Bytes); err == io.EOF { //nolint:errorlint // only io.EOF itself
				require.Equal(t, 50*ChunkSize, got)
				break
			}
			if len(c.Bytes) == 0 {
				<-p.Ready()
			}
			c.Free()
		}
	}
}
