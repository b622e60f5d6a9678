package virtual

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"

	"linenwheel.dev/linenwheel/internal/node/statemachine"
	"linenwheel.dev/linenwheel/lab/circle/judge"
)

// Times of charges, milliseconds. A window is long enough for a claim and a run, and short enough to run out within a history.
const (
	window    = 2000.0 // for which a run is known
	claimFor  = 500.0  // after which nothing is sent for a name that was taken
	longest   = 700.0  // that a run may take
	takeFor   = 250.0  // for a name to be agreed
	endFor    = 300.0  // for an end, before the client is told all the same
	waitFor   = 600.0  // that a client waits
	tryFor    = 80.0   // for one member to answer
	lookEvery = 150.0
	endTries  = 1500.0 // for which an end is told at the most
	firstPoll = 5.0
	lastPoll  = 80.0
)

// The planted faults of nodes, for the judge to find.
const (
	NoLastLook    Wrong = "a first byte without a last look at the claim"
	RunsUnclaimed Wrong = "a run although its claim was not acknowledged"
	ForgetsLives  Wrong = "lives that the ledger forgets"
	ReleasesEnds  Wrong = "an end that is told, and lost with its claim released as not run"
	ShortWindow   Wrong = "a window shortened on one member"
	ShortAtNode   Wrong = "a window shortened at a node"
	StaleLook     Wrong = "a look answered by what held"
	TwoAnswers    Wrong = "an answer agreed that is another than the one told"
	FalseRefusal  Wrong = "a refusal of what was sent"
	OldSpeaks     Wrong = "a process that tells of its life after another took its place"
)

// WrongCharges are the planted faults of nodes.
var WrongCharges = []Wrong{NoLastLook, RunsUnclaimed, ForgetsLives, ReleasesEnds, ShortWindow, ShortAtNode, StaleLook, TwoAnswers, FalseRefusal, OldSpeaks}

// The points of a charge's way at which a node may be killed, or stopped for longer than its claim.
const (
	pointTaken    = "between claim and first byte"
	pointSent     = "between first byte and the rater's answer"
	pointReplied  = "between last byte and entry"
	pointAgreed   = "between entry and client"
	pointUnclaimd = "between ask and claim"
)

// ChargeKinds are the names that Result.Counts has where charges are played, beside those of Kinds that members meet.
var ChargeKinds = []string{
	"fault: a node killed", "fault: a node stopped for a while", "fault: a node cut off from members", "fault: a node that members do not hear",
	"fault: a node that does not hear members", "fault: an acknowledgement lost", "fault: a node taken over", "fault: an heir taken over",
	"met: death " + pointUnclaimd, "met: death " + pointTaken, "met: death " + pointSent, "met: death " + pointReplied, "met: death " + pointAgreed,
	"met: a claim that ran out before its first byte", "met: a rater that did not take it", "met: a run longer than may be waited for",
	"met: a run", "met: a joined run", "met: a replay", "met: told that it may have run", "met: a repeat that was not answered in time",
	"met: a refusal without a majority", "met: a claim whose acknowledgement never came", "met: a claim asked again and acknowledged",
	"met: an end asked again and acknowledged", "met: an end that came too late", "met: a client told before its end was agreed",
	"met: a life that ended runs of the one before", "met: a run again after its window", "met: a repeat at a node of a later life",
	"met: a new leader", "met: a fault of the leader", "met: an image took the entries' place", "met: an image came from the leader",
	"met: an answer that did not come",
}

// charges is what is posted, and what ran.
type charges struct {
	posts []*post
	runs  []judge.Run
	stays []*stay
	open  int // posts that are to come or wait
}

// post is one try of a charge, by a client that waits at one node.
type post struct {
	judge.Post
	over  bool
	stays bool // its node knows whether it held the name
}

// stay is for how long a name was held by a try: until its end was agreed or its node's next life was.
type stay struct {
	name        int
	since, till float64
	node, life  int
	loose       bool // nobody knows whether it took it: it may yet
}

// Charges are the settings of a history of charges.
func Charges(seed uint64) Settings {
	return Settings{Seed: seed, Members: 3 + 2*int(seed%2), Length: 6000, Faults: 10, Nodes: 3, Names: 5, Posts: 12, Speaks: 1 + int(seed/2%2)}
}

// openCharges has nodes begin, and clients post.
func (w *world) openCharges() {
	c := &charges{open: w.set.Names * w.set.Posts}
	w.charges = c
	for i := range w.set.Nodes {
		n := &node{w: w, number: i, name: string(rune('a' + i))}
		n.work = n.watch
		w.nodes = append(w.nodes, n)
		w.after(w.luck.Float64()*50, n.start)
	}
	for i := range w.set.Names {
		since := 0.0
		for range w.set.Posts {
			if since += w.luck.Float64() * 40; w.luck.IntN(3) == 0 { // some come together, others after a while
				since += w.luck.Float64() * 3 * w.set.Length / float64(w.set.Posts)
			}
			w.after(400+since, func() { w.post(i) })
		}
	}
}

