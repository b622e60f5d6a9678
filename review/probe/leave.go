package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Times of the case leave.
const (
	restartAfter = 400 * time.Millisecond // the platform starts a killed process again after a short delay
	decides      = 100 * time.Millisecond // after its node is back, the rater decides to leave
	lingers      = 8 * time.Second        // for which the leaving rater serves on after the acknowledgement
)

// playLeave has a rater leave just after all machines that count were killed and started again. It sends DELETE first.
func playLeave(p *play) error {
	if err := p.start(); err != nil {
		return err
	}
	if err := p.configure(http.MethodPut, "0", []byte(firstConfig), 15*time.Second); err != nil {
		return err
	}
	nodes := p.controlNodes()
	for i := range 9 {
		zone := i % len(zones)
		first := zone * controlPerZone
		r, err := p.newRater(i+1, "tarif-llm", zones[zone].name, append(append([]string(nil), nodes[first:]...), nodes[:first]...))
		if err != nil {
			return err
		}
		go r.beat()
	}
	if err := p.awaitServing(15 * time.Second); err != nil {
		return err
	}
	clients := p.startClients(300*time.Millisecond, 15*time.Second)
	time.Sleep(4 * time.Second)
	leaving := p.raters[0]
	leaving.awaitBeat()
	restarted := time.Now()
	if p.trouble {
		if err := p.killCore(); err != nil {
			return err
		}
		restarted = time.Now()
	}
	leaving.leave()
	if err := awaitListening(leaving.nodes[0], 5*time.Second); err != nil {
		return err
	}
	time.Sleep(decides)
	node, err := leaving.untilAcknowledged(leaving.deregister, 4*time.Second)
	if err != nil {
		return fmt.Errorf("DELETE was not acknowledged: %w", err)
	}
	acknowledged := time.Now()
	p.records.note("at %.3f s: DELETE of %s acknowledged by %s, %.3f s after the core was started again", p.records.at(acknowledged), leaving.id, node,
		acknowledged.Sub(restarted).Seconds())
	time.Sleep(lingers)
	ended := time.Now()
	leaving.stop()
	time.Sleep(3 * time.Second)
	return p.judgeLeave(leaving, clients.stop(), acknowledged, restarted, ended)
}

// killCore kills all processes of the machines that count and starts them again.
func (p *play) killCore() error {
	var kills sync.WaitGroup
	for _, m := range p.machines {
		if m.core {
			kills.Go(func() { p.kill(m) })
		}
	}
	kills.Wait()
	time.Sleep(restartAfter)
	for _, m := range p.machines {
		if m.core {
			if err := p.boot(m, false); err != nil {
				return err
			}
		}
	}
	return nil
}

// awaitListening waits until a node accepts connections.
func awaitListening(node string, within time.Duration) error {
	for deadline := time.Now().Add(within); ; time.Sleep(5 * time.Millisecond) {
		connection, err := net.DialTimeout("tcp4", node, callWithin)
		if err == nil {
			return connection.Close()
		}
		if time.Now().After(deadline) {
			return err
		}
	}
}

// judgeLeave judges DRAIN: no request that a machine in touch took reaches the rater more than DrainMs after the acknowledgement.
func (p *play) judgeLeave(leaving *rater, outcomes []outcome, acknowledged, restarted, ended time.Time) error {
	inTouch := restarted.Add(contact)
	byAttempt := map[string]outcome{}
	for _, one := range outcomes {
		byAttempt[one.attempt] = one
	}
	late, lost := 0, 0
	var last time.Time
	for _, one := range leaving.ranAfter(acknowledged.Add(drainTime)) {
		sent, known := byAttempt[one.attempt]
		if !known || sent.front.core && p.trouble || sent.sentAt.Before(inTouch) {
			continue // its machine was not in touch
		}
		late, last = late+1, one.at
		if sent.status != http.StatusOK || sent.err != nil {
			lost++
		}
	}
	p.records.note("the rater ended %.3f s after the acknowledgement; of %d requests %d reached it later than DrainMs after that, from machines in touch; %d of these got no whole answer",
		ended.Sub(acknowledged).Seconds(), len(outcomes), late, lost)
	if late > 0 {
		p.records.note("the last one reached it %.3f s after the acknowledgement", last.Sub(acknowledged).Seconds())
		return fmt.Errorf("%w: DRAIN, %d requests", errBroken, late)
	}
	return nil
}
