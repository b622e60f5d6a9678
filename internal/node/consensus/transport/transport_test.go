package transport

import (
	"encoding/binary"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestReadRejectsWhatWasNotSent guards against a message that is received differently from how it was sent, and
// against accepting a message with a changed byte, a truncated message, one without an end, and a length that is
// announced to cause allocations.
func TestReadRejectsWhatWasNotSent(t *testing.T) {
	read := func(raw []byte) (Kind, string, error) {
		near, far := net.Pipe()
		defer func() { _ = near.Close() }()
		go func() {
			_, _ = far.Write(raw) // the reader may have closed
			_ = far.Close()
		}()
		kind, message, err := NewConn(near).Read()
		return kind, string(message), err
	}
	for _, n := range []int{0, 1, maxFrameBytes - 1, maxFrameBytes, maxFrameBytes + 1, 3*maxFrameBytes + 5} {
		sent := strings.Repeat("linenwheel", n/10+1)[:n]
		raw := Append(nil, KindRaft, []byte(sent))
		kind, got, err := read(raw)
		require.NoError(t, err)
		assert.Equal(t, KindRaft, kind)
		assert.Equal(t, sent, got)
		for _, at := range []int{0, 5, 12, len(raw) - 1} {
			bad := append([]byte{}, raw...)
			bad[at] ^= 1
			_, _, err := read(bad)
			require.Error(t, err, "byte %d of %d changed", at, len(raw))
			_, _, err = read(raw[:at])
			require.Error(t, err, "truncated at %d of %d", at, len(raw))
		}
	}
	frame := Append(nil, KindRaft|more, make([]byte, maxFrameBytes))
	claim := append(binary.BigEndian.AppendUint32(nil, 2<<30), make([]byte, 9)...)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, _, err := read(claim)
	runtime.ReadMemStats(&after)
	require.ErrorIs(t, err, ErrFrame)
	assert.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(10<<20), "a length of 2 GB was announced")
	_, _, err = read(append(append([]byte{}, frame...), Append(nil, KindRequest, nil)...))
	require.ErrorIs(t, err, ErrFrame, "continued with another kind")

	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	go func() { // frames without an end
		for far.SetWriteDeadline(time.Now().Add(time.Minute)) == nil {
			if _, err := far.Write(frame); err != nil {
				return
			}
		}
	}()
	_, _, err = NewConn(near).Read()
	require.ErrorIs(t, err, ErrFrame, "longer than maxMessageBytes")
}