func (w *world) post(name int) {
	c := w.charges
	p := &post{Post: judge.Post{Number: len(c.posts) + 1, Name: name, Called: w.now, At: math.Inf(1)}}
	c.posts = append(c.posts, p)
	n := w.node()
	w.after(waitFor+2*endFor+longest, func() { w.tell(p, judge.Nothing, 0) })
	w.after(0.2+w.luck.Float64(), func() {
		if n.life == 0 {
			w.tell(p, judge.Refused, 0)
			return
		}
		n.step(n.life, func() { (&try{n: n, p: p, life: n.life, deadline: w.now + waitFor}).begin() })
	})
}

// tell ends a post.
func (w *world) tell(p *post, what judge.Told, run int) {
	if p.over {
		return
	}
	p.over = true
	w.charges.open--
	if what == judge.Nothing {
		return
	}
	p.Told, p.Run, p.At = what, run, w.now
	if what == judge.MayHave {
		w.counts["met: told that it may have run"]++
	}
	if what == judge.Waited {
		w.counts["met: a repeat that was not answered in time"]++
	}
}

// fate draws what befalls a node at a point of a charge's way, and tells whether it is still there.
func (n *node) fate(point string) bool {
	switch draw := n.w.luck.IntN(60); {
	case n.w.over:
	case draw == 0:
		n.w.counts["met: death "+point]++
		n.kill()
		return false
	case draw == 1 && point == pointTaken:
		n.pause(claimFor/2 + n.w.luck.Float64()*2.5*window)
	}
	return true
}

// watch tells the fleet of this life, and then looks whether a majority can be reached.
func (n *node) watch(life int) {
	seen, begun, before := n.seen, n.w.now, n.before
	after := func(r statemachine.Reply, how outcome) {
		switch {
		case how == agreed:
			if !n.told && n.heir == nil {
				n.told = before == n.before
				if r.Text != "0" {
					n.w.counts["met: a life that ended runs of the one before"]++
				}
				for _, s := range n.w.charges.stays {
					if !s.loose && s.node == n.number && s.life != life && s.life != before {
						s.till = min(s.till, n.w.now)
					}
				}
			}
			n.up = true
		case n.seen == seen:
			n.up = false
		}
		n.later(lookEvery*(0.75+n.w.luck.Float64()/2), func() { n.watch(life) })
	}
	switch {
	case n.told || n.heir != nil && n.w.set.Wrong != OldSpeaks:
		n.read(begun+takeFor, statemachine.Lookup{Name: make([]byte, 16)}, after)
	case n.w.set.Wrong == ForgetsLives:
		after(statemachine.Reply{Text: "0"}, agreed)
	default:
		n.do(begun+lastPoll*10, statemachine.ComponentCalls, statemachine.ProcessStartCommand(statemachine.ProcessStart{Node: n.name, Incarnation: uint64(life), Predecessor: uint64(before), Secret: []byte("s")}), asking{life: true}, after)
	}
}

// try is a post at a node.
type try struct {
	n        *node
	p        *post
	life     int
	deadline float64
	token    uint64
	asked    float64 // when the name was last asked for
	joined   bool
	stay     *stay // once it knows that it holds the name
}

func chargeName(i int) []byte { return append(make([]byte, 15), byte(i+1)) }

func (t *try) tell(what judge.Told, run int) {
	t.n.w.after(0.2+t.n.w.luck.Float64(), func() { t.n.w.tell(t.p, what, run) })
}

func (t *try) begin() {
	t.n.w.fresh++
	if t.token = t.n.w.fresh; !t.n.up {
		t.n.w.counts["met: a refusal without a majority"]++
		t.tell(judge.Refused, 0)
		return
	}
	if !t.n.fate(pointUnclaimd) {
		return
	}
	t.take(firstPoll)
}

