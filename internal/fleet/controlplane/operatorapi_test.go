package controlplane

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/fleet/memory"
)

func submitOrder(n *Node, base int, body string) int {
	match := fmt.Sprint(base)
	recorder := doIfMatch(n, http.MethodPatch, "/-/config", body, match)
	return recorder.Code
}

func TestOrderIsCommittedOnceAndConflictsAreRejected(t *testing.T) {
	n := newSingleNode(t, 0, 0)
	require.Equal(t, http.StatusOK, submitOrder(n, 1, `{"Revision":3}`))
	require.Equal(t, http.StatusOK, submitOrder(n, 1, `{"Revision":3}`), "repeated")
	require.Equal(t, http.StatusPreconditionFailed, submitOrder(n, 1, `{"Revision":4}`))
	require.Equal(t, http.StatusBadRequest, submitOrder(n, 3, `{"Revision":3}`))
	require.Equal(t, http.StatusBadRequest, submitOrder(n, 3, `{`))
	require.Equal(t, http.StatusBadRequest, doIfMatch(n, http.MethodPatch, "/-/config", `{"Revision":5}`, "x").Code, "If-Match")
	require.Equal(t, http.StatusOK, submitOrder(n, 1, `{"Revision":3}`), "repeated after conflicts")
	read := do(n, http.MethodGet, "/-/config", "")
	require.Equal(t, http.StatusOK, read.Code)
	require.JSONEq(t, `{"Revision":3,"Backends":[{"Name":"llm"}]}`, read.Body.String())
	require.Contains(t, do(n, http.MethodGet, "/-/status", "").Body.String(), `"Revision":3`)
}

// Guards against an acknowledgement of a PATCH whose lists change nothing, as of one that seems to take all keys away.
func TestPatchWithAListBesideUpsertAndRemoveIsRejected(t *testing.T) {
	n := newSingleNode(t, 0, 0)
	var logged bytes.Buffer
	n.log = log.New(&logged)
	for _, list := range []string{"Routes", "Backends", "Tenants"} {
		rejected := doIfMatch(n, http.MethodPatch, "/-/config", fmt.Sprintf(`{"Revision":3,"%s":[]}`, list), "1")
		require.Equal(t, http.StatusBadRequest, rejected.Code)
		require.Contains(t, rejected.Body.String(), "field "+list)
		require.Contains(t, logged.String(), "field "+list, "the log has each order that is refused")
	}
	require.Equal(t, http.StatusOK, submitOrder(n, 1, `{"Revision":3,"Other":[]}`), "other fields may be replaced")
}

func TestAnOrderThatDoesNotFitIntoMemoryIsRejected(t *testing.T) {
	n := newUnconfiguredNode(t)
	n.memory = memory.NewBudget(4 << 10)
	long := `{"Revision":5,"Note":"` + strings.Repeat("x", 3<<10) + `"}`
	require.Equal(t, http.StatusRequestEntityTooLarge, doIfMatch(n, http.MethodPut, "/-/config", long, "0").Code)
	require.Zero(t, n.memory.Used())
	other := n.memory.Reserve()
	require.NoError(t, other.Grow(2<<10))
	fitting := `{"Revision":5,"Note":"` + strings.Repeat("x", 1500) + `"}`
	require.Equal(t, http.StatusServiceUnavailable, doIfMatch(n, http.MethodPut, "/-/config", fitting, "0").Code, "beside others: it may be sent again")
	other.Release()
	require.Equal(t, http.StatusOK, doIfMatch(n, http.MethodPut, "/-/config", fitting, "0").Code)
	require.Zero(t, n.memory.Used())
}
