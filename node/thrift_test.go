package node

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	official "github.com/apache/thrift/lib/go/thrift"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/codec/thrift"
	"linenwheel.dev/linenwheel/internal/codec/thrift/mapping"
	"linenwheel.dev/linenwheel/internal/node/dispatch"
	"linenwheel.dev/linenwheel/internal/node/options"
	"linenwheel.dev/linenwheel/internal/node/scenario"
	"linenwheel.dev/linenwheel/lab/thriftpeers"
)

// startThrift starts a node that speaks Thrift on both sides, with hosts given by their addresses and protocols.
func startThrift(t *testing.T, south thriftpeers.Form, cross bool, hosts map[string]string) (*scenario.Stage, *Node) {
	o := DefaultOptions()
	o.North.Thrift.Listen, o.North.Thrift.Service = scenario.Loopback(t)+":0", "Rating"
	o.North.Thrift.Methods = []options.ThriftMethod{{Name: "postCharge", Class: "pay"}, {Name: "capAlert", Class: "alert"},
		{Name: "note", Class: "pay", OneWay: true}}
	o.South.Thrift.Protocol, o.South.Thrift.Transport, o.South.Thrift.Cross = south.Protocol, south.Transport, cross
	s, n := startNode(t, Extras{Options: &o}, 1024, []string{"h1"})
	var list []dispatch.Host
	for address, protocol := range hosts {
		if address == "h1" {
			address = s.Hosts["h1"]
		}
		list = append(list, dispatch.Host{Name: "host " + address, Address: address, Zone: "z", Kind: "k", Protocol: protocol, Weight: 1})
	}
	n.updateEndpoints(dispatch.Stored, list)
	return s, n
}

// startBackend starts a backend that answers as the body asks for, and sends the requests that it received on the
// channel.
func startBackend(t *testing.T, f thriftpeers.Form) (*thriftpeers.Rater, chan thriftpeers.Heard) {
	heard := make(chan thriftpeers.Heard, 16)
	r, err := thriftpeers.Listen(f, func(h thriftpeers.Heard) (thriftpeers.Result, error) {
		heard <- h
		switch h.Args.Body {
		case "fail":
			return thriftpeers.Result{Failed: true}, nil
		case "break":
			return thriftpeers.Result{}, fmt.Errorf("broken")
		case "hang up":
			return thriftpeers.Result{}, thriftpeers.ErrHangUp
		}
		return thriftpeers.Result{Value: "did-" + h.Args.Body}, nil
	})
	require.NoError(t, err)
	t.Cleanup(r.Close)
	return r, heard
}

// Guards, with the official library, for every form towards clients and towards backends, against a call that is
// changed on its way, a result that belongs to another call, and an outcome reported as another.
func TestThriftInEveryForm(t *testing.T) {
	for i, south := range thriftpeers.Forms {
		for j, north := range thriftpeers.Forms {
			t.Run(fmt.Sprint(north, " to ", south), func(t *testing.T) {
				r, heard := startBackend(t, south)
				_, n := startThrift(t, south, false, map[string]string{r.Address(): "thrift", "h1": ""})
				c, err := thriftpeers.Dial(n.ThriftAddress(), north)
				require.NoError(t, err)
				defer c.Close()
				args := thriftpeers.Args{ID: "q1", Deadline: 900, Owner: "t", Retry: true, Body: "a record"}
				for _, name := range []string{"postCharge", "Rating:postCharge", "postCharge"} {
					got, err := c.Call(name, &args)
					require.NoError(t, err)
					require.Equal(t, thriftpeers.Result{Value: "did-a record"}, got)
					h := <-heard
					assert.Equal(t, name, h.Method)
					assert.LessOrEqual(t, h.Args.Deadline, int32(900))
					h.Args.Deadline = 900
					assert.Equal(t, args, h.Args)
				}
				for _, bad := range []struct {
					method string
					args   thriftpeers.Args
					kind   int32
				}{
					{"dropTables", args, official.UNKNOWN_METHOD},
					{"capAlert", args, official.PROTOCOL_ERROR}, // no key
					{"postCharge", thriftpeers.Args{ID: "q", Body: "x"}, official.PROTOCOL_ERROR},
					{"postCharge", thriftpeers.Args{ID: "a b", Deadline: 900}, official.PROTOCOL_ERROR},
				} {
					_, err := c.Call(bad.method, &bad.args)
					var x official.TApplicationException
					require.ErrorAs(t, err, &x)
					assert.Equal(t, bad.kind, x.TypeId(), bad.method)
				}
				require.NoError(t, c.Tell("note", &args))
				assert.True(t, (<-heard).OneWay)
				got, err := c.Call("capAlert", &thriftpeers.Args{ID: "q3", Deadline: 900, Key: "k", Body: "after a one-way call"})
				require.NoError(t, err)
				require.Equal(t, "did-after a one-way call", got.Value)
				<-heard
				// A host that fails is avoided for a while, so each pair tests one way to fail.
				body := []string{"fail", "break", "hang up"}[(i+j)%3]
				got, err = c.Call("postCharge", &thriftpeers.Args{ID: "q4", Deadline: 900, Body: body})
				require.NoError(t, err)
				assert.True(t, got.Failed, "%s: %+v", body, got)
				<-heard
			})
		}
	}
}

