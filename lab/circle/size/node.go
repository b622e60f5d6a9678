package size

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"linenwheel.dev/linenwheel/internal/node/consensus/client"
	"linenwheel.dev/linenwheel/internal/node/consensus/protocol"
	"linenwheel.dev/linenwheel/internal/node/consensus/transport"
	"linenwheel.dev/linenwheel/internal/node/quota"
	"linenwheel.dev/linenwheel/internal/node/quota/lease"
	"linenwheel.dev/linenwheel/internal/node/rollout"
	"linenwheel.dev/linenwheel/internal/node/statemachine"
)

// Times of a node, ms: those of internal/peers/client, internal/node/idempotency/fleet, internal/node/quota/edge and internal/node/rollout/gate, and of
// options that are not set.
const (
	try          = 1000.0
	firstPause   = 5.0
	lastPause    = 200.0
	takeLimit    = 2 * try
	lookEvery    = 500.0
	lostEvery    = 100.0
	lostWait     = 5000.0
	endLimit     = 10000.0
	claim        = 5000.0
	roomLease    = 10000.0
	roomPause    = 500.0
	hasten       = 100.0
	policyLease  = 2000.0
	lookingPause = 20.0
	ordersLimit  = 2000.0
	partners     = 3
)

// node is what asks the keepers: a process of a node, one after the other.
type node struct {
	w      *fleet
	number int
	name   string
	far    bool
	up     bool
	life   int
	fresh  bool // it began within the day

	at      int     // the keeper that is asked
	from    float64 // ms; nothing is asked before
	conn    *keeper // that it has a connection to
	lines   [2]line // there and back
	dialing bool
	dialers []*asking
	asked   []*asking // that have no answer, in their order
	id      uint64    // of the last request on the connection

	session uint64
	opening bool
	openers []*asking
	next    uint64
	done    uint64
	told    map[uint64]bool
	held    []*asking // that wait for a number

	process uint64 // that it tells the keepers
	ordered bool
	begun   bool // names were agreed once,
	named   bool // and can be
	policed bool
	leased  bool
	tree    lease.Tree
	hash    string
	demand  *lease.Demand
	parts   map[int]bool
	holds   uint64
	hurry   func()

	policy *rollout.LeaseHolder
	looked string // hash of the document that it looked at last
}

// asking is a command or a question under way.
type asking struct {
	node    *node
	life    int
	word    string // what it is for
	request protocol.Request
	command bool
	began   float64
	tries   int
	pause   float64
	over    bool
	done    func(*statemachine.Reply) // nil = none came in time
}

func newNode(w *fleet, number int) *node {
	n := &node{w: w, number: number, name: fmt.Sprint("node-", number), tree: treeOf(w.set.rate())}
	n.hash = n.tree.Hash()
	return n
}

// treeOf divides twice what is asked for among the partners.
func treeOf(rate float64) lease.Tree {
	t := lease.Tree{Leased: 0.95, Settings: quota.Settings{Root: quota.Amount{2 * rate}, Floor: 0.05, Priorities: 1, Burst: 1, LongWindow: 600,
		Reserved: 0.2, DebtDecay: 30, RepayTime: 10, RepayFraction: 0.25, MaxRetryAfter: 2}}
	for i := range partners {
		t.Settings.Nodes = append(t.Settings.Nodes, quota.Node{Name: fmt.Sprint("partner-", i), Share: 1.0 / partners})
	}
	return t
}

// start begins a life of the process.
func (n *node) start(fresh bool) {
	n.life++
	n.up, n.fresh, n.process, n.at = true, fresh, n.w.luck.Uint64()>>1|1, n.w.luck.IntN(len(n.w.keepers))
	n.from = n.w.now
	if !n.w.set.AtOnce {
		n.from += n.w.luck.Float64() * float64(client.Spread(n.w.set.Nodes).Microseconds()) / 1000
	}
	n.conn, n.dialing, n.dialers, n.asked, n.id = nil, false, nil, nil, 0
	n.session, n.opening, n.openers, n.held = 0, false, nil, nil
	n.ordered, n.begun, n.named, n.policed, n.leased = false, false, false, false, false
	n.demand, n.parts, n.holds, n.hurry = lease.NewDemand(n.w.now, 1/n.tree.Settings.Root[quota.Requests]), nil, 0, nil
	n.policy, n.looked = rollout.NewLeaseHolder(n.name, n.process, policyLease, false), ""
	if fresh && n.w.upAt == 0 {
		n.w.upAt = n.w.now
	}
	n.orders()
	n.look(false)
	n.renewPolicy()
	n.renewRoom()
}

