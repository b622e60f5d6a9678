package connpool

import (
	"errors"
	"io"

	"linenwheel.dev/linenwheel/internal/codec/http1"
)

var (
	errTaken = errors.New("another relay has the body")
	errHost  = errors.New("the host took no more")
)

// upload writes the rest of a request's body as it comes, no faster than the host takes it. It gives how many bytes that were;
// 0 if the relay ended before it knew of the last of them, of which the caller hears by the same channels. errHost is the host's
// fault; any other error tells that there is no rest to be had. After an error the last byte has not gone out.
func (p *Pool) upload(c *conn, body *Body, done chan end, off, late <-chan struct{}) (written int64, err error) {
	if !body.Rest.Claim() {
		return 0, errTaken
	}
	write := func(b []byte) bool {
		written += int64(len(b))
		return c.net.Write(b) == nil
	}
	if body.Chunked && len(body.First) > 0 && !write([]byte("\r\n")) {
		return 0, errHost
	}
	stop := make(chan struct{})
	watched := make(chan struct{})
	defer func() { close(watched); <-stop }()
	go func() { // Room waits for one thing only
		defer close(stop)
		select {
		case <-off:
		case <-late:
		case e := <-done: // a host may answer early and take no more
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
				return 0, errHost
			}
			if !c.net.WaitForBacklog(p.set.Budget.Window(), stop) {
				return 0, nil
			}
			if len(done) > 0 {
				return 0, nil
			}
			continue
		case err == io.EOF: //nolint:errorlint // this very value says whole, a wrapped one would be of a body that broke off
			if body.Chunked && !write([]byte(http1.LastChunk)) {
				return 0, errHost
			}
			return written, nil
		case err != nil:
			return 0, err
		}
		select {
		case <-body.Rest.Ready():
		case <-off:
			return 0, nil
		case <-late:
			return 0, nil
		case e := <-done:
			done <- e // for the caller
			return 0, nil
		}
	}
}
