package drive

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"os"
	"runtime"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"linenwheel.dev/linenwheel/lab/load"
	"linenwheel.dev/linenwheel/lab/load/answer"
)

// worker is one thread of a run.
type worker struct {
	plan     *load.Plan
	feed     *load.Feed
	tally    *load.Tally
	template *load.Template
	pacer    load.Pacer
	family   int
	address  unix.Sockaddr

	started time.Time
	poller  int
	watch   [1]unix.PollFd
	events  [256]unix.EpollEvent
	input   [64 << 10]byte

	slots   []*conn // by the number that the poller knows them under
	unused  []int32
	idle    []*conn
	open    int
	most    int
	waiting flights   // without a connection
	out     []flights // by class, in the order in which their clients give up
	spare   []*flight

	until       float64
	interrupted bool
}

// conn is one connection. It carries at most one flight.
type conn struct {
	fd     int
	slot   int32
	stamp  int32 // tells events of this connection from those of an earlier one in its slot
	up     bool
	used   bool // has carried an answer
	flight *flight
	rest   []byte // of the request: not written yet
	buffer []byte
	reader answer.Reader
}

// flight is a request between when it was taken up and its end.
type flight struct {
	call   load.Call
	conn   *conn   // nil while it waits for one
	leaves float64 // when its client gives up
	waited bool    // no connection was ready
	resent bool
	sent   bool
	prev   [2]*flight // in the lists that it is in
	next   [2]*flight
}

// flights is a list of flights, linked through them. A flight can be in one list of each kind.
type flights struct {
	kind        int
	first, last *flight
}

// The kinds of lists.
const (
	byPatience = iota
	forConn
)

func (l *flights) add(f *flight) {
	f.prev[l.kind], f.next[l.kind] = l.last, nil
	if l.last == nil {
		l.first = f
	} else {
		l.last.next[l.kind] = f
	}
	l.last = f
}

func (l *flights) remove(f *flight) {
	before, after := f.prev[l.kind], f.next[l.kind]
	if before == nil {
		l.first = after
	} else {
		before.next[l.kind] = after
	}
	if after == nil {
		l.last = before
	} else {
		after.prev[l.kind] = before
	}
	f.prev[l.kind], f.next[l.kind] = nil, nil
}

func newWorker(plan *load.Plan, index int, set Settings, to *net.TCPAddr, template *load.Template, most int,
) (*worker, error) {
	w := &worker{plan: plan, feed: plan.Feed(index, set.Workers), tally: load.NewTally(plan), template: template,
		pacer: load.Pacer{Spin: set.Spin}, most: most, out: make([]flights, len(plan.Mix.Classes))}
	w.waiting.kind = forConn
	if four := to.IP.To4(); four != nil || len(to.IP) == 0 {
		address := &unix.SockaddrInet4{Port: to.Port, Addr: [4]byte{127, 0, 0, 1}}
		copy(address.Addr[:], four)
		w.family, w.address = unix.AF_INET, address
	} else {
		address := &unix.SockaddrInet6{Port: to.Port}
		copy(address.Addr[:], to.IP)
		w.family, w.address = unix.AF_INET6, address
	}
	var err error
	if w.poller, err = unix.EpollCreate1(unix.EPOLL_CLOEXEC); err != nil {
		return nil, fmt.Errorf("a poller for worker %d: %w", index, err)
	}
	return w, nil
}

// close frees what a worker that does not run any more holds.
func (w *worker) close() {
	for _, c := range w.slots {
		if c != nil {
			w.drop(c)
		}
	}
	_ = unix.Close(w.poller)
}

func (w *worker) now() float64 { return since(w.started) }

const (
	// longestSleep bounds how late a worker learns that the run is stopped and rows over time end, in milliseconds.
	longestSleep = 20
	// takenAtOnce bounds how long a worker that is behind leaves its answers unread.
	takenAtOnce = 32
)

