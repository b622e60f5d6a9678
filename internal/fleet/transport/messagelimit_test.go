package transport

import (
	"encoding/gob"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// pieces is a connection that returns bytes a few at a time.
type pieces struct {
	net.Conn
	bytes []byte
	size  int
}

func (p *pieces) Read(into []byte) (int, error) {
	if len(p.bytes) == 0 {
		return 0, io.EOF
	}
	n := copy(into[:min(p.size, len(into))], p.bytes)
	p.bytes = p.bytes[n:]
	return n, nil
}

func TestMessagesOfEverySizeAreFollowed(t *testing.T) {
	var stream collected
	encoder := gob.NewEncoder(&stream)
	sizes := []int{0, 1, 100, 127, 128, 129, 255, 256, 1000, 65_535, 65_536, 1_000_000}
	for _, size := range sizes {
		require.NoError(t, encoder.Encode(make([]byte, size)))
	}
	for _, size := range []int{1, 2, 3, 7, 4096} {
		decoder := gob.NewDecoder(&limitedConn{Conn: &pieces{bytes: stream, size: size}})
		for _, length := range sizes {
			var message []byte
			require.NoError(t, decoder.Decode(&message))
			require.Len(t, message, length)
		}
	}
}

type collected []byte

func (c *collected) Write(bytes []byte) (int, error) {
	*c = append(*c, bytes...)
	return len(bytes), nil
}

func TestAMessageThatIsTooLongEndsTheConnection(t *testing.T) {
	for name, prefix := range map[string][]byte{
		"too long":          {0xfc, 0x04, 0x00, 0x00, 0x01},                 // 4 bytes: 64 MB and a byte
		"longest":           {0xf8, 255, 255, 255, 255, 255, 255, 255, 255}, // 8 bytes
		"not a length":      {0x80},                                         // 128 bytes follow
		"after a short one": {0x02, 0x00, 0x00, 0xfb, 0x01, 0x00, 0x00, 0x00, 0x00},
	} {
		t.Run(name, func(t *testing.T) {
			conn := &limitedConn{Conn: &pieces{bytes: prefix, size: 1}}
			_, err := io.ReadAll(conn)
			require.ErrorIs(t, err, errMessageTooLong)
		})
	}
	longest := &limitedConn{Conn: &pieces{bytes: []byte{0xfc, 0x04, 0x00, 0x00, 0x00}, size: 1}}
	_, err := io.ReadAll(longest)
	require.NoError(t, err)
}
