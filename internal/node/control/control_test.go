package control

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/node/hotrestart"
)

// node is a stand-in for a running node that notes what it is told.
type node struct {
	listener net.Listener
	did      chan string
	why      string // it refuses
	mark     string
	slow     chan struct{} // Release returns once it is closed; nil = at once
}

func (n node) Knowledge() (json.RawMessage, error) { return json.RawMessage(`{"k":1}`), nil }
func (n node) Status() (json.RawMessage, error)    { return json.RawMessage(`{"s":2}`), nil }
func (n node) Release() {
	n.did <- "release"
	if n.slow != nil {
		<-n.slow
	}
}
func (n node) Regain()         { n.did <- "regain" }
func (n node) Yield(pid int)   { n.did <- fmt.Sprint("yield to itself: ", pid == os.Getpid()) }
func (n node) Refuses() string { return n.why }
func (n node) Mark() string    { return n.mark }
func (n node) GiveNames(send func(json.RawMessage) error) {
	n.did <- "names"
	_ = send(json.RawMessage(`{"all":1}`))
}
func (n node) Names(names json.RawMessage)  { n.did <- string(names) }
func (n node) NamesCut()                    { n.did <- "names cut" }
func (n node) Lend()                        {}
func (n node) Retake()                      {}
func (n node) Held() int                    { return 3 }
func (n node) Obey(o json.RawMessage) error { n.did <- string(o); return nil }
func (n node) Sockets(f func([]string, []int) error) error {
	raw, err := n.listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	var err2 error
	err = raw.Control(func(fd uintptr) { err2 = f([]string{"north"}, []int{int(fd)}) })
	if err != nil {
		return err
	}
	return err2
}

var limits = hotrestart.Limits{Answer: 5000, Prepare: 60000}

// running starts a node's server; the clock stands.
func running(t *testing.T) (path string, n node, s *Server, c *clock.Manual) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	path, n, c = filepath.Join(t.TempDir(), "s"), node{l, make(chan string, 9), "", "", nil}, clock.NewManual(1e12)
	s, err = Serve(Settings{Path: path, Release: "1", Limits: limits}, n, c, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	t.Cleanup(s.Close)
	return path, n, s, c
}

// taker is a new process as a test drives it; each hook's call is an event.
func taker(path string, c clock.Clock) (take *Take, events chan string, heritage chan Inheritance) {
	events, heritage = make(chan string, 9), make(chan Inheritance, 1)
	take = Begin(path, "2", limits, c, Hooks{
		Prepare: func(h Inheritance) { heritage <- h; events <- "prepare " + string(h.Knowledge) },
		Alone:   func() { events <- "alone" },
		Accept:  func(k json.RawMessage) { events <- "accept " + string(k) },
		GiveUp:  func(reason string) { events <- "give up: " + reason },
		Leave:   func(reason string) { events <- "leave: " + reason },
		Ended:   func(n int) { events <- fmt.Sprint("ended ", n) },
		Died:    func() { events <- "died" },
	})
	return take, events, heritage
}

