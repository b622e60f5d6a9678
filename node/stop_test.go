package node

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/node/scenario"
)

// Each of these combines a stop signal with something that a client does at that moment. By the platform's times
// the node stops as follows: it stops accepting at 500 ms, admits the last calls at 1950 ms, and sends the final
// responses at 2550 ms.
var stopScenarios = []struct {
	guards string
	hosts  []string
	steps  string
}{
	{"an accepted connection without a request yet being closed by the signal", []string{"h1"}, `
		a send raw ""
		b send GET /up
		b expect 200
		node close
		wait 500
		a send POST /pay/1 id=q deadline=900
		r expect POST /pay/1
		r send 200 body=ok
		a expect 200 body=ok Connection=`},
	{"a request whose body arrives after the signal being lost", []string{"h1"}, `
		a send raw "POST /pay/1 HTTP/1.1\r\nHost: x\r\nReq-Id: q\r\nReq-Deadline-Ms: 900\r\nContent-Length: 2\r\n\r\nh"
		b send GET /up
		b expect 200
		node close
		wait 500
		a send raw "i"
		r expect POST /pay/1 body=hi
		r send 200 body=ok
		a expect 200 body=ok Connection=`},
	{"a request whose body arrives after the last admission being lost or sent on", []string{"h1"}, `
		b send GET /up
		b expect 200
		node close
		wait 500
		wait 1400
		b send raw "POST /pay/1 HTTP/1.1\r\nHost: x\r\nReq-Id: q\r\nReq-Deadline-Ms: 900\r\nContent-Length: 2\r\n\r\nh"
		wait 600
		b send raw "i"
		b expect 503 Connection=close
		b expect close
		node expect end`},
	{"a request on an idle connection that has been closed already being sent on", []string{"h1"}, `
		a send GET /up
		a expect 200
		node close
		wait 500
		wait 1450
		a expect close
		a send POST /pay/1 id=q deadline=900
		node expect end`},
	{"a node that does not end, or reports ready, because discovery has not answered since its start", nil, `
		a send GET /up
		a expect 503
		node close
		wait 500
		b expect refused
		a send GET /up
		a expect 503
		wait 900
		a send GET /up
		a expect 503
		wait 550
		a expect close
		node expect end`},
}

func TestStopAtSensitiveMoments(t *testing.T) {
	for _, c := range stopScenarios {
		t.Run(c.guards, func(t *testing.T) {
			s, n := startNode(t, Extras{}, 1024, c.hosts)
			if len(c.hosts) > 0 {
				s.Run(begin(c.hosts...))
			} else {
				s.Run("d expect /discovery/hosts")
			}
			s.Run(c.steps)
			for _, e := range n.Endings() {
				require.LessOrEqual(t, e.Calls, uint64(1), "only the one request is admitted")
			}
		})
	}
}

// Guards against two final responses, or none, for a call whose host answers at the moment when the node gives all
// open calls their final response.
func TestAnswerConcurrentWithFinalResponses(t *testing.T) {
	for range 20 {
		s, _ := startNode(t, Extras{}, 1024, []string{"h1"})
		s.Run(begin("h1") + `
			b send ` + pay + `
			r expect POST /pay/1
			r send 200 body=ok
			b expect 200
			wait 5`)
		client, err := net.Dial("tcp", s.Address())
		require.NoError(t, err)
		defer client.Close()
		s.Run("node close\nwait 500\nwait 2000")
		_, err = io.WriteString(client, "POST /pay/2 HTTP/1.1\r\nHost: x\r\nReq-Id: q2\r\nReq-Deadline-Ms: 900\r\nContent-Length: 0\r\n\r\n")
		require.NoError(t, err)
		s.Run("r expect POST /pay/2")
		var both sync.WaitGroup
		both.Go(func() { s.Clock.Advance(50) })
		both.Go(func() { s.Run("r send 200 body=yes") })
		both.Wait()
		require.NoError(t, client.SetReadDeadline(time.Now().Add(time.Minute)))
		have, err := io.ReadAll(client)
		require.NoError(t, err)
		require.Equal(t, 1, strings.Count(string(have), "HTTP/1.1 "), string(have))
		require.Regexp(t, "^HTTP/1.1 (200|502) ", string(have))
		s.Run("b expect close")
		s.Run("node expect end") // with no call unanswered
	}
}

