package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/loopback"
	"linenwheel.dev/linenwheel/internal/node/statedir"
	"linenwheel.dev/linenwheel/node"
)

// free is an address at which nobody listens.
func free() string { return must(loopback.FreeAddress()) }

// withDead has discovery name a further rater, which refuses connections.
func (s *site) withDead() {
	r := must(http.Get("http://" + s.discovery)) //nolint:bodyclose // it is closed below; must hides it
	text := string(must(io.ReadAll(r.Body)))
	_ = r.Body.Close()
	text = strings.Replace(text, `"endpoints":[`, fmt.Sprintf(`"endpoints":[{"name":"dead","address":%q,"zone":"z","type":"k",
		"group":0,"status":"Ready","weight":1,"since_ms":0},`, free()), 1)
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("wait") {
			<-r.Context().Done()
			return
		}
		_, _ = io.WriteString(w, text)
	}))
	s.t.Cleanup(func() { discovery.CloseClientConnections(); discovery.Close() })
	s.discovery = discovery.Listener.Addr().String()
}

// another starts a node with a name of its own and a table [state], and gives how it sees the raters when it is ready.
func (s *site) another(name, state string, lines ...string) (hosts map[string]node.HostStatus, p *process) {
	socket := filepath.Join(s.dir, name+".sock")
	s.write(name+".json", strings.Replace(s.config("127.0.0.1:0"), `"n1"`, fmt.Sprintf("%q", name), 1))
	s.write(name+".toml", fmt.Sprintf("[takeover]\nsocket = %q\n[state]\n%s", socket, state))
	p = s.start(fmt.Sprintf("serve -config %s -options %s", filepath.Join(s.dir, name+".json"), filepath.Join(s.dir, name+".toml")))
	for _, line := range lines {
		p.await(line)
	}
	p.await("the node is ready")
	hosts = map[string]node.HostStatus{}
	for _, h := range s.statusAt(socket).Hosts {
		hosts[h.Name] = h
	}
	return hosts, p
}

// Guards against a new node that begins as if nobody knew anything though a running one could tell it, with no state of its own or
// an old one; against one that takes orders with it; and against one that does not start, starts late or is silent about it where
// the doors that it asks are deaf, those of an older release, or tell what is torn.
func TestNewNodeLearns(t *testing.T) {
	s := newSite(t)
	s.withDead()
	s.write("n1.json", s.config(s.address))
	door := free()
	first := s.start("serve", "ROUTER_CONTROL="+door)
	first.await("the node is ready")
	const guess = 11999.0 // ms; a fifth of the aim, the idle latency of one that knows nothing
	for dead, well := false, false; !dead || !well; {
		s.served()
		for _, h := range s.status().Hosts {
			dead = dead || h.Name == "dead" && h.Health != "well"
			well = well || h.Name == "r" && h.Idle < guess
		}
	}
	code, said := s.call(door, "POST", "/v1/node/drain")
	require.Equal(t, 200, code, said)
	code, state := s.call(door, "GET", "/v1/node/knowledge")
	require.Equal(t, 200, code)
	known, err := statedir.Decode([]byte(state))
	require.NoError(t, err)

	empty, _ := s.another("n2", "")
	require.Equal(t, "well", empty["dead"].Health)
	require.InDelta(t, 0.5, empty["dead"].Share, 0.01)
	require.Greater(t, empty["r"].Idle, guess)

	const begins = `msg="warm start with state from another node"`
	from := fmt.Sprintf("from = [%q]\nfrom_wait = \"30s\"\n", door) // however slow the machine is
	learned, third := s.another("n3", from, begins)
	require.NotEqual(t, "well", learned["dead"].Health)
	require.Zero(t, learned["dead"].Share)
	require.Less(t, learned["r"].Idle, guess)
	third.signal(syscall.SIGTERM)
	require.Zero(t, third.end())
	require.NotContains(t, strings.Join(third.seen, " "), "drained", "that is the other one's order")

	var k node.Knowledge // a state of its own, of a time when all was well
	require.NoError(t, json.Unmarshal(known.Knowledge, &k))
	known.Node, k.Node, known.Saved, k.At, k.Dispatcher.Module.TakenAt = "n4", "n4", known.Saved-60e3, k.At-60e3, k.Dispatcher.Module.TakenAt-60e9
	for i := range k.Dispatcher.Module.Backends {
		k.Dispatcher.Module.Backends[i].Ejected, k.Dispatcher.Module.Backends[i].EjectedUntil = false, 0
	}
	k.Dispatcher.Module.Zones = nil
	known.Knowledge = must(json.Marshal(k))
	dir := t.TempDir()
	require.NoError(t, statedir.WriteFileAtomic(filepath.Join(dir, "state"), must(statedir.Encode(known))))
	learned, _ = s.another("n4", fmt.Sprintf("directory = %q\n%s", dir, from), "how the last process ended", begins)
	require.NotEqual(t, "well", learned["dead"].Health)

	deaf := must(net.Listen("tcp", "127.0.0.1:0"))
	defer deaf.Close()
	old := httptest.NewServer(http.NotFoundHandler())
	defer old.Close()
	torn := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, state[:len(state)/2]) }))
	defer torn.Close()
	for _, of := range []struct {
		name, doors, wait string
		says              []string
	}{
		{"n5", fmt.Sprintf("%q", deaf.Addr()), "600ms", []string{"deadline exceeded"}},
		{"n6", fmt.Sprintf("%q, %q", old.Listener.Addr(), torn.Listener.Addr()), "30s", []string{"it answers 404", "it is torn"}},
	} {
		got, p := s.another(of.name, fmt.Sprintf("from = [%s]\nfrom_wait = %q\n", of.doors, of.wait), `msg="no other node tells what it knows`)
		require.InDelta(t, 0.5, got["dead"].Share, 0.01)
		lines := strings.Join(p.seen, "\n")
		require.Equal(t, len(of.says), strings.Count(lines, `msg="another node does not tell what it knows"`), lines)
		for _, say := range of.says {
			require.Contains(t, lines, say)
		}
	}
}