// run plays the worker's share and hands over each row over time as it ends.
func (w *worker) run(ctx context.Context, started time.Time, row func(load.Interval)) {
	// The thread stays changed, so it ends with this goroutine: it is not unlocked.
	runtime.LockOSThread()
	defer w.close()
	// Without it the kernel may end each sleep of this thread 0.05 ms late.
	_ = unix.Prctl(unix.PR_SET_TIMERSLACK, 1, 0, 0, 0)
	w.started = started
	stop := math.Inf(1)
	for {
		now := w.now()
		if done, ok := w.tally.Turn(now); ok {
			row(done)
		}
		if !w.interrupted && ctx.Err() != nil {
			w.interrupted, stop, w.until = true, now+stopWait, now
			w.feed.Stop()
		}
		for range takenAtOnce {
			if w.feed.Next() > now {
				break
			}
			w.take()
			now = w.now()
		}
		leaves := w.leave(now, stop)
		next := min(w.feed.Next(), leaves)
		if math.IsInf(next, 1) {
			break
		}
		w.poll(min(next, now+longestSleep))
	}
	switch {
	case w.interrupted:
	case w.plan.Requests > 0:
		w.until = min(w.now(), w.plan.Length())
	default:
		w.until = w.plan.Length()
	}
	row(w.tally.Last())
}

// take takes up the request that is due next.
func (w *worker) take() {
	call := w.feed.Take()
	now := w.now()
	w.tally.Taken(call.Request, call.Due, now)
	f := w.flight()
	f.call = call
	f.leaves = now + w.plan.Mix.Classes[call.Class].Deadline.Lo
	w.out[call.Class].add(f)
	if n := len(w.idle); n > 0 {
		c := w.idle[n-1]
		w.idle = w.idle[:n-1]
		w.write(c, f)
		return
	}
	f.waited = true
	if w.open < w.most {
		w.connect(f)
		return
	}
	w.waiting.add(f)
}

// leave ends the requests whose clients have given up, and all of them from stop on. It gives the time at which the
// next one gives up.
func (w *worker) leave(now, stop float64) float64 {
	next := math.Inf(1)
	for i := range w.out {
		for f := w.out[i].first; f != nil; f = w.out[i].first {
			if f.leaves > now && stop > now {
				next = min(next, f.leaves, stop)
				break
			}
			w.giveUp(f, stop <= now)
		}
	}
	return next
}

// giveUp ends a request without an answer.
func (w *worker) giveUp(f *flight, stopped bool) {
	kind := load.TimedOut
	c := f.conn
	switch {
	case stopped:
		kind = load.Unfinished
	case c == nil:
		kind = load.NoConnection
	case !c.up:
		kind = load.CouldNotOpen
	}
	w.end(f, load.End{Kind: kind}, 0)
	if c != nil {
		w.drop(c)
		w.serveWaiting()
	}
}

// end counts a request, tells the feed and forgets it. Its connection is the caller's business.
func (w *worker) end(f *flight, e load.End, asked float64) {
	e.Request, e.Due, e.CallDue, e.Now = f.call.Request, f.call.Due, f.call.CallDue, w.now()
	e.LastOfAll = w.feed.Ended(f.call, e, asked)
	w.tally.End(e)
	w.out[f.call.Class].remove(f)
	if f.conn == nil {
		w.waiting.remove(f)
	} else {
		f.conn.flight = nil
	}
	*f = flight{}
	w.spare = append(w.spare, f)
}

func (w *worker) flight() *flight {
	if n := len(w.spare); n > 0 {
		f := w.spare[n-1]
		w.spare = w.spare[:n-1]
		return f
	}
	return &flight{}
}

// connect opens a connection for a request.
func (w *worker) connect(f *flight) {
	fd, err := unix.Socket(w.family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		w.refused(f)
		return
	}
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	err = unix.Connect(fd, w.address)
	if err != nil && !errors.Is(err, unix.EINPROGRESS) {
		_ = unix.Close(fd)
		w.refused(f)
		return
	}
	c := w.register(fd)
	if c == nil {
		_ = unix.Close(fd)
		w.refused(f)
		return
	}
	f.conn, c.flight = c, f
}