// asking turns the settings into those of a fleet of 300 whose list is sent only on request.
func asking(s string) string {
	return strings.NewReplacer(`"group_size":1`, `"group_size":300,"discovery":"ask"`,
		`"drain_grace_s":0.5`, `"drain_grace_s":0.5,"ask_within_s":30`).Replace(s)
}

// Guards against a node that is not ready within 10 s because of discovery or the hosts: /up returns 503 until the
// first query for the list has ended, successfully or not, and 200 from then on, and calls are served from the
// list that is known.
func TestReadyWithFailingDiscovery(t *testing.T) {
	const called = "d expect /discovery/hosts\n a send GET /up\n a expect 503\n"
	for _, c := range []struct {
		discovery, steps string
		ask              bool
		wait             float64 // until the node is ready
	}{
		{discovery: "down"},
		{discovery: "down", ask: true},
		{"silent", called, false, 1000},
		{"silent", called, true, 1500},
		{"silent in its answer", called + `d send raw "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{"`, false, 1000},
		{"garbage", called + `d send raw "\x16\x03\x01\r\n\r\n"`, false, 0},
		{"garbage in its answer", called + `d send raw "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n[1,2]"`, true, 0},
		{"reset", called + "d close", false, 0},
		{"reset", called + "d close", true, 0},
		{"an error", called + `d send raw "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"`, false, 0},
	} {
		for _, known := range [][]string{nil, {"h1"}} {
			t.Run(fmt.Sprint(c.discovery, c.ask, known), func(t *testing.T) {
				s, n := startTuned(t, Extras{}, 1024, func(s *scenario.Stage, conf map[string]any) {
					if c.discovery == "down" {
						s.Discovery = s.Hosts["dead"]
					}
					if c.ask {
						conf["settings"] = json.RawMessage(asking(settings))
					}
				}, []string{"h1"}, known...)
				if !c.ask || known == nil { // otherwise it starts with the known list
					s.Run(c.steps)
					if c.wait > 0 {
						s.Clock.Advance(c.wait - 1)
						s.Run("e send GET /up\n e expect 503")
						s.Clock.Advance(1)
					}
				}
				isReady(t, n)
				s.Run("b send GET /up\n b expect 200")
				if known != nil { // while the host does not answer
					s.Run("c send " + pay + "\n r expect POST /pay/1\n b send GET /up\n b expect 200")
				}
			})
		}
	}
}

func isReady(t *testing.T, n *Node) {
	select {
	case <-n.Ready():
	case <-time.After(time.Minute):
		require.Fail(t, "the node does not become ready")
	}
}

// Guards against nodes that wait for each other's queries when many are started at once while discovery does not
// answer.
func TestManyNodesAreReadyWhileDiscoveryDoesNotAnswer(t *testing.T) {
	for i := range 20 {
		s, n := startTuned(t, Extras{}, 256, func(_ *scenario.Stage, conf map[string]any) {
			conf["name"] = fmt.Sprint("n", i)
			conf["settings"] = json.RawMessage(strings.Replace(asking(settings), `"my_number":0`, fmt.Sprintf(`"my_number":%d`, i), 1))
		}, nil)
		s.Run("d expect /discovery/hosts")
		s.Clock.Advance(1500)
		isReady(t, n)
		s.Run("a send GET /up\n a expect 200")
	}
}

// Guards against a client that, while the node stops, waits for room in the connection table until idle clients
// that occupy all of it reach their time limit: it would be refused by then.
func TestFullTableMakesRoomWhileTheNodeStops(t *testing.T) {
	s, n := startNode(t, Extras{}, 1024, []string{"h1"})
	n.loop.Resize(3)
	s.Run(begin("h1") + `
		a send GET /up
		a expect 200
		b send GET /up
		b expect 200
		c send GET /up
		c expect 200
		node close
		e send POST /pay/1 id=q deadline=900`)
	require.Eventually(t, n.loop.Full, time.Minute, time.Millisecond)
	pulse, err := n.loop.Pulse()
	require.NoError(t, err)
	pulse.Beat(t.Context()) // the poller is done with the others
	s.Run(`
		wait 100
		r expect POST /pay/1
		r send 200 body=ok
		e expect 200 body=ok Connection=`)
}
