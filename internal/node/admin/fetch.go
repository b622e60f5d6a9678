package admin

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"

	"linenwheel.dev/linenwheel/internal/codec/http1"
)

// KnowledgePath is the call for what a node knows of its raters.
const KnowledgePath = "/v1/node/knowledge"

// Fetch calls another node's door for what that node knows and gives the answer's body of at most so many bytes. It holds one
// connection, and what has come of the answer, until it returns, which is at ctx's end at the latest. The error says what is
// wrong with an answer that is none.
func Fetch(ctx context.Context, address string, most int) ([]byte, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }() // all was read, or is not wanted
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	if _, err := io.WriteString(conn, "GET "+KnowledgePath+" HTTP/1.1\r\nHost: "+address+"\r\nConnection: close\r\n\r\n"); err != nil {
		return nil, err
	}
	parser, buffer := http1.NewResponsesOf(most), make([]byte, 16<<10)
	for {
		n, failed := conn.Read(buffer)
		parser.Feed(buffer[:n])
		m, err := parser.Next()
		switch {
		case err != nil:
			return nil, fmt.Errorf("its answer: %w", err)
		case m != nil && m.Status != 200:
			return nil, fmt.Errorf("it answers %d: %.80s", m.Status, bytes.TrimSpace(m.Body))
		case m != nil:
			return m.Body, nil
		case ctx.Err() != nil:
			return nil, context.Cause(ctx)
		case errors.Is(failed, io.EOF):
			return nil, errors.New("its answer broke off")
		case failed != nil:
			return nil, failed
		}
	}
}
