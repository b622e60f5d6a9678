package cordon

import (
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"linenwheel.dev/linenwheel/internal/node/dispatch"
)

// TestTracker guards, over random sequences of lists and calls, against a cordoned host that is shown as ready, a
// resumed host that is shown as warm, a cordon that an update of the list undoes, and a snapshot that the next
// process restores differently.
func TestTracker(t *testing.T) {
	require.NoError(t, flag.Set("rapid.seed", "5"))
	rapid.Check(t, func(t *rapid.T) {
		var tracker Tracker
		shown, cordoned, resumedAt, listed := map[string]dispatch.Host{}, map[string]bool{}, map[string]float64{}, map[string]bool{}
		name := rapid.Custom(func(t *rapid.T) string { return fmt.Sprint("s", rapid.IntRange(0, 4).Draw(t, "rater")) })
		applyUpdate := func(list []dispatch.Host) {
			for _, h := range list {
				if shown[h.Name] = h; h.Status == dispatch.Removed {
					delete(shown, h.Name)
				}
			}
		}
		for now := 1.0; now < 40; now++ {
			target := name.Draw(t, "who")
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				list := []dispatch.Host{}
				for i := range 5 {
					if rapid.Bool().Draw(t, "listed") {
						list = append(list, dispatch.Host{Name: fmt.Sprint("s", i), Status: dispatch.Status(rapid.IntRange(0, 1).Draw(t, "status"))})
					}
				}
				clear(shown)
				clear(listed)
				for _, h := range list {
					listed[h.Name] = true
				}
				applyUpdate(tracker.Apply(dispatch.Full, list))
			case 1:
				h := dispatch.Host{Name: target, Status: dispatch.Status(rapid.IntRange(0, 2).Draw(t, "status"))}
				if listed[target] = h.Status != dispatch.Removed; !listed[target] {
					delete(listed, target)
				}
				applyUpdate(tracker.Apply(dispatch.Delta, []dispatch.Host{h}))
			case 2, 3:
				list, err := tracker.Suspend(target)
				require.Equal(t, !listed[target] && !cordoned[target], err != nil)
				if err == nil && !cordoned[target] {
					cordoned[target] = true
					delete(resumedAt, target)
				}
				applyUpdate(list)
			case 4:
				list, err := tracker.Resume(now, target)
				require.Equal(t, !listed[target] && !cordoned[target], err != nil)
				if cordoned[target] && listed[target] {
					resumedAt[target] = now
				}
				delete(cordoned, target)
				applyUpdate(list)
			case 5:
				var next Tracker
				next.Apply(dispatch.Full, tracker.listedHosts())
				applyUpdate(next.Restore(tracker.Snapshot()))
				tracker = next
			}
			require.Equal(t, len(listed), tracker.Listed())
			for name := range resumedAt {
				if !listed[name] {
					delete(resumedAt, name)
				}
			}
			for name, h := range shown {
				require.True(t, listed[name])
				require.False(t, cordoned[name] && h.Status == dispatch.Ready, "%s is cordoned and shown as ready", name)
				require.GreaterOrEqual(t, h.Since, resumedAt[name], "%s was resumed and is shown as warm", name)
			}
		}
	})
}

// listedHosts returns what the sources list.
func (t *Tracker) listedHosts() (list []dispatch.Host) {
	for _, h := range t.listed {
		list = append(list, h)
	}
	return list
}

// Guards against a host that is cordoned by the fleet's policy and shown as ready, that the operator of a single
// node resumes against the policy, that returns warm, and against a host cordoned by an operator that the policy
// resumes.
func TestFleetCordons(t *testing.T) {
	var tracker Tracker
	tracker.Apply(dispatch.Full, []dispatch.Host{{Name: "a", Status: dispatch.Ready}, {Name: "b", Status: dispatch.Ready}})
	changed := tracker.SetFleetCordons(5, []string{"a", "later"})
	require.Equal(t, []dispatch.Host{{Name: "a", Status: dispatch.Draining}}, changed)
	require.Empty(t, tracker.SetFleetCordons(6, []string{"a", "later"}))
	_, err := tracker.Resume(7, "a")
	require.ErrorIs(t, err, ErrFleet)
	shown := tracker.Apply(dispatch.Delta, []dispatch.Host{{Name: "later", Status: dispatch.Ready}})
	require.Equal(t, dispatch.Draining, shown[0].Status)
	_, err = tracker.Suspend("a")
	require.NoError(t, err)
	changed = tracker.SetFleetCordons(9, nil)
	require.Equal(t, []dispatch.Host{{Name: "later", Status: dispatch.Ready, Since: 9}}, changed)
	require.True(t, tracker.IsCordoned("a"), "cordoned by an operator")
}
