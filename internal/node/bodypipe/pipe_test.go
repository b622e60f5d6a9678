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

// TestPipeHolds guards, over any order of pieces, takes and ends, against bytes that are lost, doubled or out of order, a source
// that is never let go on or never slowed, an end that comes before the last byte, and a budget that is not given back.
func TestPipeHolds(t *testing.T) {
	require.NoError(t, flag.Set("rapid.seed", "3"))
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(rapid.IntRange(1, 1<<20).Draw(t, "budget"))
		slow, dropped := false, false
		p := New(b, func(on bool) { require.NotEqual(t, on, slow); slow = on }, func() { dropped = true })
		sent, got, over := byte(0), byte(0), false
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
				if slow || over {
					break
				}
				data := make([]byte, rapid.IntRange(0, 2*ChunkSize).Draw(t, "bytes"))
				for i := range data {
					data[i] = sent
					sent++
				}
				p.Put(data)
				held += len(data)
				require.Equal(t, held >= b.Window(), slow)
			case 2:
				n, err := take()
				held -= n
				require.Equal(t, over && n == 0, err == io.EOF) //nolint:errorlint // this very value
			case 3:
				if rapid.IntRange(0, 9).Draw(t, "end") == 0 {
					p.End(io.EOF)
					over = true
				}
			}
		}
		p.End(io.EOF)
		if rapid.Bool().Draw(t, "drop") {
			p.Drop()
			require.False(t, dropped && over, "its source is done")
			held, got = 0, sent
		}
		for held > 0 {
			n, err := take()
			require.NoError(t, err)
			held -= n
		}
		_, err := take()
		require.Error(t, err)
		require.False(t, slow && !dropped && held > 0)
		require.Zero(t, b.pipes.Load())
		require.Equal(t, sent, got)
	})
}

// Guards against bytes given as whole of a body that broke off, a second taker of one body, and memory promised twice.
func TestEndsAndClaims(t *testing.T) {
	b := NewBudget(1000)
	dropped := 0
	p := New(b, func(bool) {}, func() { dropped++ })
	require.True(t, p.Claim())
	require.False(t, p.Claim())
	p.Put([]byte("abc"))
	p.End(errors.New("broke"))
	_, err := p.Next()
	require.EqualError(t, err, "broke")
	p = New(b, func(bool) {}, func() { dropped++ })
	p.Drop()
	p.Drop()
	require.Equal(t, 1, dropped)
	_, err = p.Next()
	require.ErrorIs(t, err, ErrDropped)
	require.True(t, b.Reserve(400))
	require.False(t, b.Reserve(400), "the other half is for what flows")
	b.Release(400)
	require.True(t, b.Reserve(500))
}

// Guards against a source that is held back for good because its two sides speak at the same time.
func TestBothSidesAtOnce(t *testing.T) {
	for range 200 {
		var slow atomic.Bool
		b, goes := NewBudget(1), make(chan struct{}, 1)
		p := New(b, func(on bool) {
			slow.Store(on)
			if !on {
				select {
				case goes <- struct{}{}:
				default:
				}
			}
		}, func() {})
		go func() {
			data := make([]byte, ChunkSize)
			for range 50 {
				for slow.Load() {
					<-goes
				}
				p.Put(data)
			}
			p.End(io.EOF)
		}()
		for got := 0; ; {
			c, err := p.Next()
			if got += len(c.Bytes); err == io.EOF { //nolint:errorlint // this very value
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
