package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/decide"
)

func newTestService(t *testing.T, raters int, seed uint64) *Service {
	t.Helper()
	s, err := NewService(Options{Aim: 500 * time.Millisecond, Deadline: 3 * time.Second, Nodes: 4, Seed: seed})
	require.NoError(t, err)
	s.SetRaters(time.Second, list(raters))
	return s
}

func list(raters int) []Rater {
	var all []Rater
	for i := range raters {
		all = append(all, Rater{ID: fmt.Sprintf("r%02d", i), Slots: 64})
	}
	return all
}

func prefixed(key string) *Request {
	return &Request{Prefix: key, Own: 500, Shared: 5000, Aim: 500 * time.Millisecond, Deadline: time.Hour}
}

func TestAllNodesGiveAPrefixTheSameHome(t *testing.T) {
	a, b := newTestService(t, 9, 1), newTestService(t, 9, 2)
	homes := map[string]int{}
	for i := range 300 {
		key := fmt.Sprint(i)
		first, second := a.Place(time.Second, prefixed(key)), b.Place(time.Second, prefixed(key))
		require.Equal(t, first.Rater.ID, second.Rater.ID)
		homes[first.Rater.ID]++
		a.End(time.Second, first, decide.Good, Load{})
		b.End(time.Second, second, decide.Good, Load{})
	}
	for id, count := range homes {
		require.InDelta(t, 300.0/9, count, 25, id)
	}
}

func TestOnlyThePrefixesOfARaterThatLeavesMove(t *testing.T) {
	before, after := newTestService(t, 9, 1), newTestService(t, 9, 1)
	after.SetRaters(time.Second, append(list(9)[:4], list(9)[5:]...))
	for i := range 300 {
		was, is := before.Place(time.Second, prefixed(fmt.Sprint(i))), after.Place(time.Second, prefixed(fmt.Sprint(i)))
		if was.Rater.ID != "r04" {
			require.Equal(t, was.Rater.ID, is.Rater.ID)
		}
		before.End(time.Second, was, decide.Good, Load{})
		after.End(time.Second, is, decide.Good, Load{})
	}
}

func TestDrainingLateAndTriedRatersGetNothing(t *testing.T) {
	s := newTestService(t, 4, 1)
	raters := list(4)
	raters[0].Draining, raters[1].Late = true, true
	s.SetRaters(time.Second, raters)
	for i := range 60 {
		request := prefixed(fmt.Sprint(i))
		if i%2 == 0 {
			request.Prefix = ""
		}
		request.Exclude = []string{"r02"}
		ticket := s.Place(time.Second, request)
		require.NotNil(t, ticket)
		require.Equal(t, "r03", ticket.Rater.ID)
		s.End(time.Second, ticket, decide.Good, Load{})
	}
	require.Nil(t, s.Place(time.Second, &Request{Exclude: []string{"r02", "r03"}, Deadline: time.Hour}))
}

func TestARaterThatHoldsMoreThanItsPartPassesPrefixesOn(t *testing.T) {
	s := newTestService(t, 4, 1)
	places := map[string]int{}
	for range 40 {
		places[s.Place(time.Second, prefixed("hot")).Rater.ID]++
	}
	require.GreaterOrEqual(t, len(places), 2)
	for id, count := range places {
		require.LessOrEqual(t, float64(count), boundPart*40/4+boundSlack, id)
	}
}

// teach lets a service learn that its raters read so many tokens a second.
func teach(s *Service, now time.Duration, speed float64) time.Duration {
	for i := range 40 {
		request := prefixed(fmt.Sprint("teach", i))
		request.Own = 10_000
		if i%2 == 0 {
			request.Own = 100
		}
		ticket := s.Place(now, request)
		now += 50*time.Millisecond + time.Duration(request.Own/speed*float64(time.Second))
		s.Begun(now, ticket)
		s.End(now, ticket, decide.Good, Load{})
	}
	return now
}

func TestARequestMovesFromAHomeThatReadsALongPrompt(t *testing.T) {
	s := newTestService(t, 9, 1)
	now := teach(s, time.Second, 100_000)
	home := s.Place(now, prefixed("k"))
	s.End(now, home, decide.Good, Load{})
	s.Heard(now, []Reading{{ID: 7, Rater: home.Rater.ID, Tokens: 90_000}})
	moved := s.Place(now, prefixed("k"))
	require.NotEqual(t, home.Rater.ID, moved.Rater.ID)
	require.InDelta(t, 5500, moved.tokens, 1, "the shared part is read anew there")
	s.End(now, moved, decide.Good, Load{})
	patient := prefixed("k")
	patient.Aim = time.Minute
	stays := s.Place(now, patient)
	require.Equal(t, home.Rater.ID, stays.Rater.ID, "one with time to spare stays with its prefix")
	s.End(now, stays, decide.Good, Load{})
	s.Heard(now, []Reading{{ID: 7, Rater: home.Rater.ID, Ended: true}})
	back := s.Place(now, prefixed("k"))
	require.Equal(t, home.Rater.ID, back.Rater.ID)
}