// Guards against a takeover over real sockets that does not come about, one that is begun while another is on, a socket
// that is no use to the taker, and a control socket that nobody answers for a moment.
func TestTakeOver(t *testing.T) {
	path, n, s, c := running(t)
	take, events, heritage := taker(path, c)
	require.Equal(t, `prepare {"k":1}`, <-events)
	_, second, _ := taker(path, c)
	require.Equal(t, "give up: "+hotrestart.ReasonBusy, <-second)
	text, err := Ask(path, "2")
	require.NoError(t, err)
	require.Equal(t, `{"s":2}`, string(text))

	take.Prepared()
	require.Equal(t, "release", <-n.did)
	require.Equal(t, `accept {"k":1}`, <-events)
	require.Equal(t, "yield to itself: true", <-n.did)
	h := <-heritage
	require.Equal(t, os.Getpid(), h.PID)
	require.Equal(t, n.listener.Addr(), h.Sockets["north"].Addr())
	go func() {
		c, err := net.Dial("tcp", h.Sockets["north"].Addr().String())
		if err == nil {
			_ = c.Close()
		}
	}()
	conn, err := h.Sockets["north"].Accept()
	require.NoError(t, err)
	_ = conn.Close()

	heir, err := Inherit(Settings{Path: path, Limits: limits}, n, c, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	defer heir.Close()
	_, err = Ask(path, "2")
	require.NoError(t, err)
	require.True(t, s.Given())
	s.Ended(3)
	require.Equal(t, "ended 3", <-events)
	s.Close()
	_, err = Ask(path, "2")
	require.NoError(t, err, "the first one leaves the path to its heir")
	_, err = Serve(Settings{Path: path}, n, c, slog.New(slog.DiscardHandler))
	require.ErrorContains(t, err, "another process answers")
	n.mark = "m"
	named, err := Serve(Settings{Path: path + "4", Limits: limits}, n, c, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	defer named.Close()
	_, events, _ = taker(path+"4", c) // as one of an older release
	require.Equal(t, "give up: "+reasonMark, <-events)
	n.why = "not now"
	odd, err := Serve(Settings{Path: path + "3", Limits: limits}, n, c, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	defer odd.Close()
	_, events, _ = taker(path+"3", c)
	require.Equal(t, "give up: not now", <-events)
	require.NoError(t, os.WriteFile(path+"2", nil, 0o600))
	_, err = Serve(Settings{Path: path + "2"}, n, c, slog.New(slog.DiscardHandler))
	require.Error(t, err, "a file that is no socket is left alone")
}

// Guards against a taker that is slow, or breaks off after all was given to it, ending the service of the running one,
// and against a running one that does not answer holding the new one for ever.
func TestBreakingOff(t *testing.T) {
	path, n, s, c := running(t)
	take, events, _ := taker(path, c)
	require.Equal(t, `prepare {"k":1}`, <-events)
	c.Advance(limits.Prepare)
	require.Equal(t, "give up: "+hotrestart.ReasonLate, <-events)
	take.Prepared()
	take, events, _ = taker(path, c)
	for e := <-events; e != `prepare {"k":1}`; e = <-events {
		require.Equal(t, "give up: "+hotrestart.ReasonBusy, e, "the first one has not gone yet")
		take, events, _ = taker(path, c)
	}
	require.NoError(t, take.wire.write(message{Type: "ready"}, time.Second))
	require.Equal(t, "release", <-n.did)
	require.NoError(t, take.wire.conn.CloseWrite())
	require.Equal(t, "regain", <-n.did)
	_, err := Ask(path, "2")
	require.NoError(t, err, "the path is taken back")

	s.Stopping()
	take, events, _ = taker(path, c)
	require.Equal(t, `prepare {"k":1}`, <-events, "one that stops gives everything away")
	require.Equal(t, "release", <-n.did)
	take.Prepared()
	require.Equal(t, `accept {"k":1}`, <-events)

	mute, err := net.Listen("unix", path+"2")
	require.NoError(t, err)
	defer mute.Close()
	_, events, _ = taker(path+"2", c)
	_, err = mute.Accept()
	require.NoError(t, err)
	for c.Next() > c.Now()+limits.Answer {
		time.Sleep(time.Millisecond) // until its alarm is set
	}
	c.Advance(limits.Answer)
	require.Equal(t, "give up: the running process does not answer", <-events)
	_, events, _ = taker(path+"3", c)
	require.Equal(t, "alone", <-events)
}

func giverLeaves(take *Take) bool {
	take.mu.Lock()
	defer take.mu.Unlock()
	return take.machine.PredecessorStopping()
}

// Guards against a new process that gives up, and closes the sockets that it holds, while one that was told to stop takes long to let
// go of its state: that one closes its own when its time is over, and then nobody accepts.
func TestTakerWaitsForAGiverThatStopsSlowly(t *testing.T) {
	_, n, _, c := running(t)
	takersClock := clock.NewManual(1e12) // the giver's own timers wait for its release
	n.slow = make(chan struct{})
	path := filepath.Join(t.TempDir(), "slow")
	s, err := Serve(Settings{Path: path, Limits: limits}, n, c, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	t.Cleanup(s.Close)
	s.Stopping()
	take, events, heritage := taker(path, takersClock)
	require.Equal(t, `prepare {"k":1}`, <-events)
	require.Equal(t, "release", <-n.did)
	for !giverLeaves(take) {
		time.Sleep(time.Millisecond) // until it has read that the other one stops
	}
	take.Prepared()
	takersClock.Advance(10 * limits.Answer)
	require.NoError(t, n.listener.Close(), "the time of the process that stops is over")
	conn, err := net.Dial("tcp", (<-heritage).Sockets["north"].Addr().String())
	require.NoError(t, err, "clients can still connect")
	_ = conn.Close()
	close(n.slow)
	require.Equal(t, `accept {"k":1}`, <-events)
	require.Equal(t, "yield to itself: true", <-n.did)
}

// Guards against a new process that gives up since the one before, which has let go of its socket, takes long to die: it has answered
// all it owed, and nobody serves.
func TestTakerStartsAloneWhereTheGiverHasLeftItsPath(t *testing.T) {
	path := filepath.Join(t.TempDir(), "left")
	l, err := net.ListenUnix("unix", &net.UnixAddr{Net: "unix", Name: path})
	require.NoError(t, err)
	_, events, _ := taker(path, clock.NewManual(1e12))
	conn, err := l.AcceptUnix()
	require.NoError(t, err)
	require.NoError(t, l.Close(), "which removes the path")
	require.NoError(t, conn.Close(), "this process, which goes on living, has said nothing")
	require.Equal(t, "alone", <-events)
}

// Guards against a peer that changes anything by what it says: another protocol, frames that are none, frames that never
// end, descriptors that nobody asked for, versions of another time. Fields and types that a later release may send are
// read past.
func TestHostilePeers(t *testing.T) {
	path, n, s, c := running(t)
	frame := func(text string) []byte {
		return append(binary.BigEndian.AppendUint32(nil, uint32(len(text))), text...)
	}
	say := func(b ...[]byte) message {
		conn, _, err := dial(path)
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		for _, b := range b {
			_, _ = conn.Write(b)
		}
		_ = conn.CloseWrite()
		m, _, _ := wireOn(conn).read(time.Minute)
		return m
	}
	hello := func(more string) []byte {
		return frame(`{"type":"hello","min":1,"max":1,"want":"takeover"` + more + `}`)
	}
	for _, b := range [][]byte{[]byte("GET / HTTP/1.1\r\n\r\n"), {0xff, 0xff, 0xff, 0xff}, {0, 0, 0, 9, '{'}, frame("{"),
		frame("[]"), frame(`{"type":7}`), {}} {
		assert.Empty(t, say(b).Type, string(b))
	}
	for text, want := range map[string]string{
		`{"type":"ready"}`: "hello was wanted first",
		`{"type":"hello","min":3,"max":9,"want":"takeover"}`:   "it speaks versions 3 to 9, and versions 1 to 2 are spoken here",
		`{"type":"hello","want":"status"}`:                     "it speaks versions 0 to 0, and versions 1 to 2 are spoken here",
		`{"type":"hello","min":1,"max":1,"want":"everything"}`: `it wants "everything"`,
	} {
		assert.Equal(t, want, say(frame(text)).Reason)
	}
	m := say(hello(`,"max":3,"dance":[1],"min":0`), frame(`{"type":"later","x":{}}`), frame(`{"type":"mine"}`))
	assert.Equal(t, "state", m.Type, "one of the next release, which speaks this one's version too")
	assert.Equal(t, 2, m.Version)

	conn, _, err := dial(path)
	require.NoError(t, err)
	null, err := os.Open(os.DevNull)
	require.NoError(t, err)
	many := make([]int, maxFiles+1)
	for i := range many {
		many[i] = int(null.Fd())
	}
	_ = wireOn(conn).write(message{Type: "hello", Min: 1, Max: 1, Want: wantTakeover}, time.Second, many...)
	_, _, err = wireOn(conn).read(time.Minute)
	assert.Error(t, err)
	var mute []net.Conn
	for range 3 * maxPeers {
		conn, _, err := dial(path)
		require.NoError(t, err)
		mute = append(mute, conn)
	}
	for _, c := range mute {
		_ = c.Close()
	}
	for take, events, _ := taker(path, c); ; take, events, _ = taker(path, c) {
		if e := <-events; e == `prepare {"k":1}` {
			take.Prepared()
			break
		}
	}
	require.Equal(t, "release", <-n.did, "and a good one is served all the same")
	require.Equal(t, "yield to itself: true", <-n.did)
	assert.Empty(t, n.did)
	assert.True(t, s.Given())
}

// Guards against a frame of the first release that later ones read in another way: these are its bytes.
func TestFirstRelease(t *testing.T) {
	for want, text := range map[string]message{
		`{"type":"hello","min":1,"max":1,"want":"takeover","release":"0.2.0","pid":7}`: {Type: "hello", Min: 1, Max: 1,
			Want: "takeover", Release: "0.2.0", PID: 7},
		`{"type":"state","release":"0.2.0","pid":7,"version":1,"sockets":["north"],"knowledge":{}}`: {Type: "state",
			Version: 1, Release: "0.2.0", PID: 7, Sockets: []string{"north"}, Knowledge: []byte("{}")},
		`{"type":"ended","version":1,"unanswered":3}`: {Type: "ended", Version: 1, Unanswered: 3},
	} {
		have, err := json.Marshal(text)
		require.NoError(t, err)
		assert.Equal(t, want, string(have))
	}
}
