package transport

import (
	"bytes"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/golden"
)

// TestEncodedTypesKeepTheirForm guards against a change of the JSON form of the handshake, in any field.
func TestEncodedTypesKeepTheirForm(t *testing.T) {
	golden.JSON[Hello](t, "hello")
	golden.JSON[Welcome](t, "welcome")
}

// TestFramesOfAnEarlierBuild guards against frames that this build writes and an earlier build of this release
// cannot read, or the reverse. It uses a frame of each kind and a message of two frames.
func TestFramesOfAnEarlierBuild(t *testing.T) {
	kinds := []Kind{KindHello, KindAnswer, KindRaft, KindRequest, KindRaft}
	messages := [][]byte{[]byte(`{"fleet":"morava"}`), []byte("an answer"), {0, 1, 2, 255}, {}, bytes.Repeat([]byte("part"), maxFrameBytes/4+1)}
	var frames []byte
	for i, kind := range kinds {
		frames = Append(frames, kind, messages[i])
	}
	golden.Check(t, "frames", frames)
	earlier := golden.File(t, "frames", nil)
	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	go func() {
		defer func() { _ = far.Close() }()
		_, _ = far.Write(earlier) // the reader reports an error
	}()
	c := NewConn(near)
	for i, want := range kinds {
		kind, message, err := c.Read()
		require.NoError(t, err)
		require.Equal(t, want, kind)
		require.Equal(t, string(messages[i]), string(message))
	}
}
