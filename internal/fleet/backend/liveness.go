package backend

import (
	"context"
	"errors"
	"time"
)

// exitWindow bounds the time between the ends of two connections that end with the same process, as they are received.
const exitWindow = 100 * time.Millisecond

// errProcessEnded reports a body whose end was marked by nothing but the end of its connection, and whose backend's
// process ended with it.
var errProcessEnded = errors.New("body ends with its connection, and the backend's process has ended")

// livenessWatch observes the process of a backend through a second connection, on which nothing is sent. When a process
// ends, by whatever cause, the kernel closes all its connections in order, which looks like the end of a whole body on a
// connection that marks the end of a body by its own. A process that goes on keeps the second connection open.
//
// Only the goroutine that reads the body may call its methods.
type livenessWatch struct {
	stop     context.CancelFunc    // closes the connection; it must be called
	again    func() *livenessWatch // starts to observe the process that listens on the address now
	latestAt time.Time             // when the latest part of the body was received
	dialed   chan struct{}         // closed when the connection has been made, or could not be
	ended    chan struct{}         // closed when the connection has ended

	// Valid once dialed is closed.
	connection *connection
	dialErr    error

	endedAt time.Time // valid once ended is closed
}

// watchLiveness starts to observe the process that listens on an address, until the context ends or stop is called.
func watchLiveness(ctx context.Context, address string) *livenessWatch {
	watched, cancel := context.WithCancel(ctx)
	w := &livenessWatch{stop: cancel, latestAt: time.Now(), dialed: make(chan struct{}), ended: make(chan struct{})}
	w.again = func() *livenessWatch { return watchLiveness(ctx, address) }
	go w.run(watched, address)
	return w
}

// run makes the connection and waits until it ends.
func (w *livenessWatch) run(ctx context.Context, address string) {
	w.connection, w.dialErr = dial(address, dialTimeout)
	close(w.dialed)
	if w.dialErr != nil {
		return
	}
	defer context.AfterFunc(ctx, func() { _ = w.connection.Close() })()
	_, _ = w.connection.Read(make([]byte, 1))
	w.endedAt = time.Now()
	close(w.ended)
	_ = w.connection.Close()
}

// recordData records that a part of the body was received.
func (w *livenessWatch) recordData() { w.latestAt = time.Now() }

// processEnded reports whether the process ended with the body, which has just been received up to its end. It waits
// for the connection to be made, and then for at most exitWindow.
func (w *livenessWatch) processEnded() bool {
	<-w.dialed
	if w.dialErr != nil {
		return true // refused, or reset while the process closes its listener: nothing shows that it goes on
	}
	select {
	case <-w.ended:
	case <-time.After(exitWindow):
		// This process may have been held up: what has arrived counts, not what has been read.
		return !w.connection.hasNoPendingInput()
	}
	if w.latestAt.Sub(w.endedAt) > exitWindow {
		return !w.listens()
	}
	return true
}

// listens reports whether a process that listens on the address goes on for exitWindow.
func (w *livenessWatch) listens() bool {
	again := w.again()
	defer again.stop()
	return !again.processEnded()
}
