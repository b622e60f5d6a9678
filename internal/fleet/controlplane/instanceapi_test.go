package controlplane

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/fleet/registry"
)

func TestMalformedHeartbeatIsRejectedAndChangesNothing(t *testing.T) {
	n := newSingleNode(t, 0, 1)
	version := n.registry.Version()
	for name, body := range map[string]string{
		"not JSON":   `{"Backend":`,
		"no backend": `{"Address":"10.0.0.1:1"}`,
		"no address": `{"Backend":"llm"}`,
		"wrong type": `{"Backend":"llm","Address":"10.0.0.1:1","Slots":"many"}`,
	} {
		response := do(n, http.MethodPut, "/-/instances/x", body)
		require.Equal(t, http.StatusBadRequest, response.Code, name)
		require.Contains(t, response.Body.String(), "Error", name)
	}
	require.Equal(t, version, n.registry.Version())
}

func TestFieldsOfAHeartbeatAreChecked(t *testing.T) {
	n := newSingleNode(t, 0, 1)
	version := n.registry.Version()
	for text, body := range map[string]string{
		"field Address":      `{"Backend":"llm","Address":"10.0.0.1"}`,
		"field Slots":        `{"Backend":"llm","Address":"10.0.0.1:1","Slots":-1}`,
		"field Sequence":     `{"Backend":"llm","Address":"10.0.0.1:1","Sequence":-1}`,
		"Sequence":           `{"Backend":"llm","Address":"10.0.0.1:1","Sequence":9223372036854775808}`,
		"field WarmupLeftMs": `{"Backend":"llm","Address":"10.0.0.1:1","WarmupLeftMs":"NaN"}`,
		"WarmupLeftMs is +I": `{"Backend":"llm","Address":"10.0.0.1:1","WarmupLeftMs":"Infinity"}`,
		"WarmupLeftMs is -1": `{"Backend":"llm","Address":"10.0.0.1:1","WarmupLeftMs":-1}`,
		"WarmupLeftMs is 1e": `{"Backend":"llm","Address":"10.0.0.1:1","WarmupLeftMs":1e300}`,
	} {
		response := do(n, http.MethodPut, "/-/instances/x", body)
		require.Equal(t, http.StatusBadRequest, response.Code, text)
		require.Contains(t, response.Body.String(), text)
	}
	require.Equal(t, version, n.registry.Version())
}

func TestPollReturnsDrainingAndDeregisteredBackends(t *testing.T) {
	n := newSingleNode(t, 0, 2)
	draining := `{"Backend":"llm","Address":"10.0.0.1:1","State":"draining","Sequence":7}`
	require.Equal(t, http.StatusOK, do(n, http.MethodPut, "/-/instances/i1", draining).Code)
	require.Equal(t, http.StatusOK, do(n, http.MethodDelete, "/-/instances/i0", "").Code)
	require.Equal(t, http.StatusOK, do(n, http.MethodDelete, "/-/instances/i0", "").Code, "repeated")
	reply, _ := poll(t, n, nil)
	states := map[string]registry.State{}
	for _, record := range reply.Records {
		states[record.ID] = record.State
	}
	require.Equal(t, map[string]registry.State{"i0": registry.Removed, "i1": registry.Draining}, states)
}
