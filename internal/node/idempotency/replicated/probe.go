package replicated

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"math/rand/v2"

	"linenwheel.dev/linenwheel/internal/node/statemachine"
)

// Run announces this process's incarnation to the replicas, and then probes whether a majority of them can be
// reached, until ctx ends. Until the first probe has succeeded, no key is claimed.
func (n *Keys) Run(ctx context.Context) {
	defer n.background.Wait()
	defer close(n.stopping)
	p := &prober{names: n, start: statemachine.ProcessStart{Node: n.config.Node, Incarnation: n.life, Secret: secretSum(n.config.Secret),
		Predecessor: n.config.Predecessor}}
	predecessorEnded := n.predecessorEnded
	if p.start.Predecessor == 0 {
		predecessorEnded = nil
	}
	for ctx.Err() == nil {
		replies := n.replies.Load()
		err := p.probe(ctx)
		switch {
		case err == nil && !n.reachable.Swap(true):
			n.log.Info("names are agreed with the fleet", "life", n.life)
			if !p.ready {
				p.ready = true
				close(n.ready)
			}
		case err != nil && n.replies.Load() == replies:
			n.markUnreachable(err)
		}
		pause := probeInterval
		if !n.reachable.Load() {
			pause = unreachableProbeInterval
		}
		wait, cancel := n.timer(n.clock.Now() + pause*(0.75+rand.Float64()/2))
		select {
		case <-wait:
		case <-predecessorEnded: // the calls that it claimed and did not complete may have executed
			predecessorEnded, p.start.Predecessor, p.announced = nil, 0, false
			cancel()
		case <-ctx.Done():
			cancel()
		}
	}
}

// prober is the state of Run.
type prober struct {
	names     *Keys
	start     statemachine.ProcessStart
	announced bool // start was committed
	warned    bool // a different secret has been logged
	ready     bool // keys could be claimed at least once
}

// probe asks the replicas once: it announces the process if that has not been committed yet, otherwise it reads a key
// that nobody holds.
func (p *prober) probe(ctx context.Context) error {
	n := p.names
	timeout := n.config.RequestTimeout
	if !n.reachable.Load() {
		timeout = max(timeout, unreachableProbeTimeout)
	}
	ctx, stop := context.WithTimeout(ctx, n.duration(timeout))
	defer stop()
	// Once another process replaces this one, an announcement would end the incarnation of that process, and its
	// runs would count as abandoned.
	if !p.announced && n.announceCtx.Err() == nil {
		return p.announce(ctx, stop)
	}
	_, err := n.client.Read(ctx, statemachine.ComponentCalls, statemachine.Lookup{Name: make([]byte, 16)})
	return err
}

// announce reports the start of the process to the replicas, which commit it; stop ends ctx.
func (p *prober) announce(ctx context.Context, stop func()) error {
	n := p.names
	unhook := context.AfterFunc(n.announceCtx, stop) //nolint:contextcheck // n.announceCtx ends with StopAnnouncing, before ctx
	defer unhook()
	r, err := n.client.Do(ctx, statemachine.ComponentCalls, statemachine.ProcessStartCommand(p.start))
	if err == nil && r.Code == statemachine.Conflict {
		if !p.warned {
			n.log.Error("this node hashes idempotency keys with another secret than its fleet: it claims none", "error", r.Text)
		}
		p.warned, err = true, errors.New(r.Text)
	}
	p.announced = err == nil
	return err
}

// secretSum returns a digest of the secret, by which nodes that hash keys with different secrets are detected. It is
// replicated.
func secretSum(secret []byte) []byte {
	sum := hmac.New(sha256.New, secret)
	_, _ = sum.Write([]byte("linenwheel names of a fleet")) // a hash returns no error
	return sum.Sum(nil)
}
