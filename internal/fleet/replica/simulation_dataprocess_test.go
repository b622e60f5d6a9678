package replica

import (
	"fmt"
	"math/rand/v2"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/distribution"
	"linenwheel.dev/linenwheel/internal/fleet/operator"
)

// The times of the polls are those of the data plane's process; revokeAfter is a bound that a platform sets.
const (
	revokeAfter        = 3 * time.Second
	longPollTimeout    = 700 * time.Millisecond
	pollGrace          = 400 * time.Millisecond
	maxConfirmationAge = 800 * time.Millisecond
	pollBackoff        = 100 * time.Millisecond
	dataProcesses      = 3
	reachChangeDelay   = 4 * time.Second // at most, until a data process reaches other members
)

// dataProcess is a process of the data plane: it follows the members by long poll, and uses the configuration while its lease lasts.
// It draws from a source of its own, so that the members' histories are the same with it and without.
type dataProcess struct {
	sim     *simulation
	name    string
	random  *rand.Rand
	state   *distribution.ClientState
	offset  time.Duration // of its clock
	reaches func(n *node) bool

	frozen   bool
	deferred []func()
	lastPoll int   // the number of the last poll: replies to others come too late
	revision int64 // the newest that it has used
	uses     int   // checks at which it might use its configuration
}

// startDataProcesses starts processes that fail closed, and whose links and processor time come and go.
func (sim *simulation) startDataProcesses(seed uint64) {
	for i := range dataProcesses {
		d := &dataProcess{sim: sim, name: fmt.Sprintf("d%d", i), random: rand.New(rand.NewPCG(seed, uint64(100+i))),
			state: distribution.NewClientState(true, revokeAfter), reaches: func(*node) bool { return true }}
		d.offset = time.Duration(d.random.Int64N(int64(time.Hour)))
		sim.dataProcesses = append(sim.dataProcesses, d)
		sim.schedule(d.within(300*time.Millisecond), d.poll)
		sim.schedule(d.within(reachChangeDelay), d.changeReach)
		sim.schedule(d.within(reachChangeDelay), d.freeze)
		sim.schedule(tickInterval, d.use)
	}
}

func (d *dataProcess) now() time.Duration { return d.sim.now + d.offset }

// within returns a random time up to a limit.
func (d *dataProcess) within(limit time.Duration) time.Duration {
	return time.Duration(d.random.Int64N(int64(limit)))
}

// changeReach draws which members the process reaches: all, one, or none.
func (d *dataProcess) changeReach() {
	switch only := d.sim.nodes[d.random.IntN(len(d.sim.nodes))].address; d.random.IntN(4) {
	case 0:
		d.reaches = func(*node) bool { return false }
	case 1, 2:
		d.reaches = func(n *node) bool { return n.address == only }
	case 3:
		d.reaches = func(*node) bool { return true }
	}
	d.sim.schedule(d.within(reachChangeDelay), d.changeReach)
}

// freeze has the process stand still for a while: what comes meanwhile is handled afterwards.
func (d *dataProcess) freeze() {
	d.frozen = true
	d.sim.schedule(d.within(revokeAfter), func() {
		d.frozen = false
		deferred := d.deferred
		d.deferred = nil
		for _, run := range deferred {
			run()
		}
		d.check()
	})
	d.sim.schedule(d.within(4*reachChangeDelay)+revokeAfter, d.freeze)
}

// run runs an event of the process, when it does not stand still.
func (d *dataProcess) run(event func()) {
	if d.frozen {
		d.deferred = append(d.deferred, event)
		return
	}
	event()
}

// use uses the configuration from time to time, as requests come.
func (d *dataProcess) use() {
	if !d.frozen {
		d.check()
	}
	d.sim.schedule(tickInterval, d.use)
}

// check checks that the configuration that the process may use now is not older than it may be, nor than the one before.
func (d *dataProcess) check() {
	table := d.state.Table()
	if table == nil || d.now() >= d.state.LeaseEnd() {
		return
	}
	d.uses++
	if table.Revision < d.revision {
		d.sim.reportViolation("%s uses revision %d after %d", d.name, table.Revision, d.revision)
	}
	d.revision = max(d.revision, table.Revision)
	for _, ack := range d.sim.ackLog {
		if ack.revision > table.Revision && ack.at+revokeAfter < d.sim.now {
			d.sim.reportViolation("%s uses revision %d, %d was acknowledged at %v", d.name, table.Revision, ack.revision, ack.at)
			return
		}
	}
}

