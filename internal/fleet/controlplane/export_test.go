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

// The operator migrates a fleet whose disks have the obsolete format in three steps: export the configuration from
// each machine, choose the parsed with the highest Seq, and send it to a fleet of this version with empty disks.
func TestConfigurationOfObsoleteDisksCanBeMigrated(t *testing.T) {
	var newest exported
	for machine := range 3 {
		dir := filepath.Join(t.TempDir(), "disk")
		golden := filepath.Join("..", "storage", "testdata", "obsolete", fmt.Sprintf("machine-%d", machine+1))
		require.NoError(t, os.CopyFS(dir, os.DirFS(golden)))
		var printed bytes.Buffer
		require.NoError(t, Export(&settings.Settings{DataDir: dir}, &printed))
		var parsed exported
		require.NoError(t, json.Unmarshal(printed.Bytes(), &parsed))
		if parsed.Seq > newest.Seq {
			newest = parsed
		}
	}
	n := newUnconfiguredNode(t)
	require.Equal(t, http.StatusOK, do(n, http.MethodPut, "/-/config", string(newest.Document)).Code)
	read := do(n, http.MethodGet, "/-/config", "")
	require.Equal(t, http.StatusOK, read.Code)
	require.JSONEq(t, `{"Revision":40,"Backends":[{"Name":"llm"},{"Name":"report"}]}`, read.Body.String())
	require.Equal(t, http.StatusPreconditionFailed, submitOrder(n, 39, `{"Revision":40}`), "the set of accepted orders is not migrated")
	require.Equal(t, http.StatusOK, submitOrder(n, 40, `{"Revision":41}`), "the operator continues from the exported revision")
	require.Equal(t, http.StatusOK, submitOrder(n, 40, `{"Revision":41}`), "repeated")
}

func TestExportRequiresDataDirWithConfiguration(t *testing.T) {
	require.ErrorIs(t, Export(&settings.Settings{}, &bytes.Buffer{}), errNoDataDir)
	require.ErrorContains(t, Export(&settings.Settings{DataDir: t.TempDir()}, &bytes.Buffer{}), "no configuration")
}