// end ends it, whatever it does.
func (n *node) end() {
	n.up = false
	n.life++
}

func (n *node) ready() bool { return n.ordered && n.begun && n.policed && n.leased }

// got notes that the node has something more of what it needs.
func (n *node) got(what *bool) {
	if *what {
		return
	}
	if *what = true; n.fresh && n.ready() {
		n.w.result.Up = max(n.w.result.Up, n.w.now-n.w.upAt)
	}
}

// after has something happen unless the process has ended.
func (n *node) after(ms float64, do func()) {
	life := n.life
	n.w.after(ms, func() {
		if n.life == life {
			do()
		}
	})
}

// around is a pause of a mean, as the adaptors draw it.
func (n *node) around(ms float64) float64 { return ms * (0.75 + n.w.luck.Float64()/2) }

// orders asks what operators had ordered.
func (n *node) orders() {
	n.read("orders", statemachine.ComponentOrders, statemachine.OrdersOf{Node: n.name}, ordersLimit, func(r *statemachine.Reply) {
		if r == nil {
			n.orders()
			return
		}
		n.got(&n.ordered)
	})
}

// look tells that the process has begun, and then looks whether a majority can be reached.
func (n *node) look(told bool) {
	again := func(told bool) {
		pause := lookEvery
		if !n.named {
			pause = lostEvery
		}
		n.after(n.around(pause), func() { n.look(told) })
	}
	within := takeLimit
	if !n.named {
		within = lostWait
	}
	heard := func(r *statemachine.Reply) {
		if r == nil {
			n.named = false
			n.w.result.Counts["met: a look that found no majority"]++
			again(told)
			return
		}
		n.named = true
		n.got(&n.begun)
		again(true)
	}
	if !told {
		secret := make([]byte, 32)
		n.do("begun", statemachine.ComponentCalls, statemachine.ProcessStartCommand(statemachine.ProcessStart{Node: n.name, Incarnation: n.process, Secret: secret}), within, heard)
		return
	}
	n.read("look", statemachine.ComponentCalls, statemachine.Lookup{Name: make([]byte, 16)}, within, heard)
}

// play has the calls of the rhythm come.
func (n *node) play(calls []Call) {
	if len(calls) == 0 {
		return
	}
	c := calls[0]
	n.w.after(first+c.At-n.w.now, func() {
		n.call(c)
		n.play(calls[1:])
	})
}

func (n *node) call(c Call) {
	if !n.up {
		return
	}
	leaf, load := 1+c.Partner, 1/n.tree.Settings.Root[quota.Requests]
	n.demand.Request(leaf, load)
	n.demand.Admit(leaf, load)
	if n.hurry != nil && !n.parts[leaf] {
		n.hurry()
	}
	if !c.Once {
		return
	}
	if !n.named {
		n.w.result.Refused++
		return
	}
	name, print, token := make([]byte, 16), make([]byte, 16), n.w.luck.Uint64()>>1|1
	for i := range name {
		name[i], print[i] = byte(n.w.luck.Uint32()), byte(n.w.luck.Uint32())
	}
	take := statemachine.ClaimCommand(statemachine.Claim{Name: name, Fingerprint: print, Tenant: fmt.Sprint("partner-", c.Partner), AnsweredWindow: 60000, InDoubtWindow: 60000,
		RunTimeout: claim + 5000, Node: n.name, Incarnation: n.process, Token: token})
	n.do("name", statemachine.ComponentCalls, take, takeLimit, func(r *statemachine.Reply) {
		var o statemachine.ClaimReply
		if r == nil {
			n.named = false
			n.w.result.Refused++
			return
		}
		if r.Code != statemachine.OK || json.Unmarshal(r.Body, &o) != nil || o.Result != statemachine.ClaimGranted {
			n.w.fault("%s could not take a name: %s %s %s", n.name, r.Code, r.Text, o.Result)
			return
		}
		n.after(c.End-c.At, func() {
			body := make([]byte, 80+n.w.luck.IntN(520)) // as the site's answers
			for i := range body {
				body[i] = byte(n.w.luck.Uint32())
			}
			n.do("end", statemachine.ComponentCalls, statemachine.CompletionCommand(statemachine.Completion{Name: name, Token: token, Outcome: statemachine.OutcomeServed, Body: body}), endLimit,
				func(r *statemachine.Reply) {
					if r != nil && r.Code == statemachine.OK {
						n.w.result.Counts["met: a charge agreed to its end"]++
					}
				})
		})
	})
}

