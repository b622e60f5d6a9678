package operator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/fleet/errkind"
)

const fullDocument = `{"Revision":7,"Extra":{"kept":[1.0,2e3]},
"Routes":[{"Name":"r-a","Hostname":"h.example","PathPrefix":"/a/","RouteType":"streaming","TimeoutMs":3000,"TargetLatencyMs":500,"Priority":0,"Backend":"llm","MaxAttempts":2,"SessionAffinity":true,"StreamResume":true,"gap_aim_ms":300,"unknown":"x"},
{"Name":"r-b","Hostname":"h.example","PathPrefix":"/a/b/","RouteType":"safe","TimeoutMs":600,"TrafficSplit":[{"Backend":"llm","Weight":90},{"Backend":"api","Weight":10}],"MaxAttempts":1}],
"Backends":[{"Name":"llm","MaxConnections":390,"Engine":{"Slots":64,"KvTokens":648873,"LinkMbps":260000.0,"stride":6}},{"Name":"api"}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"t1","ApiKeys":["k1","k2"],"Priority":1,"Unit":"token_count","PlainTokens":200,"RatePerS":100,"Burst":50},{"Name":"t2","ApiKeys":["k3"]}]}`

func put(base int64, body string) Order {
	return Order{Method: http.MethodPut, Base: base, Body: []byte(body)}
}

func patch(base int64, body string) Order {
	return Order{Method: http.MethodPatch, Base: base, Body: []byte(body)}
}

func apply(t *testing.T, state *State, order Order) *State {
	t.Helper()
	next, err := state.Apply(order)
	require.NoError(t, err)
	return next
}

func TestDocumentRoundTrip(t *testing.T) {
	state := apply(t, NewState(), put(0, fullDocument))
	require.JSONEq(t, fullDocument, string(state.Document.JSON()))
	again, err := FromSnapshot(state.Snapshot())
	require.NoError(t, err)
	require.JSONEq(t, fullDocument, string(again.Document.JSON()))
}

func TestPatchReplacesAddsAndRemovesByName(t *testing.T) {
	state := apply(t, NewState(), put(0, fullDocument))
	state = apply(t, state, patch(7, `{"Revision":9,"Upsert":{"Routes":[
		{"Name":"r-b","Hostname":"h.example","PathPrefix":"/a/b/","RouteType":"safe","TimeoutMs":700,"Backend":"api","odd":1.50},
		{"Name":"r-c","Hostname":"h.example","PathPrefix":"/c/","RouteType":"unsafe","TimeoutMs":700,"Backend":"api"}]},
		"Remove":{"Routes":["r-a","r-none"]}}`))
	table := state.Document.Compile()
	require.EqualValues(t, 9, table.Revision)
	require.Nil(t, table.Route("h.example", "/a/x"))
	require.Equal(t, 700*time.Millisecond, table.Route("h.example", "/a/b/x").Timeout)
	require.Equal(t, "r-c", table.Route("h.example", "/c/").Name)
	var read struct{ Routes []map[string]json.RawMessage }
	require.NoError(t, json.Unmarshal(state.Document.JSON(), &read))
	require.Len(t, read.Routes, 2)
	require.Equal(t, "1.50", string(read.Routes[0]["odd"]), "an unknown field is kept verbatim")
}

func TestInvalidOrdersAreRejected(t *testing.T) {
	state := apply(t, NewState(), put(0, fullDocument))
	route := func(fields string) string {
		return `{"Revision":8,"Upsert":{"Routes":[{"Name":"r-x","Hostname":"h.example","PathPrefix":"/x/","TimeoutMs":5,` + fields + `}]}}`
	}
	for name, order := range map[string]Order{
		"truncated":              put(7, fullDocument[:len(fullDocument)/2]),
		"trailing bytes":         put(7, `{"Revision":8} x`),
		"not an object":          put(7, `[1]`),
		"null":                   put(7, `null`),
		"no revision":            put(7, `{"Routes":[]}`),
		"revision not above":     put(7, fullDocument),
		"unknown service":        patch(7, route(`"Backend":"none"`)),
		"no service":             patch(7, route(`"MaxAttempts":1`)),
		"unknown split":          patch(7, route(`"TrafficSplit":[{"Backend":"none","Weight":1}]`)),
		"no weight":              patch(7, route(`"TrafficSplit":[{"Backend":"llm","Weight":0}]`)),
		"negative weight":        patch(7, route(`"TrafficSplit":[{"Backend":"llm","Weight":-1},{"Backend":"api","Weight":2}]`)),
		"no timeout":             patch(7, `{"Revision":8,"Upsert":{"Routes":[{"Name":"r-x","Hostname":"h","PathPrefix":"/x/","Backend":"llm"}]}}`),
		"same host and prefix":   patch(7, `{"Revision":8,"Upsert":{"Routes":[{"Name":"r-x","Hostname":"h.example","PathPrefix":"/a/","TimeoutMs":5,"Backend":"llm"}]}}`),
		"shared key":             patch(7, `{"Revision":8,"Upsert":{"Tenants":[{"Name":"t3","ApiKeys":["k1"]}]}}`),
		"service in use removed": patch(7, `{"Revision":8,"Remove":{"Backends":["api"]}}`),
		"wrong type":             patch(7, route(`"Backend":5`)),
		"item without name":      patch(7, `{"Revision":8,"Upsert":{"Routes":[{"Hostname":"h","PathPrefix":"/x/","TimeoutMs":5,"Backend":"llm"}]}}`),
		"method":                 {Method: "POST", Base: 7, Body: []byte(fullDocument)},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := state.Apply(order)
			require.Equal(t, errkind.InvalidConfig, errkind.KindOf(err), "%v", err)
		})
	}
}

