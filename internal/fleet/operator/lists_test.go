package operator

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// copies returns the state as each way on which a configuration travels delivers it.
func copies(t *testing.T, state *State) map[string]*State {
	t.Helper()
	document, err := ParseDocument(state.Document.JSON())
	require.NoError(t, err)
	whole := NewState()
	whole.Document = document
	return map[string]*State{"live": state, "restored": mustRestore(t, state), "sent whole": whole}
}

// Guards against requests that run with any key once the last tenant is removed, and against a deployment without
// tenants that begins to refuse requests without a key.
func TestKeysAreRequiredByAListOfTenantsEvenIfItIsEmpty(t *testing.T) {
	const with, without = `{"Revision":1,"Tenants":[{"Name":"t","ApiKeys":["k"]}]}`, `{"Revision":1}`
	for name, test := range map[string]struct {
		first    string
		change   Order
		required bool
	}{
		"tenants":                    {with, patch(1, `{"Revision":2}`), true},
		"no list":                    {without, patch(1, `{"Revision":2}`), false},
		"last tenant removed":        {with, patch(1, `{"Revision":2,"Remove":{"Tenants":["t"]}}`), true},
		"PUT of an empty list":       {with, put(1, `{"Revision":2,"Tenants":[]}`), true},
		"PUT of null":                {with, put(1, `{"Revision":2,"Tenants":null}`), true},
		"PUT without the list":       {with, put(1, `{"Revision":2}`), false},
		"first PUT of an empty list": {without, put(1, `{"Revision":2,"Tenants":[]}`), true},
		"first tenant added":         {without, patch(1, `{"Revision":2,"Upsert":{"Tenants":[{"Name":"t"}]}}`), true},
		"removed and added":          {with, patch(1, `{"Revision":2,"Remove":{"Tenants":["t"]},"Upsert":{"Tenants":[]}}`), true},
	} {
		t.Run(name, func(t *testing.T) {
			before := apply(t, NewState(), put(0, test.first))
			for origin, state := range copies(t, before) {
				state = must(state.ApplyCommitted(test.change))
				for way, received := range copies(t, state) {
					require.Equal(t, test.required, received.Document.Compile().RequiresKeys, "%s, then %s", origin, way)
				}
			}
		})
	}
}

func must(state *State, err error) *State {
	if err != nil {
		panic(err)
	}
	return state
}

// lists returns the names of the document's lists with their lengths.
func lists(t *testing.T, state *State) map[string]int {
	t.Helper()
	var fields map[string]json.RawMessage
	require.NoError(t, json.Unmarshal(state.Document.JSON(), &fields))
	lengths := map[string]int{}
	for name, raw := range fields {
		var entries []json.RawMessage
		if json.Unmarshal(raw, &entries) == nil {
			lengths[name] = len(entries)
		}
	}
	return lengths
}

// Guards against a PATCH that adds an empty list where there was none, or drops a list with its last item.
func TestPatchKeepsEmptyAndAbsentListsApart(t *testing.T) {
	for _, list := range []string{fieldRoutes, fieldBackends, fieldTenants, "Other"} {
		t.Run(list, func(t *testing.T) {
			item := `{"Name":"x"}`
			if list == fieldRoutes {
				item = `{"Name":"x","TimeoutMs":1,"TrafficSplit":[{"Backend":"b","Weight":1}]}`
			}
			first := `{"Revision":1,"Backends":[{"Name":"b"}]}`
			if list == fieldBackends {
				first = `{"Revision":1}`
			}
			state := apply(t, NewState(), put(0, first))
			for revision, step := range []struct {
				change string
				length int // -1 = absent
			}{
				{`"Remove":{"%s":["x"]}`, -1},
				{`"Remove":{"%s":[]},"Upsert":{}`, -1},
				{`"Upsert":{"%s":[]}`, -1},
				{`"Upsert":{"%s":null}`, -1},
				{`"Upsert":{"%s":[` + item + `]}`, 1},
				{`"Remove":{"%s":["x"]}`, 0},
				{`"Upsert":{"%s":[]}`, 0},
				{`"Remove":{"%s":["x"]}`, 0},
			} {
				order := patch(int64(revision+1), fmt.Sprintf(`{"Revision":%d,`+step.change+`}`, revision+2, list))
				state = apply(t, state, order)
				for way, received := range copies(t, state) {
					length, present := lists(t, received)[list]
					require.Equal(t, step.length >= 0, present, "%s: %s", way, order.Body)
					require.Equal(t, max(0, step.length), length)
				}
			}
		})
	}
}

// Guards against replicas whose documents differ after the same orders: one that has kept its state since an order
// added to a list by name, and one that was restored since.
func TestListThatAPatchReplacesIsTheSameOnEveryReplica(t *testing.T) {
	state := apply(t, NewState(), put(0, `{"Revision":1,"Other":[{"Name":"a"}]}`))
	state = apply(t, state, patch(1, `{"Revision":2,"Upsert":{"Other":[{"Name":"b"}]}}`))
	change := patch(2, `{"Revision":3,"Other":[]}`)
	for way, received := range copies(t, state) {
		received = must(received.ApplyCommitted(change))
		require.JSONEq(t, `{"Revision":3,"Other":[]}`, string(received.Document.JSON()), way)
	}
}