func TestANoticeThatIsNeverEndedIsForgotten(t *testing.T) {
	s := newTestService(t, 2, 1)
	now := teach(s, time.Second, 100_000)
	s.Heard(now, []Reading{{ID: 7, Rater: "r00", Tokens: 90_000}})
	require.Positive(t, s.backlog.wait(now, "r00"))
	require.Zero(t, s.backlog.wait(now+readingLife+time.Second, "r00"))
}

func TestTheSpeedOfReadingIsThatOfAnIdleRater(t *testing.T) {
	s := newTestService(t, 9, 1)
	teach(s, time.Second, 100_000)
	require.True(t, s.backlog.known())
	require.InDelta(t, 100_000, s.backlog.speed, 15_000)
	require.InDelta(t, 0.05, s.backlog.base.Seconds(), 0.01)
}

func TestWithoutAPrefixTheSharesDecide(t *testing.T) {
	s := newTestService(t, 3, 1)
	now := time.Second
	places := map[string]int{}
	for range 3000 {
		now += 5 * time.Millisecond
		ticket := s.Place(now, &Request{Deadline: time.Hour})
		places[ticket.Rater.ID]++
		took := 20 * time.Millisecond
		if ticket.Rater.ID == "r00" { // four times slower
			took *= 4
		}
		s.Begun(now+took, ticket)
		s.End(now+took, ticket, decide.Good, Load{})
	}
	require.Less(t, places["r00"], places["r01"])
	require.Less(t, places["r00"], places["r02"])
	require.Positive(t, places["r00"])
}

func TestARaterThatDoesNotConnectIsPutAwayAndComesBack(t *testing.T) {
	s := newTestService(t, 3, 1)
	now := time.Second
	down, placesDown, placesAfter := true, 0, 0
	for i := range 4000 {
		now += 5 * time.Millisecond
		down = i < 2000
		ticket := s.Place(now, &Request{Deadline: time.Hour})
		require.NotNil(t, ticket)
		if ticket.Rater.ID != "r00" {
			s.Begun(now+10*time.Millisecond, ticket)
			s.End(now+10*time.Millisecond, ticket, decide.Good, Load{})
			continue
		}
		if down {
			placesDown++
			s.End(now, ticket, decide.NoConnect, Load{})
			continue
		}
		placesAfter++
		s.Begun(now+10*time.Millisecond, ticket)
		s.End(now+10*time.Millisecond, ticket, decide.Good, Load{})
	}
	require.Less(t, placesDown, 40)
	require.Greater(t, placesAfter, 100)
}

func TestARaterThatANodeCouldNotReachIsLeftAloneByAll(t *testing.T) {
	a, b := newTestService(t, 9, 1), newTestService(t, 9, 2)
	now := time.Second
	home := a.Place(now, prefixed("k"))
	a.End(now, home, decide.NoConnect, Load{})
	a.Unreachable(now, home)
	b.Heard(now, []Reading{{Rater: home.Rater.ID, Down: true}})
	for _, s := range []*Service{a, b} {
		moved := s.Place(now+time.Millisecond, prefixed("k"))
		require.NotEqual(t, home.Rater.ID, moved.Rater.ID)
		s.End(now, moved, decide.Good, Load{})
		back := s.Place(now+suspectMost, prefixed("k"))
		require.Equal(t, home.Rater.ID, back.Rater.ID, "it is tried again after a while")
		s.End(now, back, decide.Good, Load{})
	}
}

func TestOneNodesBadLinksCondemnNoRaterForAll(t *testing.T) {
	s := newTestService(t, 9, 1)
	now := time.Second
	heard := s.Place(now, prefixed("k"))
	s.Begun(now, heard)
	s.End(now, heard, decide.Good, Load{})
	s.Heard(now+trustOwn/2, []Reading{{Rater: heard.Rater.ID, Down: true}})
	again := s.Place(now+trustOwn/2, prefixed("k"))
	require.Equal(t, heard.Rater.ID, again.Rater.ID, "what this node hears from it goes before")
	s.End(now, again, decide.Good, Load{})
	now += time.Minute
	for _, rater := range list(9) {
		s.Heard(now, []Reading{{Rater: rater.ID, Down: true}})
	}
	suspected := 0
	for _, m := range s.members {
		if m.suspected(now) {
			suspected++
		}
	}
	require.LessOrEqual(t, suspected, 4, "less than half of them")
}

func TestASuspectedRaterIsBetterThanNone(t *testing.T) {
	s := newTestService(t, 1, 1)
	only := s.Place(time.Second, prefixed("k"))
	s.End(time.Second, only, decide.NotSent, Load{})
	s.Unreachable(time.Second, only)
	require.NotNil(t, s.Place(time.Second, prefixed("k")))
}

func TestRendezvousSpreadsEvenlyAndStably(t *testing.T) {
	places := []string{"a", "b", "c"}
	counts := map[string]int{}
	for i := range 3000 {
		key := fmt.Sprint(i)
		place := Rendezvous(key, places)
		counts[place]++
		if place != "c" {
			require.Equal(t, place, Rendezvous(key, places[:2]))
		}
	}
	for _, place := range places {
		require.InDelta(t, 1000, counts[place], 120)
	}
	require.Empty(t, Rendezvous("k", nil))
}