func (t *try) take(poll float64) {
	n, w := t.n, t.n.w
	t.asked = w.now
	if t.asked >= t.deadline {
		t.tell(judge.Waited, 0)
		return
	}
	known := window
	if w.set.Wrong == ShortAtNode {
		known = window / 4
	}
	claimed := t.p.Claimed
	t.p.Claimed = true
	lose := w.luck.IntN(12) == 0
	n.do(min(t.asked+takeFor, t.deadline), statemachine.ComponentCalls, statemachine.ClaimCommand(statemachine.Claim{Name: chargeName(t.p.Name), Fingerprint: make([]byte, 16), AnsweredWindow: known,
		InDoubtWindow: known, RunTimeout: claimFor + longest, Node: n.name, Incarnation: uint64(t.life), Token: t.token}), asking{lose: lose}, func(r statemachine.Reply, how outcome) {
		if how != agreed {
			n.up = false
			switch {
			case how == unknown && w.set.Wrong == RunsUnclaimed:
				t.send()
				return
			case how == unknown: // nothing was sent, and nothing will be
				w.counts["met: a claim whose acknowledgement never came"]++
				t.hold(true)
				t.ended(statemachine.OutcomeNotExecuted, nil, func() {})
			default:
				t.p.Claimed = claimed
			}
			w.counts["met: a refusal without a majority"]++
			t.tell(judge.Refused, 0)
			return
		}
		n.seen++
		if lose {
			w.counts["met: a claim asked again and acknowledged"]++
		}
		var o statemachine.ClaimReply
		if r.Code != statemachine.OK || json.Unmarshal(r.Body, &o) != nil {
			w.fault("a name could not be taken: %s %s", r.Code, r.Text)
			return
		}
		if o.Result == statemachine.ClaimRunning {
			t.p.Claimed = claimed
			t.joined = true
			t.await(poll)
			return
		}
		t.come(o, claimed)
	})
}

func (t *try) hold(loose bool) {
	t.stay = &stay{t.p.Name, t.asked, math.Inf(1), t.n.number, t.life, loose}
	t.n.w.charges.stays, t.p.stays = append(t.n.w.charges.stays, t.stay), true
}

// await asks how a run elsewhere ended until it has.
func (t *try) await(poll float64) {
	n, w := t.n, t.n.w
	n.later(max(0, min(poll, t.deadline-w.now)), func() {
		if w.now >= t.deadline {
			t.tell(judge.Waited, 0)
			return
		}
		n.read(min(w.now+takeFor, t.deadline), statemachine.Lookup{Name: chargeName(t.p.Name), Fingerprint: make([]byte, 16)}, func(r statemachine.Reply, how outcome) {
			var o statemachine.ClaimReply
			switch {
			case how != agreed || r.Code != statemachine.OK || json.Unmarshal(r.Body, &o) != nil || o.Result == statemachine.ClaimRunning:
				t.await(min(2*poll, lastPoll))
			case o.Result == statemachine.ClaimUnknown: // it did not run: this one may be the next
				t.take(min(2*poll, lastPoll))
			default:
				t.come(o, t.p.Claimed)
			}
		})
	})
}

// come carries out what the fleet says of the name.
func (t *try) come(o statemachine.ClaimReply, claimed bool) {
	w := t.n.w
	if o.Result != statemachine.ClaimGranted {
		t.p.Claimed = claimed
	}
	for _, s := range w.charges.stays {
		if !s.loose && s.name == t.p.Name && s.node == t.n.number && s.life < t.life {
			w.counts["met: a repeat at a node of a later life"]++
			break
		}
	}
	switch o.Result {
	case statemachine.ClaimGranted:
		t.hold(false)
		if t.n.fate(pointTaken) {
			t.n.later(w.luck.Float64()*3, t.look)
		}
	case statemachine.ClaimReplayed:
		var run int
		if err := json.Unmarshal(o.Body, &run); err != nil {
			w.fault("an answer that cannot be read: %s", o.Body)
		}
		if t.joined {
			w.counts["met: a joined run"]++
		} else {
			w.counts["met: a replay"]++
		}
		t.tell(judge.Answered, run)
	case statemachine.ClaimInDoubt:
		t.tell(judge.MayHave, 0)
	default:
		w.fault("name %d: %s", t.p.Name, o.Result)
	}
}

// look is the last one, before the first byte.
func (t *try) look() {
	w := t.n.w
	if w.now >= t.asked+claimFor {
		w.counts["met: a claim that ran out before its first byte"]++
		if w.set.Wrong != NoLastLook {
			t.ended(statemachine.OutcomeNotExecuted, nil, func() { t.tell(judge.Refused, 0) })
			return
		}
	}
	if w.luck.IntN(12) == 0 {
		w.counts["met: a rater that did not take it"]++
		t.ended(statemachine.OutcomeNotExecuted, nil, func() { t.tell(judge.Refused, 0) })
		return
	}
	t.send()
}

