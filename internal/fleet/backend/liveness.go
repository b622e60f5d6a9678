package backend

import (
	"context"
	"errors"
	"syscall"
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
	address  string
	stop     context.CancelFunc // closes the connection; it must be called
	latestAt time.Time          // when the latest part of the body was received
	ended    chan struct{}      // closed when the connection has ended or could not be made

	// Valid once ended is closed.
	endedAt time.Time
	dialErr error // nil = the connection was made
}

// watchLiveness starts to observe the process that listens on an address. The caller must call stop.
func watchLiveness(address string) *livenessWatch {
	ctx, cancel := context.WithCancel(context.Background())
	w := &livenessWatch{address: address, stop: cancel, latestAt: time.Now(), ended: make(chan struct{})}
	go w.run(ctx)
	return w
}

// run waits for the end of the connection.
func (w *livenessWatch) run(ctx context.Context) {
	defer close(w.ended)
	w.dialErr = w.awaitEnd(ctx)
	w.endedAt = time.Now()
}

// awaitEnd makes the connection and waits until it ends. The error is that of making it.
func (w *livenessWatch) awaitEnd(ctx context.Context) error {
	conn, err := dial(w.address, dialTimeout)
	if err != nil {
		return err
	}
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	_, _ = conn.Read(make([]byte, 1))
	_ = conn.Close()
	return nil
}

// recordData records that a part of the body was received.
func (w *livenessWatch) recordData() { w.latestAt = time.Now() }

// processEnded reports whether the process ended with the body, which has just been received up to its end. It waits
// for at most exitWindow.
func (w *livenessWatch) processEnded() bool {
	select {
	case <-w.ended:
	case <-time.After(exitWindow):
		return false
	}
	switch {
	case errors.Is(w.dialErr, syscall.ECONNREFUSED):
		return true
	case w.dialErr != nil:
		return false
	case w.latestAt.Sub(w.endedAt) > exitWindow:
		return !w.listens()
	}
	return true
}

// listens reports whether a process that listens on the address goes on for exitWindow.
func (w *livenessWatch) listens() bool {
	again := watchLiveness(w.address)
	defer again.stop()
	return !again.processEnded()
}
