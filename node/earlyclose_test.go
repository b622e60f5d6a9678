package node

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a request being started after its client has closed: hundreds of clients have sent a request and
// closed before the node accepts any of them, so that it reads each request and the end of its connection
// together.
func TestClientsThatCloseBeforeAcceptStartNoRequest(t *testing.T) {
	s, n := startNode(t, Extras{Hold: true}, 1024, []string{"h1"}, "h1")
	s.Run("d expect /discovery/hosts\n d send 1 whole h1:Ready\n d expect /discovery/hosts?index=1&wait=2000")
	for i := range 200 {
		c, err := net.Dial("tcp", s.Address())
		require.NoError(t, err)
		_, err = fmt.Fprintf(c, "GET /look/gone HTTP/1.1\r\nHost: x\r\nReq-Id: gone%d\r\nReq-Deadline-Ms: 900\r\n\r\n", i)
		require.NoError(t, err)
		require.NoError(t, c.Close())
	}
	n.StartAccepting()
	require.Eventually(t, func() bool {
		ended := uint64(0)
		for _, e := range n.Endings() {
			ended += e.Calls
		}
		return ended == 200 && n.unanswered() == 0
	}, time.Minute, time.Millisecond)
	// A later request must be the first that the host receives.
	s.Run(`
		a send GET /look/stays id=q deadline=900
		r expect GET /look/stays id=q
		r send 200 body=ok
		a expect 200 body=ok`)
	s.Run(`
		wait 5
		a send GET /look/again id=q2 deadline=900
		s expect GET /look/again id=q2`)
}
