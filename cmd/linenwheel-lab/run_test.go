package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/node"
)

// nodeVariable makes this test's own program run a node in place of the tests.
const nodeVariable = "LAB_TEST_NODE"

func TestMain(m *testing.M) {
	if os.Getenv(nodeVariable) == "" {
		os.Exit(m.Run())
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	conf, err := node.Load(os.Getenv)
	if err == nil {
		var n *node.Node
		if n, err = node.New(conf, node.Extras{}); err == nil {
			err = n.Run(ctx)
		}
	}
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// TestShortDay plays the node on sockets for some seconds, with raters that reset, die and are back cold, and a node that is stopped
// under load. It guards against a live side or a node that breaks a rule there, or serves nothing. It asks for rules and answers
// alone, never for times. Where a rule breaks while the lab itself falls behind, that says nothing and the day is played again.
func TestShortDay(t *testing.T) {
	self, err := os.Executable()
	require.NoError(t, err)
	file := filepath.Join(t.TempDir(), "short.toml")
	require.NoError(t, os.WriteFile(file, []byte(`
site = "rating"
nodes = 2
length = "7s"
load.level = 0.4
[[trouble]]
kind = "resets"
at = "500ms"
length = "3s"
share = 0.05
[[trouble]]
kind = "restart"
at = "1s"
length = "1s"
raters = [0, 3]
[[trouble]]
kind = "node_restart"
at = "2s"
gap = "4s"
nodes = [1]
`), 0o600))
	for range 3 {
		p := play{quiet: true}
		e, err := p.load(file)
		require.NoError(t, err)
		o, err := p.play(t.Context(), streams{&bytes.Buffer{}, &bytes.Buffer{}}, e,
			variant{shell: fmt.Sprintf("env %s=1 %s", nodeVariable, self)}, "")
		require.NoError(t, err)
		j := o.Runs[0].Judgement
		if o.Void() && j.BrokenRules() > 0 {
			continue
		}
		assert.Empty(t, j.Verdicts)
		assert.Equal(t, []int{1, 2}, []int{j.Nodes[0].Starts, j.Nodes[1].Starts})
		for _, c := range j.Classes {
			assert.Positive(t, c.InAim+c.Late, c.Name)
		}
		return
	}
	t.Fatal("rules broke three times while the lab itself fell behind")
}

// TestCommandLines guards against a wrong file or flag that is taken for a run that failed, or passes in silence.
func TestCommandLines(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.toml")
	require.NoError(t, os.WriteFile(bad, []byte("site = \"rating\"\nnodes = 2\nlenght = \"4s\"\n"), 0o600)) //nolint:misspell // it is meant to be wrong
	for _, c := range []struct {
		args   []string
		status int
		says   string
	}{
		{[]string{"list"}, 0, "shared_slow"},
		{[]string{"run", bad}, 2, "bad.toml:3: lenght: unknown field"}, //nolint:misspell // it is meant to be wrong
		{[]string{"run", "no-such"}, 2, "no experiment"},
		{[]string{"run", "calm", "-seed", "x"}, 2, "no seed"},
		{[]string{"run", "calm", "slow"}, 2, "one experiment"},
		{[]string{"run", "calm", "-no-such-flag"}, 2, "no-such-flag"},
		{[]string{"run", "calm", "-seed", "1-3", "-record", "x"}, 2, "one seed"},
		{[]string{"node", "wrong-none"}, 2, "no node"},
		{[]string{"referee-check", "x"}, 2, "flags alone"},
		{[]string{"life", "-course", "none"}, 2, `no course "none"`},
		{[]string{"circle", "life", "-course", "none"}, 2, `no course "none"`},
	} {
		var out bytes.Buffer
		assert.Equal(t, c.status, run(t.Context(), c.args, streams{&out, &out}), "%v: %s", c.args, &out)
		assert.Contains(t, out.String(), c.says, "%v", c.args)
	}
}