// Guards against calls that are changed when they cross protocols, and refusals and failures that change their
// meaning.
func TestCallsCross(t *testing.T) {
	r, heard := startBackend(t, thriftpeers.Forms[1])
	s, _ := startThrift(t, thriftpeers.Forms[1], true, map[string]string{r.Address(): "thrift"})
	s.Run(`a send POST /pay/1 id=q1 deadline=900 owner=t body=hello`)
	h := <-heard
	assert.Equal(t, thriftpeers.Args{ID: "q1", Deadline: h.Args.Deadline, Owner: "t", Body: "hello"}, h.Args)
	s.Run(`
		a expect 200 body=did-hello
		a send POST /pay/1 id=q2 deadline=900 body=fail
		a expect 502
		a send POST /nowhere/1 id=q2 deadline=900 body=fail
		a expect 404`)
	<-heard

	s, n := startThrift(t, thriftpeers.Forms[0], true, map[string]string{"h1": ""})
	c, err := thriftpeers.Dial(n.ThriftAddress(), thriftpeers.Forms[3])
	require.NoError(t, err)
	defer c.Close()
	for _, answer := range []struct {
		method, key, path, sent string
		want                    thriftpeers.Result
	}{{"capAlert", "k", "/alert", "200 body=done", thriftpeers.Result{Value: "done"}},
		{"postCharge", "", "/pay", "500", thriftpeers.Result{Failed: true}}} {
		got := make(chan thriftpeers.Result, 1)
		go func() {
			result, err := c.Call(answer.method, &thriftpeers.Args{ID: "q1", Deadline: 500, Owner: "t", Key: answer.key, Body: "hello"})
			assert.NoError(t, err)
			got <- result
		}()
		s.Run(`
			r expect POST ` + answer.path + ` id=q1 deadline=500 key=` + answer.key + ` owner=t body=hello
			r send ` + answer.sent)
		result := <-got
		result.Reason = ""
		assert.Equal(t, answer.want, result, answer.sent)
	}
}

// wire is a connection on which the test writes calls byte by byte.
type wire struct {
	t    *testing.T
	conn net.Conn
	in   *thrift.Reader
}

func dialWire(t *testing.T, n *Node) *wire {
	conn, err := net.Dial("tcp", n.ThriftAddress())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(time.Minute)))
	return &wire{t, conn, thrift.NewReader(thrift.DefaultLimits)}
}

func frame(seq int32, id, body string) []byte {
	m := mapping.Compose("postCharge", mapping.Info{ID: []byte(id), Deadline: 900}, []byte(body))
	return thrift.Append(nil, thrift.Outgoing{Message: m, Seq: seq})
}

func (w *wire) send(data ...[]byte) {
	for _, d := range data {
		_, err := w.conn.Write(d)
		require.NoError(w.t, err)
	}
}

// result returns the next result that arrives.
func (w *wire) result() *thrift.Message {
	buf := make([]byte, 4096)
	for {
		m, err := w.in.Next()
		require.NoError(w.t, err)
		if m != nil {
			return m
		}
		n, err := w.conn.Read(buf)
		require.NoError(w.t, err)
		w.in.Feed(buf[:n])
	}
}

