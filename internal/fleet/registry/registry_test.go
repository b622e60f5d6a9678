package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const beat = time.Second

func record(id string, sequence int64, state State) Record {
	return Record{ID: id, Backend: "llm", Address: "10.0.0.1:1", Sequence: sequence, State: state}
}

func only(t *testing.T, r *Registry, id string) Record {
	t.Helper()
	one, known := r.Get(0, id)
	require.True(t, known)
	return one
}

func TestLateAndDoubledHeartbeatsDoNotBringADrainingRaterBack(t *testing.T) {
	r := New(beat)
	require.True(t, r.Heartbeat(0, record("a", 1, Ready)))
	require.True(t, r.Heartbeat(0, record("a", 3, Draining)))
	require.False(t, r.Heartbeat(0, record("a", 2, Ready)), "a late one")
	require.False(t, r.Heartbeat(0, record("a", 3, Draining)), "a doubled one")
	require.False(t, r.Heartbeat(0, record("a", 4, Ready)), "one that leaves does not come back under its id")
	require.Equal(t, Draining, only(t, r, "a").State)
}

func TestAHeartbeatAfterLeavingIsNoNews(t *testing.T) {
	r := New(beat)
	r.Heartbeat(0, record("a", 1, Ready))
	require.True(t, r.Deregister(0, "a"))
	require.False(t, r.Deregister(0, "a"))
	require.False(t, r.Heartbeat(0, record("a", 9, Ready)))
	require.Equal(t, Removed, only(t, r, "a").State)
}

func TestLeavingIsKnownBeforeTheRater(t *testing.T) {
	r := New(beat)
	require.True(t, r.Deregister(0, "a"))
	require.False(t, r.Heartbeat(0, record("a", 1, Ready)))
}

func TestAnAddressThatIsTakenOverEndsTheOldRater(t *testing.T) {
	r := New(beat)
	r.Heartbeat(0, record("a", 1, Ready))
	version := r.Version()
	r.Heartbeat(0, record("b", 1, Ready))
	require.Equal(t, Removed, only(t, r, "a").State)
	require.Len(t, r.ChangedSince(0, version), 2)
}

func TestSilenceMakesARaterLateThenSilentAndAHeartbeatBringsItBack(t *testing.T) {
	r := New(beat)
	r.Heartbeat(0, record("a", 1, Ready))
	require.False(t, r.Expire(beat*3/2))
	require.True(t, r.Expire(3*beat))
	require.True(t, only(t, r, "a").Late)
	require.True(t, r.Heartbeat(3*beat, record("a", 2, Ready)), "it is heard again")
	require.False(t, only(t, r, "a").Late)
	require.True(t, r.Expire(20*beat))
	require.True(t, only(t, r, "a").Silent)
	require.Equal(t, Ready, only(t, r, "a").State, "a rater that nobody heard has not said that it leaves")
	late, silent := r.Unresponsive()
	require.Empty(t, late)
	require.Equal(t, []string{"a"}, silent)
	require.True(t, r.Heartbeat(21*beat, record("a", 3, Ready)))
	require.False(t, only(t, r, "a").Silent)
	r.Expire(200 * beat)
	_, known := r.Get(0, "a")
	require.False(t, known, "one that has been silent for very long is forgotten")
}

func TestCopiesAgreeWhateverTheOrderOfTheirExchanges(t *testing.T) {
	news := []Record{record("a", 1, Ready), record("a", 2, Draining), record("b", 5, Ready), record("b", 4, Ready)}
	news[2].Address, news[3].Address = "10.0.0.2:1", "10.0.0.2:1"
	for seed := range 24 {
		order := append([]Record(nil), news...)
		for i, rest := len(order)-1, seed; i > 0; i-- {
			j := rest % (i + 1)
			rest /= i + 1
			order[i], order[j] = order[j], order[i]
		}
		r := New(beat)
		for _, one := range order {
			r.Merge(time.Second, []Record{one})
		}
		require.Equal(t, Draining, only(t, r, "a").State)
		require.EqualValues(t, 5, only(t, r, "b").Sequence)
	}
}

func TestMergedRecordsKeepTheirAge(t *testing.T) {
	r := New(beat)
	old := record("a", 1, Ready)
	old.HeardAgo = 5 * beat
	r.Merge(10*beat, []Record{old})
	require.True(t, r.Expire(10*beat))
	require.True(t, only(t, r, "a").Late)
}

func TestSinceGivesEachChangedRecordOnceHoweverOftenItChanged(t *testing.T) {
	r := New(beat)
	for sequence := range int64(500) {
		one := record("a", sequence, Ready)
		one.Slots = int(sequence)
		r.Heartbeat(0, one)
		other := record("b", sequence, Ready)
		other.Address = "10.0.0.2:1"
		r.Heartbeat(0, other)
	}
	require.Len(t, r.ChangedSince(0, 0), 2)
	require.Len(t, r.ChangedSince(0, r.Version()-1), 1)
	require.Empty(t, r.ChangedSince(0, r.Version()))
	require.LessOrEqual(t, len(r.changes), 2*2+minChanges+1)
}

func TestACopyThatDoesNotHearARaterDoesNotSpeakForTheOthers(t *testing.T) {
	hears, deaf := New(beat), New(beat)
	hears.Heartbeat(0, record("a", 1, Ready))
	deaf.Merge(0, hears.ChangedSince(0, 0))
	for sequence := int64(2); sequence < 300; sequence++ {
		now := time.Duration(sequence) * beat
		hears.Heartbeat(now, record("a", sequence, Ready))
		hears.Expire(now)
		deaf.Expire(now)
		hears.Merge(now, deaf.ChangedSince(now, 0))
		one := only(t, hears, "a")
		require.Equal(t, Ready, one.State)
		require.False(t, one.Late || one.Silent, "heartbeat %d", sequence)
	}
}