// refused ends a request for which no socket could be had. It is not in the list of those that wait.
func (w *worker) refused(f *flight) {
	w.waiting.add(f)
	w.end(f, load.End{Kind: load.CouldNotOpen}, 0)
}

// register gives a socket a slot and makes the poller watch it, edge by edge.
func (w *worker) register(fd int) *conn {
	var slot int32
	if n := len(w.unused); n > 0 {
		slot = w.unused[n-1]
		w.unused = w.unused[:n-1]
	} else {
		slot = int32(len(w.slots))
		w.slots = append(w.slots, &conn{slot: slot})
	}
	c := w.slots[slot]
	*c = conn{fd: fd, slot: slot, stamp: c.stamp + 1, buffer: c.buffer[:0], reader: c.reader}
	event := unix.EpollEvent{Events: unix.EPOLLIN | unix.EPOLLOUT | unix.EPOLLRDHUP | unix.EPOLLET, Fd: slot, Pad: c.stamp}
	if unix.EpollCtl(w.poller, unix.EPOLL_CTL_ADD, fd, &event) != nil {
		c.fd = -1
		w.unused = append(w.unused, slot)
		return nil
	}
	w.open++
	return c
}

// drop closes a connection. Its flight, if it had one, has been ended or taken off.
func (w *worker) drop(c *conn) {
	if c.fd < 0 {
		return
	}
	_ = unix.Close(c.fd)
	c.fd, c.flight = -1, nil
	w.open--
	w.unused = append(w.unused, c.slot)
}

// serveWaiting opens connections for the requests that have waited longest, while there may be more.
func (w *worker) serveWaiting() {
	for f := w.waiting.first; f != nil && w.open < w.most; f = w.waiting.first {
		w.waiting.remove(f)
		w.connect(f)
	}
}

// ready takes a connection that can carry a request.
func (w *worker) ready(c *conn) {
	if f := w.waiting.first; f != nil {
		w.waiting.remove(f)
		w.write(c, f)
		return
	}
	w.idle = append(w.idle, c)
}

// write sends a request on a connection that carries none.
func (w *worker) write(c *conn, f *flight) {
	f.conn, c.flight = c, f
	c.buffer = w.template.Append(c.buffer[:0], f.call.Request)
	c.rest = c.buffer
	c.reader.Reset(w.plan.Mix.Classes[f.call.Class].Method == http.MethodHead)
	w.flush(c)
}

// flush writes what is left of a connection's request.
func (w *worker) flush(c *conn) {
	for len(c.rest) > 0 {
		n, err := unix.Write(c.fd, c.rest)
		switch {
		case errors.Is(err, unix.EAGAIN):
			return
		case errors.Is(err, unix.EINTR):
			continue
		case err != nil:
			w.broken(c)
			return
		}
		c.rest = c.rest[n:]
	}
	f := c.flight
	if f.sent {
		return // before, on a connection that closed under it
	}
	now := w.now()
	w.tally.Sent(f.call.Due, now, len(c.buffer), f.waited)
	f.sent = true
	f.leaves = now + w.plan.Mix.Classes[f.call.Class].Deadline.Lo
	w.out[f.call.Class].remove(f)
	w.out[f.call.Class].add(f)
}

// broken takes the end of a connection.
func (w *worker) broken(c *conn) {
	f := c.flight
	switch {
	case f == nil:
		w.unidle(c)
	case !c.up:
		w.end(f, load.End{Kind: load.CouldNotOpen}, 0)
	case c.reader.End():
		w.end(f, w.answered(c), c.reader.RetryAfter*1000)
	case c.used && !c.reader.Began() && !f.resent:
		// The close of a kept connection crossed the request: it goes out once more, on a new one.
		f.resent, f.waited = true, true
		w.tally.Resent(f.call.Due)
		w.drop(c)
		f.conn = nil
		w.connect(f)
		return
	default:
		w.end(f, load.End{Kind: load.Reset}, 0)
	}
	w.drop(c)
	w.serveWaiting()
}

