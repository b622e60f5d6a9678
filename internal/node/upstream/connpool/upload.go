package connpool

import (
	"errors"
	"io"

	"linenwheel.dev/linenwheel/internal/codec/http1"
)

var (
	errBodyClaimed  = errors.New("request body already claimed by another attempt")
	errBackendWrite = errors.New("write to backend failed")
)

// upload writes the rest of a request's body as it arrives, no faster than the backend accepts it. It returns the
// number of bytes written, or 0 if the attempt ended before the last of them was known; the caller sees the reason on
// the same channels. errBackendWrite means that the backend stopped accepting bytes; any other error means that the
// rest of the body is not available. After an error the last byte has not been sent.
func (p *Pool) upload(c *conn, body *Body, done chan result, cancelled, expired <-chan struct{}) (written int64, err error) {
	if !body.Rest.Claim() {
		return 0, errBodyClaimed
	}
	write := func(b []byte) bool {
		written += int64(len(b))
		return c.net.Write(b) == nil
	}
	if body.Chunked && len(body.First) > 0 && !write([]byte("\r\n")) {
		return 0, errBackendWrite
	}
	stop := make(chan struct{})
	watched := make(chan struct{})
	defer func() { close(watched); <-stop }()
	go func() { // WaitForBacklog waits on a single channel
		defer close(stop)
		select {
		case <-cancelled:
		case <-expired:
		case e := <-done: // a backend may respond early and stop reading
			done <- e // for the caller
		case <-watched:
		}
	}()
	for {
		chunk, err := body.Rest.Next()
		switch {
		case len(chunk.Bytes) > 0:
			good := !body.Chunked || write(http1.AppendChunkHead(nil, len(chunk.Bytes)))
			good = good && write(chunk.Bytes) && (!body.Chunked || write([]byte("\r\n")))
			chunk.Free()
			if !good {
				return 0, errBackendWrite
			}
			if !c.net.WaitForBacklog(p.set.Budget.Window(), stop) {
				return 0, nil
			}
			if len(done) > 0 {
				return 0, nil
			}
			continue
		case err == io.EOF: //nolint:errorlint // only io.EOF itself means complete; a wrapped one is from a truncated body
			if body.Chunked && !write([]byte(http1.LastChunk)) {
				return 0, errBackendWrite
			}
			return written, nil
		case err != nil:
			return 0, err
		}
		select {
		case <-body.Rest.Ready():
		case <-cancelled:
			return 0, nil
		case <-expired:
			return 0, nil
		case e := <-done:
			done <- e // for the caller
			return 0, nil
		}
	}
}
