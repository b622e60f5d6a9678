package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"linenwheel.dev/linenwheel/lab/soak/rater"
)

// Terms of a client.
const (
	clientTimeout = 20 * time.Second
	maxTries      = 8
	retryPause    = 50 * time.Millisecond
)

// stream is a stream that a client wants, over all its tries.
type stream struct {
	name   string
	route  string
	tokens int
	rater.Received
}

// receive receives one stream. The client resumes it, or asks again where nothing has come, as far as the route allows.
func (p *play) receive(number int) {
	random := rater.Draw(p.Seed, "stream", fmt.Sprint(number))
	s := &stream{name: fmt.Sprintf("s%d", number), route: routes[random.IntN(len(routes))],
		tokens: minTokens + random.IntN(maxTokens-minTokens+1), Received: rater.Received{Next: 1}}
	for try := range maxTries {
		front := p.fleet.Front(p.fleet.Data[random.IntN(len(p.fleet.Data))])
		if p.try(s, front, fmt.Sprintf("%016x", number*maxTries+try)) {
			return
		}
		if s.Next > 1 && !routesThatGoOn[s.route] {
			if s.route != "safe" {
				break
			}
			s.Received = rater.Received{Next: 1}
		}
		time.Sleep(retryPause)
	}
	p.record(func(r *Result) { r.Unfinished++ })
}

// try makes one request for what is missing of a stream, and reports whether the stream has ended: whole or broken.
func (p *play) try(s *stream, front, id string) bool {
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/%s/%d", front, s.route, s.tokens), strings.NewReader("prompt"))
	if err != nil {
		return false
	}
	request.Host = "h"
	for name, value := range map[string]string{"Attempt-Id": id, rater.HeaderStream: s.name, "Api-Key": "key", "Deadline-Ms": "8000",
		"Token-Usage": "600,40", "Prompt-Prefix": "aa:400," + s.name + ":200"} {
		request.Header.Set(name, value)
	}
	last := s.Last
	if last > 0 {
		request.Header.Set("Last-Event-Id", strconv.Itoa(last))
	}
	p.record(func(r *Result) { r.Tries++ })
	response, err := p.client.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if response.StatusCode != http.StatusOK {
		return false
	}
	judgement := s.Judge(string(body), err == nil, s.tokens)
	plan := rater.PlanOf(p.Seed, s.name, id, last, s.tokens)
	switch {
	case judgement.Whole:
		p.record(func(r *Result) { r.Whole++ })
	case judgement.Broken == "":
		return false
	case judgement.TooEarly && looksWhole(plan, s.route):
		p.record(func(r *Result) { r.Undecidable++ })
	default:
		line := fmt.Sprintf("seed %d, %s of %d tokens on %s, try %s after event %d: %s; first run: %s", p.Seed, s.name, s.tokens, s.route, id, last,
			judgement.Broken, plan)
		p.record(func(r *Result) { r.Broken = append(r.Broken, line) })
	}
	return true
}

// looksWhole reports whether the bytes of a run that ends too early are those of a whole one: no client of the backend can tell,
// unless it may ask what follows. Only on a streaming route is a body known to consist of events.
func looksWhole(plan rater.Plan, route string) bool {
	return !routesThatGoOn[route] && plan.LooksWhole(route != "safe")
}
