package duplicates

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// programs holds the node and the keeper, built once.
var programs string

func TestMain(m *testing.M) {
	var err error
	if programs, err = os.MkdirTemp("", "fleet"); err != nil {
		panic(err)
	}
	c := exec.Command("go", "build", "-o", programs, "../../cmd/linenwheel", "../../cmd/linenwheel-keep")
	c.Stderr = os.Stderr
	if err := c.Run(); err != nil {
		panic(err)
	}
	status := m.Run()
	_ = os.RemoveAll(programs)
	os.Exit(status)
}

func play(t *testing.T, posts int, f Fleet) *Result {
	ctx, stop := context.WithTimeout(context.Background(), 2*time.Minute)
	defer stop()
	f.Nodes, f.Keepers, f.Program = 3, 3, filepath.Join(programs, "linenwheel-keep")
	r, err := Run(ctx, Settings{Node: filepath.Join(programs, "linenwheel"), Dir: t.TempDir(), Posts: posts, Rate: 250, Most: 4, Raters: 4,
		Seed: 5, Fleet: &f})
	require.NoError(t, err)
	require.Empty(t, r.Trouble)
	require.Positive(t, r.Told)
	return r
}

// Guards against a charge that runs twice, two answers for one charge and an untrue refusal, while clients repeat their charges
// at other nodes and nodes and keepers are killed, burnt with their disks, stopped and cut off.
func TestFleet(t *testing.T) {
	t.Parallel()
	r := play(t, 2000, Fleet{FaultEvery: 100 * time.Millisecond})
	assert.False(t, r.Broken(), "ran twice %v, different answers %v, untrue refusals %v", r.Twice, r.Differing, r.Untrue)
	assert.NotEmpty(t, r.Faults)
}

// Guards against charges that run, or wait for their deadline, while nobody can agree on them, and against ones that are not
// taken again afterwards.
func TestMajorityLost(t *testing.T) {
	t.Parallel()
	r := play(t, 1000, Fleet{FaultEvery: 300 * time.Millisecond, Kinds: []string{MajorityKilled}})
	assert.False(t, r.Broken(), "ran twice %v, different answers %v, untrue refusals %v", r.Twice, r.Differing, r.Untrue)
	assert.Positive(t, r.Status["503"], "nothing was refused: the fault met nothing")
	assert.Positive(t, r.Refused, "nothing was answered after a refusal")
}

// Guards against a judge that finds nothing: nodes that each hold names for themselves run charges twice.
func TestJudgeSeesTwice(t *testing.T) {
	t.Parallel()
	r := play(t, 500, Fleet{Alone: true})
	assert.NotEmpty(t, r.Twice)
}
