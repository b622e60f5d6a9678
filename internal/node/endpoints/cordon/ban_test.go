package cordon

import (
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"linenwheel.dev/linenwheel/internal/node/dispatch"
)

// TestBookHolds guards, over any history of lists and orders, against a rater that is out by hand and shown ready, one that is
// back and shown warm, an order that a list undoes, and a book that the next process reads otherwise.
func TestBookHolds(t *testing.T) {
	require.NoError(t, flag.Set("rapid.seed", "5"))
	rapid.Check(t, func(t *rapid.T) {
		var b Book
		shown, out, back, listed := map[string]dispatch.Host{}, map[string]bool{}, map[string]float64{}, map[string]bool{}
		name := rapid.Custom(func(t *rapid.T) string { return fmt.Sprint("s", rapid.IntRange(0, 4).Draw(t, "rater")) })
		see := func(list []dispatch.Host) {
			for _, h := range list {
				if shown[h.Name] = h; h.Status == dispatch.Removed {
					delete(shown, h.Name)
				}
			}
		}
		for now := 1.0; now < 40; now++ {
			who := name.Draw(t, "who")
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
				see(b.Take(dispatch.Full, list))
			case 1:
				h := dispatch.Host{Name: who, Status: dispatch.Status(rapid.IntRange(0, 2).Draw(t, "status"))}
				if listed[who] = h.Status != dispatch.Removed; !listed[who] {
					delete(listed, who)
				}
				see(b.Take(dispatch.Delta, []dispatch.Host{h}))
			case 2, 3:
				list, err := b.Suspend(who)
				require.Equal(t, !listed[who] && !out[who], err != nil)
				if err == nil && !out[who] {
					out[who] = true
					delete(back, who)
				}
				see(list)
			case 4:
				list, err := b.Resume(now, who)
				require.Equal(t, !listed[who] && !out[who], err != nil)
				if out[who] && listed[who] {
					back[who] = now
				}
				delete(out, who)
				see(list)
			case 5:
				var next Book
				next.Take(dispatch.Full, b.all())
				see(next.Recall(b.Remember()))
				b = next
			}
			require.Equal(t, len(listed), b.Listed())
			for name := range back {
				if !listed[name] {
					delete(back, name)
				}
			}
			for name, h := range shown {
				require.True(t, listed[name])
				require.False(t, out[name] && h.Status == dispatch.Ready, "%s is out and shown ready", name)
				require.GreaterOrEqual(t, h.Since, back[name], "%s is back and shown warm", name)
			}
		}
	})
}

// all is what the sources list.
func (b *Book) all() (list []dispatch.Host) {
	for _, h := range b.listed {
		list = append(list, h)
	}
	return list
}

// Guards against a rater that the fleet's policy leaves out and that is shown ready, one that a single node's operator calls back
// against it, one that comes back warm, and one out by hand that the policy brings back.
func TestFleet(t *testing.T) {
	var b Book
	b.Take(dispatch.Full, []dispatch.Host{{Name: "a", Status: dispatch.Ready}, {Name: "b", Status: dispatch.Ready}})
	changed := b.Fleet(5, []string{"a", "later"})
	require.Equal(t, []dispatch.Host{{Name: "a", Status: dispatch.Draining}}, changed)
	require.Empty(t, b.Fleet(6, []string{"a", "later"}))
	_, err := b.Resume(7, "a")
	require.ErrorIs(t, err, ErrFleet)
	shown := b.Take(dispatch.Delta, []dispatch.Host{{Name: "later", Status: dispatch.Ready}})
	require.Equal(t, dispatch.Draining, shown[0].Status)
	_, err = b.Suspend("a")
	require.NoError(t, err)
	changed = b.Fleet(9, nil)
	require.Equal(t, []dispatch.Host{{Name: "later", Status: dispatch.Ready, Since: 9}}, changed)
	require.True(t, b.Out("a"), "by hand")
}
