package decide_test

import (
	"fmt"
	"time"

	"linenwheel.dev/linenwheel/decide"
)

// proxy carries out the actions of a Balancer. A real one would open connections and set timers.
type proxy struct{ sentTo decide.BackendID }

func (p *proxy) Send(_ decide.RequestID, to decide.BackendID, _ time.Duration) { p.sentTo = to }
func (p *proxy) Reject(decide.RequestID, time.Duration)                        {}
func (p *proxy) Fail(decide.RequestID)                                         {}
func (p *proxy) Cancel(decide.RequestID, int)                                  {}
func (p *proxy) Probe(decide.BackendID)                                        {}
func (p *proxy) SetTimer(time.Duration, uint64)                                {}
func (p *proxy) Watch()                                                        {}
func (p *proxy) Log(string)                                                    {}

func Example() {
	p := &proxy{}
	b, err := decide.New(decide.Settings{
		Nodes:   1,
		Zones:   []string{"north"},
		Kinds:   []string{"standard"},
		Classes: []decide.Class{{Name: "page", Target: 200 * time.Millisecond, Deadline: time.Second, Value: 1}},
		Limits:  decide.Limits{MaxAttempts: 2},
	}, 42, p)
	if err != nil {
		fmt.Println(err)
		return
	}

	now := time.Second // any clock that only moves forward
	b.UpdateEndpoints(now, decide.EndpointsStored, []decide.Backend{{ID: 7}})
	b.Request(now, decide.Request{ID: 1, Tenant: -1, Deadline: now + time.Second})
	fmt.Println("sent to backend", p.sentTo)

	now += 30 * time.Millisecond
	b.Outcome(now, decide.Outcome{Request: 1, Backend: 7, Over: true,
		Latency: 30 * time.Millisecond, Result: decide.Succeeded})
	// Output: sent to backend 7
}
