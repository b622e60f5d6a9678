package core

import "slices"

// Handler serves a call and blocks until its final answer. A stage that waits must return an Answer of kind
// ClientLeft when Call.Done is closed.
type Handler func(*Call) Answer

// Stage is middleware: it wraps the next handler.
type Stage func(next Handler) Handler

// Stages are the middleware in front of the dispatcher, in the order in which a call passes them. Nil stages are
// skipped.
type Stages struct {
	First       []Stage // of the embedding program, before all others
	Auth        Stage   // authentication and authorization
	Quota       Stage   // tenant quotas
	Idempotency Stage   // idempotency
	Region      Stage   // forwarding to other regions
	Last        []Stage // of the embedding program, directly before the dispatcher
}

// chain wraps a handler in the stages, the first outermost.
func (s Stages) chain(h Handler) Handler {
	all := slices.Concat(s.First, []Stage{s.Auth, s.Quota, s.Idempotency, s.Region}, s.Last)
	for _, stage := range slices.Backward(all) {
		if stage != nil {
			h = stage(h)
		}
	}
	return h
}
