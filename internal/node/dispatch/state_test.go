package dispatch

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against memory that grows with the hosts and requests ever seen: whatever updates come and however attempts end, the state
// holds listed hosts, open requests and the module's few timers only.
func TestStateIsBoundedByListedHostsAndOpenRequests(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		p, c, _ := newTestDispatcher(t)
		named := 0
		host := func() Host {
			named++
			return Host{Name: fmt.Sprint("h", named), Address: fmt.Sprint("a:", named), Zone: "z", Kind: "k", Weight: 1}
		}
		var listed []Host
		var out []*Ticket
		for range rapid.IntRange(5, 40).Draw(r, "versions") {
			switch rapid.IntRange(0, 3).Draw(r, "how") {
			case 0:
				listed = nil
				for range rapid.IntRange(0, 6).Draw(r, "hosts") {
					listed = append(listed, host())
				}
				p.SetHosts(Full, listed)
			case 1:
				if len(listed) > 0 {
					gone := listed[0]
					gone.Status, listed = Removed, listed[1:]
					p.SetHosts(Delta, []Host{gone})
				}
			case 2:
				odd := host()
				odd.Zone = "another"
				p.SetHosts(Delta, []Host{odd, {Name: "never seen", Status: Removed}})
			}
			for range rapid.IntRange(0, 20).Draw(r, "requests") {
				q := p.Open(Request{Tenant: -1, Deadline: c.Now() + 900})
				v := q.Next()
				if v.Kind != Send {
					require.Equal(r, Done, q.Next().Kind)
					continue
				}
				switch how := rapid.IntRange(0, 3).Draw(r, "end"); how {
				case 0:
					out = append(out, q)
				case 1:
					q.ClientLeft()
					q.Report(v.AttemptIndex, Cancelled, nil)
				default:
					q.Report(v.AttemptIndex, []Outcome{2: Served, 3: Failed}[how], nil)
				}
			}
			c.Advance(rapid.Float64Range(0, 300).Draw(r, "pass"))
			p.Tick()
			require.LessOrEqual(r, len(p.hosts), len(listed))
			require.Len(r, p.hostIDs, len(p.hosts))
			require.LessOrEqual(r, len(p.tickets), len(out))
			require.LessOrEqual(r, len(p.timers), 16)
		}
		for _, q := range out {
			q.ClientLeft()
			q.Report(0, Cancelled, nil)
		}
		require.Empty(r, p.tickets)
	})
}
