package admin

import (
	"errors"
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// desk is a node that says what it was told.
type desk struct{ told []string }

func (d *desk) note(what string) error {
	d.told = append(d.told, what)
	if what == "suspend nobody" {
		return fmt.Errorf("%w: %q", ErrUnknown, "nobody")
	}
	return nil
}
func (d *desk) Readyz() error              { return errors.New("starting") }
func (d *desk) Metrics() ([]byte, error)   { return []byte(`{"in_flight":0}`), nil }
func (d *desk) Suspend(r string) error     { return d.note("suspend " + r) }
func (d *desk) Resume(r string) error      { return d.note("resume " + r) }
func (d *desk) Drain() error               { return d.note("drain") }
func (d *desk) Activate() error            { return d.note("activate") }
func (d *desk) Knowledge() ([]byte, error) { return []byte("known"), nil }

func open(t *testing.T) (*desk, func(text string) string) {
	node := &desk{}
	d, err := Open("127.0.0.1:0", node)
	require.NoError(t, err)
	t.Cleanup(d.Close)
	return node, func(text string) string {
		c, err := net.Dial("tcp", d.Address())
		require.NoError(t, err)
		defer c.Close()
		_, err = io.WriteString(c, text)
		require.NoError(t, err)
		answer, err := io.ReadAll(c)
		require.NoError(t, err)
		return string(answer)
	}
}

// Guards against a call that is answered with another one's yes, and against what is no call being answered with one.
func TestCalls(t *testing.T) {
	node, ask := open(t)
	for _, one := range []struct{ call, status string }{
		{"GET /v1/readyz", "503"}, {"GET /v1/metrics", "200"}, {"HEAD /v1/metrics", "200"}, {"GET /v1/node/knowledge", "200"}, {"POST /v1/node/knowledge", "405"}, {"POST /v1/metrics", "405"},
		{"POST /v1/node/drain", "200"}, {"GET /v1/node/drain", "405"}, {"POST /v1/node/activate", "200"},
		{"POST /v1/raters/s%2d1/suspend", "200"}, {"POST /v1/raters/s-1/resume?x=1", "200"}, {"POST /v1/raters/nobody/suspend", "404"},
		{"POST /v1/raters/s-1", "404"}, {"POST /v1/raters/s-1/other", "404"}, {"GET /up", "404"}, {"GET /v1/readyz/", "404"},
		{"GET  /v1/readyz", "400"},
	} {
		assert.Contains(t, ask(one.call+" HTTP/1.1\r\nHost: x\r\n\r\n"), "HTTP/1.1 "+one.status+" ", one.call)
	}
	assert.Contains(t, ask("POST /v1/node/drain HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n"), "HTTP/1.1 413 ")
	assert.Equal(t, []string{"drain", "activate", "suspend s-1", "resume s-1", "suspend nobody"}, node.told)
}

// Guards against callers that say nothing, or half a call, and shut out one that has something to say.
func TestSilentCallersMakeRoom(t *testing.T) {
	_, ask := open(t)
	node := &desk{}
	d, err := Open("127.0.0.1:0", node)
	require.NoError(t, err)
	defer d.Close()
	var silent []net.Conn
	for i := range 5 * mostCallers {
		c, err := net.Dial("tcp", d.Address())
		require.NoError(t, err)
		defer c.Close()
		if i%2 == 0 {
			_, err = io.WriteString(c, "GET /v1/readyz HTTP/1.1\r\nHo")
			require.NoError(t, err)
		}
		silent = append(silent, c)
	}
	c, err := net.Dial("tcp", d.Address())
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "GET /v1/metrics HTTP/1.1\r\nHost: x\r\n\r\n")
	require.NoError(t, err)
	answer, err := io.ReadAll(c)
	require.NoError(t, err)
	assert.Contains(t, string(answer), `{"in_flight":0}`)
	_, err = silent[0].Read(make([]byte, 1))
	assert.Error(t, err, "the one that was silent longest made room")
	assert.Contains(t, ask("GET /v1/metrics HTTP/1.1\r\nHost: x\r\n\r\n"), "200")
}
