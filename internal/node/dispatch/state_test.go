package dispatch

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against memory that grows with the number of hosts and requests ever seen: whatever updates arrive and
// however attempts end, the state holds only listed hosts, open requests and the few timers of the decision
// module.
func TestStateIsBoundedByListedHostsAndOpenRequests(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		d, c, _ := newTestDispatcher(t)
		created := 0
		host := func() Host {
			created++
			return Host{Name: fmt.Sprint("h", created), Address: fmt.Sprint("a:", created), Zone: "z", Kind: "k", Weight: 1}
		}
		var listed []Host
		var openTickets []*Ticket
		for range rapid.IntRange(5, 40).Draw(r, "versions") {
			switch rapid.IntRange(0, 3).Draw(r, "how") {
			case 0:
				listed = nil
				for range rapid.IntRange(0, 6).Draw(r, "hosts") {
					listed = append(listed, host())
				}
				d.SetHosts(Full, listed)
			case 1:
				if len(listed) > 0 {
					removed := listed[0]
					removed.Status, listed = Removed, listed[1:]
					d.SetHosts(Delta, []Host{removed})
				}
			case 2:
				unknown := host()
				unknown.Zone = "another"
				d.SetHosts(Delta, []Host{unknown, {Name: "never seen", Status: Removed}})
			}
			for range rapid.IntRange(0, 20).Draw(r, "requests") {
				ticket := d.Open(Request{Tenant: -1, Deadline: c.Now() + 900})
				action := ticket.Next()
				if action.Kind != Send {
					require.Equal(r, Done, ticket.Next().Kind)
					continue
				}
				switch how := rapid.IntRange(0, 3).Draw(r, "end"); how {
				case 0:
					openTickets = append(openTickets, ticket)
				case 1:
					ticket.ClientLeft()
					ticket.Report(action.AttemptIndex, Cancelled, nil)
				default:
					ticket.Report(action.AttemptIndex, []Outcome{2: Served, 3: Failed}[how], nil)
				}
			}
			c.Advance(rapid.Float64Range(0, 300).Draw(r, "pass"))
			d.Tick()
			require.LessOrEqual(r, len(d.hosts), len(listed))
			require.Len(r, d.hostIDs, len(d.hosts))
			require.LessOrEqual(r, len(d.tickets), len(openTickets))
			require.LessOrEqual(r, len(d.timers), 16)
		}
		for _, ticket := range openTickets {
			ticket.ClientLeft()
			ticket.Report(0, Cancelled, nil)
		}
		require.Empty(r, d.tickets)
	})
}