// renewRoom reports once, and goes by what it is given.
func (n *node) renewRoom() {
	n.hurry = nil
	report := lease.Report{Node: n.name, Life: n.process, Tree: n.hash, Length: roomLease, HeldLease: n.holds, Demand: n.demand.Report(n.w.now)}
	next := func(pause float64) {
		n.after(hasten, func() {
			over := false
			renew := func() {
				if !over {
					over = true
					n.renewRoom()
				}
			}
			n.hurry = func() {
				n.hurry = nil
				n.after(0, renew)
			}
			n.after(max(0, n.around(pause-hasten)), renew)
		})
	}
	n.do("room", statemachine.ComponentQuotaLeases, statemachine.QuotaLeaseCommand{Report: &report}, roomLease, func(r *statemachine.Reply) {
		var g lease.Grant
		if r == nil || r.Code != statemachine.OK || json.Unmarshal(r.Body, &g) != nil {
			next(roomPause)
			return
		}
		if g.Number == 0 {
			n.do("tree", statemachine.ComponentQuotaLeases, statemachine.QuotaLeaseCommand{Tree: &n.tree}, roomLease, func(*statemachine.Reply) { next(0) })
			return
		}
		n.holds, n.parts = g.Number, map[int]bool{}
		for _, p := range g.Parts {
			n.parts[p.Node] = p.Load > 0
		}
		n.got(&n.leased)
		next(roomPause)
	})
}

// renewPolicy reports once, and obeys.
func (n *node) renewPolicy() {
	report, asked := n.policy.Report(), n.w.now
	n.do("policy", statemachine.ComponentPolicy, statemachine.PolicyCommand{Report: &report}, policyLease, func(r *statemachine.Reply) {
		var o rollout.Order
		if r == nil || r.Code != statemachine.OK || json.Unmarshal(r.Body, &o) != nil {
			n.restPolicy(n.policy.RetryAfter())
			return
		}
		s := n.policy.ApplyOrder(asked, o)
		if s.Known {
			n.got(&n.policed)
		}
		switch {
		case s.Activate:
			n.takePolicy(s)
		case s.Look != "":
			n.read("document", statemachine.ComponentPolicy, statemachine.PolicyQuestion{Proposed: s.Look}, policyLease, func(r *statemachine.Reply) {
				var d rollout.Document
				unseen := r == nil || json.Unmarshal(r.Body, &d) != nil
				if !unseen {
					n.looked = d.Hash
				}
				n.restPolicy(n.policy.RecordValidation(s.Look, unseen, nil))
			})
		case s.Wait > 0:
			n.hint(n.w.now+n.around(s.Wait), s.Pause)
		default:
			n.restPolicy(s.Pause)
		}
	})
}

// restPolicy reports again after a pause.
func (n *node) restPolicy(pause float64) {
	if pause == 0 {
		n.renewPolicy()
		return
	}
	n.after(n.around(pause), n.renewPolicy)
}

// takePolicy has a number in force, whose document it has looked at or asks for.
func (n *node) takePolicy(s rollout.Step) {
	took := func() {
		n.policy.RecordActivation(s.Number, s.Hash)
		n.w.result.Counts["met: a policy taken"]++
		n.renewPolicy()
	}
	if s.Hash != "" && s.Hash == n.looked {
		took()
		return
	}
	n.read("document", statemachine.ComponentPolicy, statemachine.PolicyQuestion{Document: &s.Number}, policyLease, func(r *statemachine.Reply) {
		if r == nil {
			n.restPolicy(n.policy.RetryAfter())
			return
		}
		took()
	})
}

// hint waits for one, until a report is due; one that was lost is not waited for until then.
func (n *node) hint(due, pause float64) {
	r := protocol.Request{Kind: protocol.LongPoll, Component: statemachine.ComponentPolicy, Body: body(statemachine.PolicyQuestion{Progress: true}), Known: body(n.policy.Known())}
	a := &asking{node: n, life: n.life, word: "wait", request: r, began: n.w.now}
	a.done = func(r *statemachine.Reply) {
		var news rollout.Progress
		if r == nil || json.Unmarshal(r.Body, &news) != nil {
			n.restPolicy(pause)
			return
		}
		if s := n.policy.ApplyHint(news); s.Activate {
			n.takePolicy(s)
		} else {
			n.restPolicy(s.Pause)
		}
	}
	if n.conn == nil {
		a.done(nil)
		return
	}
	n.asked = append(n.asked, a)
	n.after(min(due-n.w.now, n.policy.RetryAfter()), func() {
		switch {
		case a.over:
			return
		case n.w.now < due:
			n.hint(due, pause)
		default:
			n.renewPolicy()
		}
		a.end()
	})
	a.send()
}

