package operator

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/fleet/errkind"
)

// Valid items of each list and valid limits: the tests below change one field of them.
var validItems = map[string]string{
	fieldRoutes: `{"Name":"r","Hostname":"h","PathPrefix":"/r/","RouteType":"safe","TimeoutMs":5,"TargetLatencyMs":1,"Priority":1,` +
		`"Backend":"llm","TrafficSplit":[{"Backend":"llm","Weight":1}],"MaxAttempts":2,"Anonymous":false,"SessionAffinity":true,"StreamResume":false,"gap_aim_ms":3}`,
	fieldBackends: `{"Name":"llm","HealthCheck":"/healthz","MaxConnections":650,"Protocol":"h1","Tls":false,"Engine":{"Slots":128,"KvTokens":971730,"Models":[{"Name":"m"}]}}`,
	fieldTenants:  `{"Name":"t","ApiKeys":["key"],"Priority":1,"Unit":"token_count","PlainTokens":200,"RatePerS":5,"Burst":5}`,
	fieldLimits:   `{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}`,
}

// documentWith returns a whole document in which one text of one of validItems is replaced.
func documentWith(t *testing.T, list, old, replacement string) string {
	t.Helper()
	items := map[string]string{}
	for name, text := range validItems {
		items[name] = text
	}
	require.Contains(t, items[list], old)
	items[list] = strings.Replace(items[list], old, replacement, 1)
	return fmt.Sprintf(`{"Revision":7,"Routes":[%s],"Backends":[%s],"Tenants":[%s],"Limits":%s}`, items[fieldRoutes], items[fieldBackends],
		items[fieldTenants], items[fieldLimits])
}

func TestValidDocumentIsAdmitted(t *testing.T) {
	for list := range validItems {
		_, err := NewState().Admit(put(0, documentWith(t, list, "{", "{")))
		require.NoError(t, err)
	}
}

// Every field that this project reads: what is refused, and that the error names the field.
func TestEachFieldIsChecked(t *testing.T) {
	type change struct{ list, old, replacement, named string }
	var changes []change
	for list, numbers := range map[string][]string{
		fieldRoutes:   {`"TimeoutMs":5`, `"TargetLatencyMs":1`, `"Priority":1`, `"Weight":1`, `"MaxAttempts":2`, `"gap_aim_ms":3`},
		fieldBackends: {`"MaxConnections":650`, `"Slots":128`, `"KvTokens":971730`},
		fieldTenants:  {`"Priority":1`, `"PlainTokens":200`, `"RatePerS":5`, `"Burst":5`},
		fieldLimits:   {`"MaxHeaderBytes":16384`, `"MaxBodyBytes":4194304`, `"HeaderTimeoutMs":3000`, `"IdleTimeoutMs":15000`},
	} {
		for _, number := range numbers {
			name, _, _ := strings.Cut(number, ":")
			field := strings.Trim(name, `"`)
			for _, value := range []string{`"NaN"`, `"Infinity"`, `"-Infinity"`, `-1`, `-0.5`, `1e13`, `1e400`, `"x"`, `true`, `[1]`, `{}`} {
				changes = append(changes, change{list, number, name + ":" + value, field})
			}
		}
	}
	for list, texts := range map[string][]string{
		fieldRoutes:   {`"Hostname":"h"`, `"PathPrefix":"/r/"`, `"RouteType":"safe"`, `"Backend":"llm"`, `"Anonymous":false`, `"SessionAffinity":true`, `"StreamResume":false`},
		fieldBackends: {`"HealthCheck":"/healthz"`, `"Protocol":"h1"`, `"Tls":false`},
		fieldTenants:  {`"ApiKeys":["key"]`, `"Unit":"token_count"`},
	} {
		for _, text := range texts {
			name, _, _ := strings.Cut(text, ":")
			named := strings.Trim(name, `"`)
			if named == "ApiKeys" {
				named = "Tenants[0]" // the parser names the place within the item
			}
			changes = append(changes, change{list, text, name + ":5", named}, change{list, text, name + ":{}", named})
		}
	}
	changes = append(changes,
		change{fieldRoutes, `"Name":"r",`, ``, "Name"}, change{fieldBackends, `"Name":"llm",`, ``, "Name"}, change{fieldTenants, `"Name":"t",`, ``, "Name"},
		change{fieldRoutes, `"Name":"r"`, `"Name":5`, "Name"}, change{fieldRoutes, `"TimeoutMs":5,`, ``, "TimeoutMs"},
		change{fieldRoutes, `"TimeoutMs":5`, `"TimeoutMs":0`, "TimeoutMs"}, change{fieldRoutes, `"Weight":1`, `"Weight":0`, "TrafficSplit"},
		change{fieldRoutes, `[{"Backend":"llm"`, `[{"Backend":"none"`, "TrafficSplit"},
		change{fieldRoutes, `"Backend":"llm","TrafficSplit"`, `"Backend":"none","TrafficSplit"`, "Backend"},
		change{fieldTenants, `"ApiKeys":["key"]`, `"ApiKeys":["key",5]`, "Tenants[0]"},
	)
	for _, c := range changes {
		t.Run(c.list+" "+c.replacement+c.old[:3], func(t *testing.T) {
			_, err := NewState().Admit(put(0, documentWith(t, c.list, c.old, c.replacement)))
			require.Equal(t, errkind.InvalidConfig, errkind.KindOf(err), "%v", err)
			require.ErrorContains(t, err, c.named)
		})
	}
}