// rest returns what arrives until the connection ends.
func (w *wire) rest() string {
	text, err := io.ReadAll(w.conn)
	require.NoError(w.t, err)
	return string(text)
}

// Guards against results that wait for other calls or get another call's sequence id, two calls with one id that
// are open at once, and a call in pieces that is read as several.
func TestThriftCallsOnOneConnection(t *testing.T) {
	release := map[string]chan struct{}{"slow": make(chan struct{}), "same": make(chan struct{})}
	begun := make(chan string, 8)
	r, err := thriftpeers.Listen(thriftpeers.Forms[0], func(h thriftpeers.Heard) (thriftpeers.Result, error) {
		begun <- h.Args.ID
		if wait := release[h.Args.Body]; wait != nil {
			<-wait
		}
		return thriftpeers.Result{Value: h.Args.ID}, nil
	})
	require.NoError(t, err)
	t.Cleanup(r.Close)
	_, n := startThrift(t, thriftpeers.Forms[0], false, map[string]string{r.Address(): "thrift"})
	w := dialWire(t, n)
	w.send(frame(7, "first", "slow"), frame(8, "second", ""))
	m := w.result()
	assert.Equal(t, "8 second", fmt.Sprint(m.Seq, " ", string(mapping.Body(m))), "the second call does not wait for the first")
	w.send(frame(7, "third", ""))
	for range 2 {
		assert.Contains(t, []string{"first", "second"}, <-begun)
	}
	close(release["slow"])
	m = w.result()
	assert.Equal(t, "7 first", fmt.Sprint(m.Seq, " ", string(mapping.Body(m))))
	m = w.result()
	assert.Equal(t, "7 third", fmt.Sprint(m.Seq, " ", string(mapping.Body(m))))
	assert.Equal(t, "third", <-begun)
	whole := frame(9, "pieces", "")
	for i := range whole {
		w.send(whole[i : i+1])
	}
	m = w.result()
	assert.Equal(t, "9 pieces", fmt.Sprint(m.Seq, " ", string(mapping.Body(m))))
	assert.Equal(t, "pieces", <-begun)

	// A call whose client leaves is counted as Left.
	w.send(frame(10, "leaves", "same"))
	assert.Equal(t, "leaves", <-begun)
	require.NoError(t, w.conn.Close())
	require.Eventually(t, func() bool { return n.unanswered() == 0 }, time.Minute, time.Millisecond)
	close(release["same"])
	for _, e := range n.Endings() {
		if e.Kind == Left {
			assert.EqualValues(t, 1, e.Calls)
		}
	}
}

