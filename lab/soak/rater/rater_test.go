package rater

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// maxTokens is the length of the longest streams of the tests.
const maxTokens = 14

// Guards against a judge that overlooks a fault, and one that sees a fault where there is none.
func TestJudgement(t *testing.T) {
	whole := Event(1, 3) + Event(4, 6)
	for name, test := range map[string]struct {
		received Received
		body     string
		complete bool
		want     Judgement
	}{
		"whole":                    {Received{Next: 1}, whole, true, Judgement{Whole: true}},
		"whole, resumed":           {Received{Next: 4, Last: 3}, Event(4, 5) + Event(6, 6), true, Judgement{Whole: true}},
		"resumed at its end":       {Received{Next: 7, Last: 6}, "", true, Judgement{Whole: true}},
		"cut between events":       {Received{Next: 1}, Event(1, 3), false, Judgement{}},
		"cut within an event":      {Received{Next: 1}, Event(1, 3) + "id: 6\nda", false, Judgement{}},
		"ends early":               {Received{Next: 1}, Event(1, 3), true, Judgement{TooEarly: true, Broken: "framed as complete, ends before token 4 of 6"}},
		"ends within an event":     {Received{Next: 1}, whole + "id", true, Judgement{TooEarly: true, Broken: `framed as complete, ends within an event: "id"`}},
		"token twice":              {Received{Next: 4, Last: 3}, Event(3, 5), false, Judgement{Broken: "t3 comes where t4 is due"}},
		"token missing":            {Received{Next: 1}, Event(1, 3) + Event(5, 6), false, Judgement{Broken: "t5 comes where t4 is due"}},
		"number went back":         {Received{Next: 4, Last: 3}, "id: 2\n\n", false, Judgement{Broken: `id " 2" follows 3`}},
		"event without new number": {Received{Next: 4, Last: 3}, "id: 3\n\n", true, Judgement{Broken: `id " 3" follows 3`}},
	} {
		assert.Equal(t, test.want, test.received.Judge(test.body, test.complete, 6), name)
	}
}

// Guards against behaviours of backends that a play doesn't meet.
func TestPlansMeetEveryBehaviour(t *testing.T) {
	ends, continued := map[Framing]map[Ending]int{}, map[Continuation]int{}
	for number := range 1000 {
		name := fmt.Sprint("s", number)
		plan := PlanOf(1, name, name, 0, maxTokens)
		if ends[plan.Framing] == nil {
			ends[plan.Framing] = map[Ending]int{}
		}
		ends[plan.Framing][plan.Ending]++
		continued[PlanOf(1, name, name, 5, maxTokens).Continuation]++
	}
	for framing := range framings {
		assert.Len(t, ends[framing], int(endings), framingNames[framing])
	}
	assert.Len(t, continued, int(continuations))
}
