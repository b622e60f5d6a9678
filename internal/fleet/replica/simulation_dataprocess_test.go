package replica

import (
	"fmt"
	"math/rand/v2"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/distribution"
	"linenwheel.dev/linenwheel/internal/fleet/operator"
)

// The poll timeouts and intervals are those of a data plane process; revokeAfter is a bound that the platform sets.
const (
	revokeAfter             = 3 * time.Second
	longPollTimeout         = 700 * time.Millisecond
	pollGrace               = 400 * time.Millisecond
	maxConfirmationAge      = 800 * time.Millisecond
	pollBackoff             = 100 * time.Millisecond
	dataProcesses           = 3
	reachabilityChangeDelay = 4 * time.Second // maximum time until the set of members that a data process reaches changes
)

// dataProcess is a process of the data plane: it receives configurations from the members by long polling, and
// uses the latest one while its lease is valid. It has its own random source, so that the histories of the members
// are the same with and without data processes.
type dataProcess struct {
	sim     *simulation
	name    string
	random  *rand.Rand
	state   *distribution.ClientState
	offset  time.Duration // offset of its clock
	reaches func(n *node) bool

	frozen   bool
	deferred []func()
	lastPoll int   // number of the last poll; replies to earlier polls are ignored
	revision int64 // newest revision that the process has used
	uses     int   // number of checks at which its configuration was valid
}

// startDataProcesses starts data processes that fail closed, with intermittent links and random stalls.
func (sim *simulation) startDataProcesses(seed uint64) {
	for i := range dataProcesses {
		d := &dataProcess{sim: sim, name: fmt.Sprintf("d%d", i), random: rand.New(rand.NewPCG(seed, uint64(100+i))),
			state: distribution.NewClientState(true, revokeAfter), reaches: func(*node) bool { return true }}
		d.offset = time.Duration(d.random.Int64N(int64(time.Hour)))
		sim.dataProcesses = append(sim.dataProcesses, d)
		sim.schedule(d.randomDuration(300*time.Millisecond), d.poll)
		sim.schedule(d.randomDuration(reachabilityChangeDelay), d.changeReachability)
		sim.schedule(d.randomDuration(reachabilityChangeDelay), d.freeze)
		sim.schedule(tickInterval, d.use)
	}
}

func (d *dataProcess) now() time.Duration { return d.sim.now + d.offset }

// randomDuration returns a random duration below a limit.
func (d *dataProcess) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(d.random.Int64N(int64(limit)))
}

// changeReachability chooses at random which members the process reaches: all, one, or none.
func (d *dataProcess) changeReachability() {
	switch only := d.sim.nodes[d.random.IntN(len(d.sim.nodes))].address; d.random.IntN(4) {
	case 0:
		d.reaches = func(*node) bool { return false }
	case 1, 2:
		d.reaches = func(n *node) bool { return n.address == only }
	case 3:
		d.reaches = func(*node) bool { return true }
	}
	d.sim.schedule(d.randomDuration(reachabilityChangeDelay), d.changeReachability)
}

// freeze suspends the process for a random time. Events that arrive meanwhile are handled afterwards.
func (d *dataProcess) freeze() {
	d.frozen = true
	d.sim.schedule(d.randomDuration(revokeAfter), func() {
		d.frozen = false
		deferred := d.deferred
		d.deferred = nil
		for _, run := range deferred {
			run()
		}
		d.check()
	})
	d.sim.schedule(d.randomDuration(4*reachabilityChangeDelay)+revokeAfter, d.freeze)
}

// run runs an event of the process, or defers it while the process is frozen.
func (d *dataProcess) run(event func()) {
	if d.frozen {
		d.deferred = append(d.deferred, event)
		return
	}
	event()
}

// use periodically checks the configuration, as incoming requests would use it.
func (d *dataProcess) use() {
	if !d.frozen {
		d.check()
	}
	d.sim.schedule(tickInterval, d.use)
}

// check checks that the configuration which the process may use now is not older than its lease permits, nor older
// than one that it has used before.
func (d *dataProcess) check() {
	table := d.state.Table()
	if table == nil || d.now() >= d.state.LeaseEnd() {
		return
	}
	d.uses++
	if table.Revision < d.revision {
		d.sim.reportViolation("%s uses revision %d after revision %d", d.name, table.Revision, d.revision)
	}
	d.revision = max(d.revision, table.Revision)
	for _, ack := range d.sim.ackLog {
		if ack.revision > table.Revision && ack.at+revokeAfter < d.sim.now {
			d.sim.reportViolation("%s uses revision %d, but revision %d was acknowledged at %v", d.name, table.Revision, ack.revision, ack.at)
			return
		}
	}
}

// poll sends a poll to a random member, and another poll if there is no reply in time.
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
	return 200*time.Microsecond + d.randomDuration(d.sim.maxDelay)
}

// receive applies the reply to a poll and sends the next poll: at once, or after a backoff if the member could not
// confirm its view.
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
	d.checkServedConfig(reply)
	d.check()
	if !reply.Confirmed || reply.ConfirmedAgo > maxConfirmationAge {
		d.sim.schedule(d.randomDuration(pollBackoff), d.poll)
		return
	}
	d.poll()
}

// checkServedConfig checks that all members serve the same configuration under one ConfigSeq.
func (d *dataProcess) checkServedConfig(reply *distribution.PollReply) {
	table := d.state.Table()
	if table == nil || len(reply.Update) == 0 || d.sim.faults.configForgotten {
		return
	}
	if other, known := d.sim.servedRevisions[reply.ConfigSeq]; known && other != table.Revision {
		d.sim.reportViolation("%s received revision %d as configuration %d, another process received revision %d", d.name, table.Revision, reply.ConfigSeq, other)
	}
	d.sim.servedRevisions[reply.ConfigSeq] = table.Revision
}

// awaitPoll replies to a poll at a member as soon as there is a new configuration, or when the poll has timed out.
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
		sim.reportViolation("%s cannot reply to a poll: %v", n.address, err)
	}
	done(&reply)
}

// source returns the data from which a member answers polls.
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