func TestHostsThatDifferInCaseOnlyConflict(t *testing.T) {
	state, err := NewState().Admit(put(0, fullDocument))
	require.NoError(t, err)
	second := patch(7, `{"Revision":8,"Upsert":{"Routes":[{"Name":"r-x","Hostname":"H.Example","PathPrefix":"/a/","TimeoutMs":5,"Backend":"llm"}]}}`)
	_, err = state.Admit(second)
	require.Equal(t, errkind.InvalidConfig, errkind.KindOf(err))
	require.ErrorContains(t, err, "r-x")
	_, err = state.Admit(patch(7, `{"Revision":8,"Upsert":{"Routes":[{"Name":"r-x","Hostname":"H.Example","PathPrefix":"/x/","TimeoutMs":5,"Backend":"llm"}]}}`))
	require.NoError(t, err)
}

// Guards against replicas that differ: what one of an earlier version has accepted must be applied by all. Its numbers are bounded
// where they are used.
func TestOrdersOfEarlierVersionsAreApplied(t *testing.T) {
	state := apply(t, NewState(), put(0, documentWith(t, fieldRoutes, `"TimeoutMs":5`, `"TimeoutMs":"Infinity"`)))
	state = apply(t, state, patch(7, `{"Revision":8,"Upsert":{"Tenants":[{"Name":"t","ApiKeys":["key"],"Unit":"token_count","PlainTokens":"NaN","RatePerS":-5,"Burst":"Infinity"}]},
		"Limits":{"MaxHeaderBytes":-1,"MaxBodyBytes":-1,"HeaderTimeoutMs":"-Infinity","IdleTimeoutMs":"NaN"}}`))
	table := state.Document.Compile()
	require.Equal(t, time.Duration(maxNumber)*time.Millisecond, table.Route("h", "/r/").Timeout)
	tenant := table.Tenant("key")
	require.Zero(t, tenant.PlainTokens)
	require.Zero(t, tenant.Rate)
	require.InDelta(t, maxNumber, tenant.Burst, 0)
	require.Equal(t, Limits{HeaderBytes: defaultHeaderBytes, BodyBytes: defaultBodyBytes, HeaderTimeout: defaultHeaderTimeout,
		IdleTimeout: defaultIdleTimeout}, table.Limits)
}