// poll sends a poll to a random member, and another one when its time is over.
func (d *dataProcess) poll() {
	if d.frozen {
		d.deferred = append(d.deferred, d.poll)
		return
	}
	d.lastPoll++
	number, sentAt := d.lastPoll, d.now()
	hold := longPollTimeout
	if !d.state.Confirmed() {
		hold = 0
	}
	request := d.state.Request(d.name, 1, hold)
	d.sim.schedule(hold+pollGrace, func() {
		if d.lastPoll == number {
			d.poll()
		}
	})
	n := d.sim.nodes[d.random.IntN(len(d.sim.nodes))]
	if !d.reaches(n) {
		return
	}
	d.sim.schedule(d.delay(), func() {
		d.sim.awaitPoll(n, n.starts, &request, d.sim.now+hold, func(reply *distribution.PollReply) {
			if d.reaches(n) {
				d.sim.schedule(d.delay(), func() { d.run(func() { d.receive(number, sentAt, reply) }) })
			}
		})
	})
}

func (d *dataProcess) delay() time.Duration {
	return 200*time.Microsecond + d.within(d.sim.maxDelay)
}

// receive applies the reply to a poll and sends the next one: at once, unless the member cannot confirm its view.
func (d *dataProcess) receive(number int, sentAt time.Duration, reply *distribution.PollReply) {
	if number != d.lastPoll {
		return
	}
	if d.sim.faults.leaseFromReply {
		sentAt = d.now()
	}
	if d.sim.faults.configForgotten {
		d.state = distribution.NewClientState(true, revokeAfter)
	}
	if _, err := d.state.Apply(sentAt, reply); err != nil && !d.sim.faults.configForgotten {
		d.sim.reportViolation("%s cannot apply a reply: %v", d.name, err)
	}
	d.checkHandedOut(reply)
	d.check()
	if !reply.Confirmed || reply.ConfirmedAgo > maxConfirmationAge {
		d.sim.schedule(d.within(pollBackoff), d.poll)
		return
	}
	d.poll()
}

// checkHandedOut checks that all members hand out the same configuration under a number.
func (d *dataProcess) checkHandedOut(reply *distribution.PollReply) {
	table := d.state.Table()
	if table == nil || len(reply.Update) == 0 || d.sim.faults.configForgotten {
		return
	}
	if other, known := d.sim.handedOut[reply.ConfigSeq]; known && other != table.Revision {
		d.sim.reportViolation("%s gets revision %d as configuration %d, another one got %d", d.name, table.Revision, reply.ConfigSeq, other)
	}
	d.sim.handedOut[reply.ConfigSeq] = table.Revision
}

// awaitPoll answers a poll at a member once there is something new, or when it has waited for long enough.
func (sim *simulation) awaitPoll(n *node, starts int, request *distribution.PollRequest, deadline time.Duration, done func(*distribution.PollReply)) {
	if !n.up || n.starts != starts {
		return
	}
	if n.frozen {
		n.deferred = append(n.deferred, func() { sim.awaitPoll(n, starts, request, deadline, done) })
		return
	}
	source := n.source(sim.faults)
	if sim.now < deadline && (source.Seq <= request.ConfigSeq || source.ConfirmedAt == 0) {
		sim.schedule(tickInterval, func() { sim.awaitPoll(n, starts, request, deadline, done) })
		return
	}
	if sim.faults.pollUnconfirmed {
		source.ConfirmedAt = sim.now
	}
	var reply distribution.PollReply
	if err := source.Answer(sim.now, request, &reply, source.Encode); err != nil {
		sim.reportViolation("%s cannot answer a poll: %v", n.address, err)
	}
	done(&reply)
}

// source returns what a member answers polls from.
func (n *node) source(faults injectedFaults) *distribution.Source {
	seq, state := n.machine.Committed()
	source := &distribution.Source{Seq: seq, State: state, ConfirmedAt: n.machine.StateConfirmed()}
	if faults.pollBeforeCommit {
		source.Seq, source.State = n.machine.log.seq, n.machine.log.state
	}
	source.Orders = func(from, to uint64) []operator.Order {
		var orders []operator.Order
		for _, entry := range n.machine.Log().Entries(from, to) {
			orders = append(orders, entry.Order)
		}
		return orders
	}
	return source
}