// send is the first byte; the rater runs whatever becomes of the node.
func (t *try) send() {
	w := t.n.w
	r := judge.Run{Number: len(w.charges.runs) + 1, Post: t.p.Number, Name: t.p.Name, Sent: w.now, Begun: w.now + 0.2 + w.luck.Float64()*8}
	lasts := 2 + w.luck.Float64()*80
	switch w.luck.IntN(12) {
	case 0:
		lasts = longest * (0.8 + 0.8*w.luck.Float64())
	case 1:
		lasts = 200 + w.luck.Float64()*400
	}
	r.Ended = r.Begun + lasts
	for _, other := range w.charges.runs {
		if other.Name == r.Name {
			w.counts["met: a run again after its window"]++ // else it is the judge's
			break
		}
	}
	w.charges.runs = append(w.charges.runs, r)
	w.counts["met: a run"]++
	if !t.n.fate(pointSent) {
		return
	}
	over := false
	t.n.later(longest, func() {
		if !over {
			over = true
			w.counts["met: a run longer than may be waited for"]++
			what := judge.InDoubt
			if w.set.Wrong == FalseRefusal {
				what = judge.Refused
			}
			t.ended(statemachine.OutcomeInDoubt, nil, func() { t.tell(what, 0) })
		}
	})
	t.n.later(r.Ended-w.now+w.luck.Float64(), func() {
		if over {
			return
		}
		over = true
		if !t.n.fate(pointReplied) {
			return
		}
		how, number := statemachine.OutcomeServed, r.Number
		if w.set.Wrong == ReleasesEnds && w.luck.IntN(4) == 0 {
			how = statemachine.OutcomeNotExecuted
		}
		if w.set.Wrong == TwoAnswers && w.luck.IntN(4) == 0 {
			number = len(w.charges.runs) + 1000
		}
		t.ended(how, encode(number), func() {
			if t.n.fate(pointAgreed) {
				t.tell(judge.Answered, r.Number)
			}
		})
	})
}

// ended has it agreed how a run ended, and goes on once it is or after endFor: it then is still told for a while.
func (t *try) ended(how string, body []byte, then func()) {
	n, w := t.n, t.n.w
	e := statemachine.CompletionCommand(statemachine.Completion{Name: chargeName(t.p.Name), Token: t.token, Outcome: how, Body: body})
	gone, begun, times := false, w.now, 0
	on := func(agreed bool) {
		if !gone {
			if gone = true; !agreed {
				w.counts["met: a client told before its end was agreed"]++
			}
			then()
		}
	}
	var tell func()
	tell = func() {
		lose := w.luck.IntN(12) == 0
		times++
		n.do(w.now+takeFor, statemachine.ComponentCalls, e, asking{lose: lose}, func(r statemachine.Reply, was outcome) {
			if was != agreed {
				if w.now < begun+endTries {
					n.later(1, tell)
				}
				return
			}
			if n.seen++; lose {
				w.counts["met: an end asked again and acknowledged"]++
			}
			if r.Code == statemachine.Conflict {
				w.counts["met: an end that came too late"]++
				if times == 1 && t.stay != nil && !t.stay.loose && n.heir == nil && w.now < t.asked+claimFor+longest {
					w.fault("name %d was put in doubt while node %s life %d held it", t.p.Name, n.name, t.life)
				}
			} else if how == statemachine.OutcomeNotExecuted {
				t.p.Claimed = false
			}
			if t.stay != nil && (!t.stay.loose || r.Code != statemachine.Conflict) {
				t.stay.till = min(t.stay.till, w.now)
			}
			on(true)
		})
	}
	tell()
	n.later(endFor, func() { on(false) })
}

// done tells that all is told, and that whatever still ran has ended.
func (c *charges) done(w *world) bool { return c.open == 0 && w.now > w.set.Length+longest+endTries }

// shorten makes less of the windows of a claim.
func shorten(body []byte) []byte {
	long, short := fmt.Sprintf(`"answered":%g,"doubt":%g`, window, window), fmt.Sprintf(`"answered":%g,"doubt":%g`, window/4, window/4)
	return bytes.ReplaceAll(body, []byte(long), []byte(short))
}

// judgeCharges holds the posts against what a name is, and those that waited against who held it.
func (w *world) judgeCharges() Result {
	var posts []judge.Post
	told := 0
	for _, p := range w.charges.posts {
		posts = append(posts, p.Post)
		if p.Told != judge.Nothing {
			told++
		}
		if p.Told != judge.Waited {
			continue
		}
		held := false
		for _, s := range w.charges.stays {
			held = held || s.name == p.Name && s.since < p.At && s.till > p.Called
		}
		for _, other := range w.charges.posts { // a claim of which its node does not know
			held = held || other.Name == p.Name && other.Claimed && !other.stays && other != p
		}
		if !held {
			w.fault("post %d of name %d waited from %.0f to %.0f ms, and nobody held it", p.Number, p.Name, p.Called, p.At)
		}
	}
	return Result{Faults: append(w.broken, judge.Charges(posts, w.charges.runs, window)...), Counts: w.counts, Asked: len(posts), Told: told}
}
