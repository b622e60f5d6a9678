package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// Times and doses of the case unframed. Of 9 raters one has a harmed link (the pages: a share of .2), to 3 of 12 machines (.3), and one
// crashes (.15).
const (
	rounds       = 16
	harmedFor    = 2500 * time.Millisecond // before the crash; the pages: 5 s
	downFor      = 1500 * time.Millisecond // the pages: 4.5 s
	harmedFronts = 3
	raterCount   = 9
)

// playUnframed has raters crash whose answers have no length, while their links to some machines lose three packets in ten.
func playUnframed(p *play) error {
	if err := p.start(); err != nil {
		return err
	}
	if err := p.configure(http.MethodPut, "0", []byte(firstConfig), 15*time.Second); err != nil {
		return err
	}
	current := make([]*rater, raterCount)
	number := 0
	next := func() (*rater, error) {
		number++
		r, err := p.newUnframedRater(number)
		if err == nil {
			go r.beat()
		}
		return r, err
	}
	for i := range current {
		r, err := next()
		if err != nil {
			return err
		}
		current[i] = r
	}
	if err := p.awaitServing(15 * time.Second); err != nil {
		return err
	}
	clients := p.startClients(250*time.Millisecond, 15*time.Second)
	time.Sleep(3 * time.Second)
	for round := range rounds {
		target := round % raterCount
		if p.trouble {
			current[target].link.harm(p.someFronts())
		}
		time.Sleep(harmedFor)
		if p.trouble {
			p.records.line("rater %s crashes", current[target].id)
			current[target].crash()
		}
		time.Sleep(downFor)
		if !p.trouble {
			continue
		}
		r, err := next()
		if err != nil {
			return err
		}
		current[target] = r
	}
	time.Sleep(5 * time.Second)
	return p.judgeStreams(clients.stop())
}

// newUnframedRater starts a rater whose answers end with their connections.
func (p *play) newUnframedRater(number int) (*rater, error) {
	zone := number % len(zones)
	nodes := p.controlNodes()
	first := zone * controlPerZone
	r, err := p.newRater(number, "tarif-llm", zones[zone].name, append(append([]string(nil), nodes[first:]...), nodes[:first]...))
	if err != nil {
		return nil, err
	}
	r.work, r.unframed = 60*time.Millisecond, true
	return r, nil
}

// someFronts draws the machines to which a link is harmed.
func (p *play) someFronts() map[*machine]bool {
	drawn := map[*machine]bool{}
	for _, i := range rand.Perm(len(p.machines))[:harmedFronts] {
		drawn[p.machines[i]] = true
	}
	return drawn
}

// judgeStreams judges ORDER: no stream ends as complete before its last piece has come.
func (p *play) judgeStreams(outcomes []outcome) error {
	short, whole, cut, other := 0, 0, 0, 0
	for _, one := range outcomes {
		switch {
		case one.status == http.StatusOK && one.err == nil && one.events < streamEvents:
			short++
			p.records.note("stream %s from %s ended as complete after %d of %d events", one.attempt, one.front.name, one.events, streamEvents)
		case one.status == http.StatusOK && one.err == nil:
			whole++
		case one.events > 0 || errors.Is(one.err, errBodyCut):
			cut++
		default:
			other++
		}
	}
	p.records.note("of %d streams, %d whole, %d cut visibly, %d refused or failed, %d ended as complete before their last event", len(outcomes), whole, cut, other, short)
	if short > 0 {
		return fmt.Errorf("%w: ORDER, %d streams", errBroken, short)
	}
	return nil
}