func TestOrderWithStaleBaseConflicts(t *testing.T) {
	state := apply(t, NewState(), put(0, fullDocument))
	_, err := state.Apply(patch(6, `{"Revision":8}`))
	require.Equal(t, errkind.VersionConflict, errkind.KindOf(err))
}

func TestAcceptedOrdersAreRemembered(t *testing.T) {
	first := put(0, fullDocument)
	state := apply(t, NewState(), first)
	for revision := int64(8); revision < 20; revision++ {
		state = apply(t, state, patch(revision-1, fmt.Sprintf(`{"Revision":%d}`, revision)))
	}
	for _, s := range []*State{state, mustRestore(t, state)} {
		created, accepted := s.Accepted(first.Digest())
		require.True(t, accepted)
		require.EqualValues(t, 7, created)
	}
	other := put(1, fullDocument)
	_, accepted := state.Accepted(other.Digest())
	require.False(t, accepted, "the base is part of an order's identity")
}

func mustRestore(t *testing.T, state *State) *State {
	t.Helper()
	restored, err := FromSnapshot(state.Snapshot())
	require.NoError(t, err)
	return restored
}

func TestRememberedOrdersAreBounded(t *testing.T) {
	state := NewState()
	for revision := int64(1); revision <= maxAccepted+10; revision++ {
		state = apply(t, state, patch(revision-1, fmt.Sprintf(`{"Revision":%d}`, revision)))
	}
	require.Equal(t, maxAccepted, state.accepted.Len())
	require.Equal(t, maxAccepted, state.acceptedOrder.Len())
}

// An order that is no longer remembered may or may not have been accepted before. Both an acknowledgement and a
// rejection could be wrong, so its outcome must be reported as unknown.
func TestOrderOlderThanHorizonIsNeitherAcceptedNorRejected(t *testing.T) {
	orderFor := func(revision int64) Order { return patch(revision-1, fmt.Sprintf(`{"Revision":%d}`, revision)) }
	state := NewState()
	for revision := int64(1); revision <= maxAccepted; revision++ {
		state = apply(t, state, orderFor(revision))
	}
	first := orderFor(1)
	_, accepted := state.Accepted(first.Digest())
	require.True(t, accepted, "the first of 4,096 orders is still remembered")
	state = apply(t, state, orderFor(maxAccepted+1))
	for _, s := range []*State{state, mustRestore(t, state)} {
		_, accepted = s.Accepted(first.Digest())
		require.False(t, accepted)
		_, err := s.Apply(first)
		require.Equal(t, errkind.OutcomeUnknown, errkind.KindOf(err), "%v", err)
		_, err = s.Apply(patch(5, `{"Revision":7}`))
		require.Equal(t, errkind.VersionConflict, errkind.KindOf(err), "a newer order is rejected: had it been accepted, it would be remembered")
	}
}

func TestHistoryIdentifiesAllPreviousOrders(t *testing.T) {
	one := apply(t, apply(t, NewState(), put(0, fullDocument)), patch(7, `{"Revision":8}`))
	same := apply(t, apply(t, NewState(), put(0, fullDocument)), patch(7, `{"Revision":8}`))
	other := apply(t, apply(t, NewState(), put(0, fullDocument+" ")), patch(7, `{"Revision":8}`))
	require.Equal(t, one.History(), same.History())
	require.NotEqual(t, one.History(), other.History(), "the same document, reached by different orders")
	require.Equal(t, one.History(), mustRestore(t, one).History())
}

func TestRouteMatchesHostAndLongestPrefix(t *testing.T) {
	table := apply(t, NewState(), put(0, fullDocument)).Document.Compile()
	require.Equal(t, "r-a", table.Route("H.example:8080", "/a/x").Name)
	require.Equal(t, "r-b", table.Route("h.example", "/a/b/").Name)
	require.Nil(t, table.Route("h.example", "/a"))
	require.Nil(t, table.Route("other.example", "/a/x"))
	require.True(t, table.Route("h.example", "/a/x").Idempotent())
	require.Equal(t, "llm", table.Route("h.example", "/a/b/").Pick(0.89))
	require.Equal(t, "api", table.Route("h.example", "/a/b/").Pick(0.91))
	require.Equal(t, "t1", table.Tenant("k2").Name)
	require.Nil(t, table.Tenant("k4"))
	require.False(t, table.Tenant("k3").HasPriority)
}
