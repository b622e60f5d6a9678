package node

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"linenwheel.dev/linenwheel/internal/node/options"
)

// Guards against a tenant above its quota that reaches a host or gets the wrong response, quotas that delay other
// tenants, and a reload that has no effect.
func TestQuota(t *testing.T) {
	o := DefaultOptions()
	o.Quota.On, o.Quota.Learn, o.Quota.Requests = true, false, 2
	o.Quota.Priorities, o.Quota.Kept = []string{"pay", "alert"}, 0
	o.Quota.Nodes = []options.QuotaNode{{Name: "t", Share: 0.5, Lends: true}, {Name: "other", Share: 0.5}}
	s, n := startNode(t, Extras{Options: &o}, 1024, []string{"h1"})
	s.Run(begin("h1") + `
		a send POST /pay/1 id=q1 deadline=900 owner=t
		r expect POST /pay/1 id=q1
		r send 200 body=ok
		a expect 200 body=ok
		a send POST /pay/1 id=q2 deadline=900 owner=t
		a expect 429
		wait 5
		a send POST /pay/1 id=q3 deadline=900 owner=nobody
		r expect POST /pay/1 id=q3
		r send 200 body=lent
		a expect 200 body=lent
		a send POST /pay/1 id=q4 deadline=900 owner=nobody
		a expect 429`)
	for _, q := range n.Quotas() {
		if q.Name == "t" {
			assert.Equal(t, uint64(1), q.Guaranteed)
			assert.Equal(t, uint64(1), q.Rejected)
		}
	}
	s.Run(`
		wait 1000
		a send POST /alert/1 id=q5 deadline=900 owner=t key=k
		r expect POST /alert/1 id=q5
		r send 200 body=ok
		a expect 200 body=ok`)
	o.Quota.Requests = 20
	n.apply(o)
	s.Run(`
		wait 1000
		a send POST /pay/1 id=q6 deadline=900 owner=t
		r expect POST /pay/1 id=q6
		r send 200 body=ok
		a expect 200 body=ok
		wait 5
		a send POST /pay/1 id=q7 deadline=900 owner=t
		r expect POST /pay/1 id=q7
		r send 200 body=ok
		a expect 200 body=ok`)
}