// unidle takes a connection off the idle ones.
func (w *worker) unidle(c *conn) {
	for i, other := range w.idle {
		if other == c {
			w.idle = append(w.idle[:i], w.idle[i+1:]...)
			return
		}
	}
}

func (w *worker) answered(c *conn) load.End {
	return load.End{Kind: load.Answered, Status: c.reader.Status, In: c.reader.Bytes}
}

// poll waits for events until a time at most and carries them out.
func (w *worker) poll(until float64) {
	asked := w.pacer.Sleep(until - w.now())
	if asked > 0 {
		began := w.now()
		timeout := unix.NsecToTimespec(int64(asked * 1e6))
		w.watch[0] = unix.PollFd{Fd: int32(w.poller), Events: unix.POLLIN}
		n, err := unix.Ppoll(w.watch[:], &timeout, nil)
		if n == 0 && err == nil {
			w.pacer.Slept(w.now() - began - asked)
			return
		}
	}
	n, err := unix.EpollWait(w.poller, w.events[:], 0)
	if err != nil {
		return // interrupted
	}
	for _, e := range w.events[:n] {
		if c := w.slots[e.Fd]; c.stamp == e.Pad && c.fd >= 0 {
			w.event(c, e.Events)
		}
	}
}

// event carries out what happened to a connection.
func (w *worker) event(c *conn, what uint32) {
	stamp := c.stamp
	if !c.up {
		code, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR)
		if err != nil || code != 0 || what&(unix.EPOLLERR|unix.EPOLLHUP) != 0 {
			w.broken(c)
			return
		}
		if what&unix.EPOLLOUT == 0 {
			return
		}
		c.up = true
		w.tally.Opened()
		w.write(c, c.flight)
		// On: with the same edge, the server may have spoken first or ended the connection.
	} else if len(c.rest) > 0 && what&unix.EPOLLOUT != 0 {
		w.flush(c)
	}
	if c.fd >= 0 && c.stamp == stamp && what&(unix.EPOLLIN|unix.EPOLLRDHUP|unix.EPOLLERR|unix.EPOLLHUP) != 0 {
		w.read(c, what&(unix.EPOLLRDHUP|unix.EPOLLERR|unix.EPOLLHUP) != 0)
	}
}

// read takes what has come on a connection; ending says that its end has come too.
func (w *worker) read(c *conn, ending bool) {
	for {
		n, err := unix.Read(c.fd, w.input[:])
		switch {
		case errors.Is(err, unix.EAGAIN):
			return
		case errors.Is(err, unix.EINTR):
			continue
		case err != nil || n == 0:
			w.broken(c)
			return
		}
		f := c.flight
		if f == nil {
			// An idle connection has nothing to say.
			w.broken(c)
			return
		}
		whole, err := c.reader.Feed(w.input[:n])
		if err != nil {
			w.end(f, load.End{Kind: load.Garbled}, 0)
			w.drop(c)
			w.serveWaiting()
			return
		}
		if whole {
			early := len(c.rest) > 0
			w.end(f, w.answered(c), c.reader.RetryAfter*1000)
			if ending || early || !c.reader.Keep {
				w.drop(c)
				w.serveWaiting()
				return
			}
			c.used = true
			w.ready(c)
			return
		}
		if n < len(w.input) && !ending {
			return
		}
	}
}

// processorTime is what the process has used, user and system, in milliseconds.
func processorTime() float64 {
	var use unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &use) != nil {
		return 0
	}
	return float64(use.Utime.Nano()+use.Stime.Nano()) / 1e6
}

// stolenTime is what the machine's host has given to others since the machine started, over all processors, in
// milliseconds; -1 if the kernel does not tell.
func stolenTime() float64 {
	text, err := os.ReadFile("/proc/stat")
	if err != nil {
		return -1
	}
	line, _, _ := strings.Cut(string(text), "\n")
	// cpu user nice system idle iowait irq softirq steal ..., in ticks of 10 ms
	fields := strings.Fields(line)
	if len(fields) < 9 {
		return -1
	}
	ticks, err := strconv.ParseFloat(fields[8], 64)
	if err != nil {
		return -1
	}
	return ticks * 10
}
