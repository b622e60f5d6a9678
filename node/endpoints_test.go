package node

import (
	"encoding/json"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/clock"
	"linenwheel.dev/linenwheel/internal/node/dispatch"
	"linenwheel.dev/linenwheel/internal/node/endpoints/agent"
	"linenwheel.dev/linenwheel/internal/node/endpoints/entryformat"
	"linenwheel.dev/linenwheel/internal/node/scenario"
)

// advanceUntil advances the node's clock until a condition holds.
func advanceUntil(t *testing.T, s *scenario.Stage, holds func() bool) {
	for end := time.Now().Add(time.Minute); !holds(); s.Clock.Advance(5) {
		require.True(t, time.Now().Before(end), "the condition never holds")
		time.Sleep(time.Millisecond)
	}
}

// Guards against a removal guard that is not applied to discovery where it should be, and against a second query
// that never comes, does not ask for the whole list, or is treated as an ordinary change.
func TestGuardBeforeDiscovery(t *testing.T) {
	o := DefaultOptions()
	o.Inventory.Guard.Discovery, o.Inventory.Guard.Wait.Ms = true, 1000
	s, n := startNode(t, Extras{Options: &o}, 1024, []string{"h1", "h2", "h3"})
	s.Run(begin("h1", "h2", "h3") + `
		d send 2 whole h1:Ready
		d expect /discovery/hosts?index=2&wait=2000`)
	assert.Equal(t, 3, n.Status().List.Serving)
	s.Run(`
		wait 1000
		d expect /discovery/hosts host=
		d send 2 whole h1:Ready
		d expect /discovery/hosts?index=2&wait=2000
		d send 3 changes h2:Ready h1:Terminating
		d expect /discovery/hosts?index=3&wait=2000
		a send POST /pay/1 id=q deadline=900
		r expect POST /pay/1 host=h2`)
	assert.Equal(t, ListStatus{Index: 3, Age: 0, Hosts: 2, Serving: 1,
		Sources: []SourceStatus{{Name: "discovery", Followed: true, Revision: "3", Hosts: 2}}}, n.Status().List)
}

// Guards against a list of etcd's agent or of files that does not reach the dispatcher, a drain that is delayed,
// and a start without any source that ignores the last good list.
func TestListOfSeveralSources(t *testing.T) {
	entries, dir := agent.NewStore("etcd"), t.TempDir()
	server := httptest.NewServer((&agent.Server{Store: entries, Clock: clock.NewSystem(), RequestReread: func() {}}).Handler())
	defer server.Close()
	o := DefaultOptions()
	o.Inventory.Trust = []string{"etcd", "files"}
	o.Inventory.Etcd.Agent = strings.TrimPrefix(server.URL, "http://")
	o.Inventory.Files.Path, o.Inventory.Last.Path = filepath.Join(dir, "list.json"), filepath.Join(dir, "last")
	s, n := startNode(t, Extras{Options: &o}, 1024, []string{"h1", "h2"})
	host := func(name string, status dispatch.Status) dispatch.Host {
		return dispatch.Host{Name: name, Address: s.Hosts[name], Zone: "z", Kind: "k", Status: status, Weight: 1}
	}
	entries.Apply(agent.Change{Whole: true, Epoch: "c1", Revision: 7, Hosts: []dispatch.Host{host("h1", dispatch.Ready), host("h2", dispatch.Ready)}})
	entries.MarkAvailable(1)
	advanceUntil(t, s, func() bool { return n.Status().List.Serving == 2 })
	entries.Apply(agent.Change{Epoch: "c1", Revision: 8, Hosts: []dispatch.Host{host("h1", dispatch.Draining)}})
	advanceUntil(t, s, func() bool { return n.Status().List.Serving == 1 })
	s.Run(`
		a send POST /pay/1 id=q deadline=900
		r expect POST /pay/1 host=h2
		r send 200
		a expect 200`)
	text, err := json.Marshal(map[string]any{"count": 2, "endpoints": []entryformat.Entry{entryformat.FromHost(host("h1", dispatch.Ready)), entryformat.FromHost(host("h2", dispatch.Draining))}})
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(o.Inventory.Files.Path, text, 0o600))
	advanceUntil(t, s, func() bool { return n.Status().List.Serving == 0 })
	s.Run(`
		wait 5
		a send POST /pay/1 id=q2 deadline=900
		a expect 503`)
	entries.Apply(agent.Change{Epoch: "c1", Revision: 9, Hosts: []dispatch.Host{host("h1", dispatch.Ready)}})
	advanceUntil(t, s, func() bool { return n.Status().List.Serving == 1 })
	advanceUntil(t, s, func() bool {
		kept, err := os.ReadFile(o.Inventory.Last.Path)
		return err == nil && strings.Contains(string(kept), `"number":9`)
	})
	server.Close()
	require.NoError(t, os.Remove(o.Inventory.Files.Path))
	second, m := startNode(t, Extras{Options: &o}, 1024, nil)
	advanceUntil(t, second, func() bool { return m.Status().List.Serving == 1 })
	advanceUntil(t, second, func() bool { return m.Status().Phase == "serving" })
	second.Run(`
		a send POST /pay/1 id=q3 deadline=900`)
	s.Run(`r expect POST /pay/1 host=h1`)
}

// Guards against a node that links libraries which only the etcd agent needs: they would more than double its
// memory when idle.
func TestNodeDoesNotLinkGRPC(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", "linenwheel.dev/linenwheel/cmd/linenwheel").Output()
	require.NoError(t, err)
	assert.Contains(t, string(out), "\nlinenwheel.dev/linenwheel/internal/node/endpoints/discovery\n")
	for _, much := range []string{"google.golang.org/grpc", "google.golang.org/protobuf", "go.etcd.io/etcd", "net/http\n"} {
		assert.NotContains(t, string(out), "\n"+much)
	}
}