// propose has a policy changed, and asks until it holds.
func (n *node) propose(id string) {
	began := n.w.now
	p := rollout.Proposal{ID: id, Text: strings.Repeat("# a policy of some lines\n", 80), By: "an operator"}
	n.do("propose", statemachine.ComponentPolicy, statemachine.PolicyCommand{Propose: &p}, endLimit, func(*statemachine.Reply) {
		var again func()
		again = func() {
			n.read("propose", statemachine.ComponentPolicy, statemachine.PolicyQuestion{Outcome: id}, endLimit, func(r *statemachine.Reply) {
				var o rollout.Outcome
				switch {
				case r == nil || json.Unmarshal(r.Body, &o) != nil || o.Stage == rollout.Validating || o.Stage == rollout.Pausing:
					n.after(lookingPause, again)
				case o.Stage == rollout.Activated:
					n.w.result.Took = n.w.now - began
				default:
					n.w.fault("the change of policy was refused: %s", o.Reason)
				}
			})
		}
		again()
	})
}

func body(v any) json.RawMessage {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err) // of the ledger's own types
	}
	return text
}

// do has a command agreed.
func (n *node) do(word, part string, v any, within float64, done func(*statemachine.Reply)) {
	a := n.make(word, protocol.Request{Kind: protocol.Do, Component: part, Body: body(v)}, within, done)
	a.command = true
	n.enter(a)
}

// read asks a question.
func (n *node) read(word, part string, v any, within float64, done func(*statemachine.Reply)) {
	n.make(word, protocol.Request{Kind: protocol.Read, Component: part, Body: body(v)}, within, done).send()
}

func (n *node) make(word string, r protocol.Request, within float64, done func(*statemachine.Reply)) *asking {
	a := &asking{node: n, life: n.life, word: word, request: r, began: n.w.now, pause: firstPause, done: done}
	n.asked = append(n.asked, a)
	n.w.after(within, func() {
		if !a.over && n.life == a.life {
			a.fail()
		}
	})
	return a
}

// enter gives a command its number once there is a session and room in it.
func (n *node) enter(a *asking) {
	switch {
	case n.session == 0:
		n.openers = append(n.openers, a)
		n.open()
	case n.next >= n.done+statemachine.Window:
		n.held = append(n.held, a)
	default:
		n.next++
		a.request.Session, a.request.Number = n.session, n.next
		a.send()
	}
}

// open opens a session for those who wait for one.
func (n *node) open() {
	if n.opening {
		return
	}
	n.opening = true
	r := protocol.Request{Kind: protocol.Do, Number: n.w.luck.Uint64()>>1 | 1, Body: body(statemachine.Opening{Name: n.name})}
	n.make("session", r, lostWait, func(r *statemachine.Reply) {
		n.opening = false
		waiting := n.openers
		n.openers = nil
		if r != nil && r.Code == statemachine.OK {
			n.session, n.next, n.done, n.told = r.Index, 0, 0, map[uint64]bool{}
		}
		for _, a := range waiting {
			if !a.over {
				n.enter(a)
			}
		}
	}).send()
}

// tell notes that a number has had its reply.
func (n *node) tell(number uint64) {
	n.told[number] = true
	for n.told[n.done+1] {
		n.done++
		delete(n.told, n.done)
	}
	for len(n.held) > 0 && n.next < n.done+statemachine.Window {
		a := n.held[0]
		if n.held = n.held[1:]; !a.over {
			n.enter(a)
		}
	}
}

// giveUp ends the session: a number in it is in doubt.
func (n *node) giveUp(session uint64) {
	if session == 0 || n.session != session {
		return
	}
	n.w.result.Counts["met: a session given up"]++
	n.session = 0
	held := n.held
	n.held = nil
	for _, a := range held {
		if !a.over {
			n.enter(a)
		}
	}
}

func (a *asking) end() {
	a.over = true
	n := a.node
	if i := slices.Index(n.asked, a); i >= 0 {
		n.asked = slices.Delete(n.asked, i, i+1)
	}
}

// fail is that no answer came in time.
func (a *asking) fail() {
	a.end()
	a.node.w.result.Failed++
	a.node.w.result.Counts["met: an answer that did not come in time"]++
	a.node.giveUp(a.request.Session)
	a.done(nil)
}