// Guards against bytes that are not Thrift reaching a backend or blocking the connection, a call that never
// becomes complete, and one above the size limit.
func TestMalformedThrift(t *testing.T) {
	r, heard := startBackend(t, thriftpeers.Forms[0])
	s, n := startThrift(t, thriftpeers.Forms[0], false, map[string]string{r.Address(): "thrift"})
	w := dialWire(t, n)
	w.send([]byte("GET /up HTTP/1.1\r\nHost: x\r\n\r\n"))
	buf := make([]byte, 12)
	_, err := io.ReadFull(w.conn, buf)
	require.NoError(t, err)
	assert.Equal(t, "HTTP/1.1 400", string(buf))
	s.Clock.Advance(600)
	assert.Contains(t, w.rest(), "Thrift is spoken here")

	w = dialWire(t, n)
	w.send(frame(1, "good", "x"), []byte{0, 0x7f, 0xff, 0xff, 0x80, 1, 0, 1}) // the head of a frame of 8 MB
	m := w.result()
	assert.Equal(t, "did-x", string(mapping.Body(m)))
	m = w.result()
	assert.Equal(t, thrift.Exception, m.Type)
	s.Clock.Advance(600)
	assert.Empty(t, w.rest())

	w = dialWire(t, n)
	whole := frame(2, "half", "x")
	w.send(frame(1, "before", "x"), whole[:len(whole)-3])
	assert.Equal(t, "did-x", string(mapping.Body(w.result())))
	over, ended := make(chan struct{}), make(chan struct{})
	go func() { // the time limit starts when the node sees the half call, which may be after this
		defer close(ended)
		for {
			s.Clock.Advance(500)
			n.thrift.front.Sweep()
			select {
			case <-over:
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
	}()
	assert.Equal(t, thrift.Exception, w.result().Type)
	assert.Empty(t, w.rest())
	close(over)
	<-ended
	assert.Len(t, heard, 2, "nothing that could not be read reached a backend")
}

// Guards against a stop that interrupts calls or waits for connections without any.
func TestThriftStops(t *testing.T) {
	release := make(chan struct{})
	begun := make(chan struct{}, 1)
	r, err := thriftpeers.Listen(thriftpeers.Forms[0], func(thriftpeers.Heard) (thriftpeers.Result, error) {
		begun <- struct{}{}
		<-release
		return thriftpeers.Result{Value: "late"}, nil
	})
	require.NoError(t, err)
	t.Cleanup(r.Close)
	s, n := startThrift(t, thriftpeers.Forms[0], false, map[string]string{r.Address(): "thrift"})
	idle, busy := dialWire(t, n), dialWire(t, n)
	require.Eventually(t, func() bool { return n.thrift.front.Connections() == 2 }, time.Minute, time.Millisecond)
	s.Stop()
	s.Clock.Advance(500)
	s.Clock.Advance(1400)
	busy.send(frame(1, "open", "")) // on an open connection it is still admitted
	<-begun
	s.Clock.Advance(50)
	assert.Empty(t, idle.rest())
	close(release)
	assert.Equal(t, "late", string(mapping.Body(busy.result())))
	assert.Empty(t, busy.rest())
	var ended error
	require.Eventually(t, func() bool {
		s.Clock.Advance(10)
		select {
		case ended = <-s.Ended:
			return true
		default:
			return false
		}
	}, time.Minute, time.Millisecond)
	require.NoError(t, ended)
}

// Guards against a client that waits for room in the connection table until idle clients that occupy all of it
// reach their time limit.
func TestEvictionMakesRoomForThriftClients(t *testing.T) {
	r, _ := startBackend(t, thriftpeers.Forms[0])
	s, n := startThrift(t, thriftpeers.Forms[0], false, map[string]string{r.Address(): "thrift"})
	s.Run("d expect /discovery/hosts") // the node runs, and its sweeps are scheduled
	n.thrift.loop.Resize(2)
	first, second := dialWire(t, n), dialWire(t, n)
	first.send(frame(1, "asked", "x"))
	assert.Equal(t, "did-x", string(mapping.Body(first.result())))
	require.Eventually(t, func() bool { return n.thrift.front.Connections() == 2 }, time.Minute, time.Millisecond)
	late := dialWire(t, n)
	late.send(frame(1, "waits", "y"))
	require.Eventually(t, n.thrift.loop.Full, time.Minute, time.Millisecond)
	pulse, err := n.thrift.loop.Pulse()
	require.NoError(t, err)
	pulse.Beat(t.Context()) // the poller is done with the others
	s.Clock.Advance(100)    // the next sweep
	assert.Equal(t, "did-y", string(mapping.Body(late.result())))
	assert.Empty(t, second.rest(), "it never sent a request")
	first.send(frame(2, "again", "z"))
	assert.Equal(t, "did-z", string(mapping.Body(first.result())))
}

// Guards against a stopping node that still accepts Thrift clients because an HTTP client waits for room in the
// connection table.
func TestThriftStopsAcceptingIndependently(t *testing.T) {
	s, n := startThrift(t, thriftpeers.Forms[0], true, map[string]string{"h1": ""})
	n.loop.Resize(1)
	s.Run("a send " + pay + "\n r expect POST /pay/1")
	waits, err := net.Dial("tcp", s.Address())
	require.NoError(t, err)
	defer waits.Close()
	require.Eventually(t, n.loop.Full, time.Minute, time.Millisecond)
	s.Stop()
	s.Clock.Advance(500)
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", n.ThriftAddress())
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	}, time.Minute, 20*time.Millisecond)
	s.Run("r send 200 body=ok\n a expect 200 body=ok")
}
