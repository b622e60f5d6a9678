package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/node/options"
	"linenwheel.dev/linenwheel/internal/node/rollout"
)

// Guards against a call that waits for quota under one number of the policy and gets it under the next, where
// another call of its tenant that began at the same moment was decided under the first.
func TestCallIsDecidedUnderOnePolicy(t *testing.T) {
	o := DefaultOptions()
	o.Quota.On, o.Quota.Learn, o.Quota.Requests, o.Quota.Kept, o.Quota.Wait.Ms = true, false, 1, 0, 700
	o.Quota.Nodes = []options.QuotaNode{{Name: "t", Share: 1}}
	s, n := startNode(t, Extras{Options: &o}, 1024, []string{"h1"})
	s.Run(begin("h1") + `
		a send POST /pay/1 id=q1 deadline=900 owner=t
		r expect POST /pay/1 id=q1
		r send 200 body=ok
		a expect 200 body=ok
		a send POST /pay/1 id=q2 deadline=900 owner=t`)
	require.Eventually(t, func() bool {
		for _, q := range n.Quotas() {
			if q.Name == "t" && q.Rejected > 0 { // the call waits
				return true
			}
		}
		return false
	}, time.Minute, time.Millisecond)
	require.NoError(t, policyNode{n}.Activate(rollout.Document{Number: 1, Text: "[quota]\nrequests = 1000\n"}))
	s.Run(`
		a expect 429
		wait 5
		a send POST /pay/1 id=q3 deadline=900 owner=t
		r expect POST /pay/1 id=q3
		r send 200 body=ok
		a expect 200 body=ok`)
}