// send sends it to the keeper that is asked now.
func (a *asking) send() {
	n := a.node
	if a.over || n.life != a.life {
		return
	}
	if n.conn == nil {
		n.dialers = append(n.dialers, a)
		n.dial()
		return
	}
	a.tries++
	n.id++
	a.request.ID = n.id
	if a.request.Session != 0 {
		a.request.Confirmed = n.done
	}
	text, err := json.Marshal(a.request)
	if err != nil {
		panic(err) // of types that can be written
	}
	n.w.carried(a.word, transport.KindRequest, text)
	k, this := n.conn, a.tries
	n.lines[0].after(n.w, func() {
		if n.w.cut && k.far != n.far {
			return
		}
		n.w.word()
		k.hear(a, this)
	})
	n.after(try, func() {
		if a.over || a.tries != this {
			return
		}
		n.w.result.Counts["met: a keeper that did not answer"]++
		a.lost(this, k)
	})
}

// word counts one that has reached a keeper.
func (w *fleet) word() {
	if i := int(w.now / bucket); i < len(w.words) {
		w.words[i]++
	}
}

// dial connects to the keeper that is asked now.
func (n *node) dial() {
	if n.dialing {
		return
	}
	n.dialing = true
	from, k := n.at, n.w.keepers[n.at]
	n.w.carried("hello", transport.KindHello, body(transport.Hello{Fleet: "a fleet", Min: 1, Max: transport.Version, Name: n.name, To: k.name}))
	up := func(ok bool) {
		n.dialing = false
		waiting := n.dialers
		n.dialers = nil
		if ok && n.at == from {
			n.conn, n.id = k, 0
		} else {
			n.turn(from, "")
		}
		for _, a := range waiting {
			if n.conn != nil {
				a.send()
			} else {
				a.again()
			}
		}
	}
	n.after(max(0, n.from-n.w.now)+3*n.w.way(), func() { // a handshake, and the hello
		switch {
		case n.w.cut && k.far != n.far:
			n.after(try, func() { up(false) })
		case k.group == nil:
			n.after(quickFail, func() { up(false) })
		default:
			n.w.word()
			if n.fresh && !n.policed && !n.ordered && !n.begun && !n.leased {
				n.w.firsts = append(n.w.firsts, n.w.now)
			}
			n.w.carried("hello", transport.KindHello, body(transport.Welcome{Version: transport.Version, Name: k.name, ID: k.id}))
			n.after(n.w.way(), func() { up(k.group != nil) })
		}
	})
}

// turn has the next request go to the keeper with a name, or to the next one, unless that has happened already.
func (n *node) turn(from int, name string) {
	if n.at != from {
		return
	}
	n.at = (n.at + 1) % len(n.w.keepers)
	for i, k := range n.w.keepers {
		if k.name == name {
			n.at = i
		}
	}
	n.conn = nil
}

// again sends it once more after a pause.
func (a *asking) again() {
	if a.over {
		return
	}
	pause := a.pause/2 + a.node.w.luck.Float64()*a.pause
	a.pause = min(2*a.pause, lastPause)
	a.node.after(pause, a.send)
}

// lost is that the connection broke, or that the keeper did not answer in time.
func (a *asking) lost(this int, k *keeper) {
	n := a.node
	if a.over || n.life != a.life || a.tries != this {
		return
	}
	if a.request.Kind == protocol.LongPoll { // whoever asks something next finds another
		a.end()
		a.done(nil)
		return
	}
	a.tries++ // what still comes is for nobody
	if n.conn == k {
		n.conn = nil
	}
	n.turn(int(k.id-101), "")
	a.again()
}

// heard is an answer.
func (a *asking) heard(this int, answer protocol.Answer) {
	n := a.node
	if a.over || n.life != a.life || a.tries != this {
		return
	}
	from := n.at
	switch {
	case a.request.Kind == protocol.LongPoll:
		a.end()
		a.done(answer.Reply)
	case answer.Fault == protocol.Rejected:
		n.w.fault("%s: %s was refused: %s", n.name, a.word, answer.Text)
		a.fail()
	case answer.Fault != "":
		if answer.Fault == protocol.NotLeader {
			n.w.result.Counts["met: another keeper leads"]++
		}
		elsewhere := answer.Fault == protocol.NotLeader || answer.Leader != ""
		n.turn(from, answer.Leader)
		if elsewhere && a.tries <= 2 {
			a.send()
		} else {
			a.again()
		}
	case answer.Reply.Code == statemachine.SessionLost && a.command:
		n.giveUp(a.request.Session)
		n.enter(a)
	default:
		a.end()
		took := n.w.now - a.began
		if n.w.count && a.word != "propose" {
			if a.request.Kind == protocol.Do {
				n.w.agreed = append(n.w.agreed, took)
				if !n.fresh {
					n.w.settled = append(n.w.settled, took)
				}
			} else {
				n.w.read = append(n.w.read, took)
			}
		}
		if a.command {
			if a.request.Session == n.session {
				n.tell(a.request.Number)
			}
		}
		a.done(answer.Reply)
	}
}
