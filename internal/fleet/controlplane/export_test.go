package controlplane

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/fleet/settings"
)

// The operator's way from a fleet whose disks have the obsolete format to one of this version: export from each machine, take the
// configuration with the highest Seq, and send it to a fleet on empty disks.
func TestConfigurationOfObsoleteDisksIsTakenOver(t *testing.T) {
	var newest exported
	for machine := range 3 {
		dir := filepath.Join(t.TempDir(), "disk")
		golden := filepath.Join("..", "storage", "testdata", "obsolete", fmt.Sprintf("machine-%d", machine+1))
		require.NoError(t, os.CopyFS(dir, os.DirFS(golden)))
		var printed bytes.Buffer
		require.NoError(t, Export(&settings.Settings{DataDir: dir}, &printed))
		var one exported
		require.NoError(t, json.Unmarshal(printed.Bytes(), &one))
		if one.Seq > newest.Seq {
			newest = one
		}
	}
	n := newUnconfiguredNode(t)
	require.Equal(t, http.StatusOK, do(n, http.MethodPut, "/-/config", string(newest.Document)).Code)
	read := do(n, http.MethodGet, "/-/config", "")
	require.Equal(t, http.StatusOK, read.Code)
	require.JSONEq(t, `{"Revision":40,"Backends":[{"Name":"llm"},{"Name":"report"}]}`, read.Body.String())
	require.Equal(t, http.StatusPreconditionFailed, submitOrder(n, 39, `{"Revision":40}`), "which orders were accepted before is not taken over")
	require.Equal(t, http.StatusOK, submitOrder(n, 40, `{"Revision":41}`), "the operator goes on from what was exported")
	require.Equal(t, http.StatusOK, submitOrder(n, 40, `{"Revision":41}`), "repeated")
}

func TestExportNeedsADirectory(t *testing.T) {
	require.ErrorIs(t, Export(&settings.Settings{}, &bytes.Buffer{}), errNoDataDir)
	require.ErrorContains(t, Export(&settings.Settings{DataDir: t.TempDir()}, &bytes.Buffer{}), "no configuration")
}
