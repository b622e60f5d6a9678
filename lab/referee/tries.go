package referee

import (
	"linenwheel.dev/linenwheel/lab/record"
	"linenwheel.dev/linenwheel/lab/world"
)

// try is one request of a client, with all that raters saw of it.
type try struct {
	id       uint64
	arrival  uint32
	class    uint8
	node     int16
	known    bool // a client has sent it
	sent     float64
	limit    float64
	digest   uint64
	end      record.Kind // Got, Left, Unreached, Unanswered; 0 = open
	how      uint8
	extra    uint64
	endAt    float64
	body     uint64
	crossed  float64 // when its client sent it once more; 0 = never
	excused  bool    // with Unanswered: its node was killed
	stopping bool    // or had been asked to stop
	attempts []attempt
}

// attempt is one relay that a rater got whole.
type attempt struct {
	number       uint32
	rater, node  int16
	first, whole float64
	work         float64
	ran          bool
	end          float64 // when its connection was through with it; NaN = it is not
	how          uint8   // an Answer..., with answered
	answered     bool
	got          uint64 // digest of the request that came
	body         uint64 // and of the answer
}

// neverRan tells whether the rater said by a time that it had not run it and never would.
func (a *attempt) neverRan(by float64) bool {
	return a.answered && a.how == record.AnswerTurned && a.end <= by
}

func (r *Referee) class(t *try) *world.DayClass {
	return &r.day.Classes[min(int(t.class), len(r.day.Classes)-1)]
}

func (r *Referee) find(id uint64) *try {
	t := r.tries[id]
	if t == nil {
		if n := len(r.free); n > 0 {
			t, r.free = r.free[n-1], r.free[:n-1]
			*t = try{id: id, node: record.None, attempts: t.attempts[:0]}
		} else {
			t = &try{id: id, node: record.None}
		}
		r.tries[id] = t
	}
	return t
}

func (r *Referee) takeTry(e record.Event) {
	t := r.find(e.Request)
	t.arrival = e.Number
	if e.Kind == record.Sent || e.Kind == record.Unreached && !t.known {
		again := t.known && t.crossed > 0 && t.end == 0
		t.known, t.node = true, e.Node
		if e.Kind == record.Sent {
			t.sent, t.limit, t.digest, t.class = e.At, float64(e.Extra), e.Value, e.Class
			if !again {
				r.out.Tries++
			}
			return
		}
	}
	if e.Kind == record.Crossed {
		t.crossed = e.At
		return
	}
	if t.end != 0 {
		if e.Kind == record.Got {
			r.broken(OneAnswer, e.At, t, int(e.Node), record.None, "node %d answered it again %s after its end", e.Node, ms(e.At-t.endAt))
		}
		return
	}
	t.end, t.how, t.extra, t.endAt, t.body = e.Kind, e.How, e.Extra, e.At, e.Value
	if t.end == record.Unanswered {
		l := r.nodes[e.Node].lifeAt(t.sent)
		t.excused, t.stopping = l.excused(t.sent, t.endAt), l.stopping(t.endAt)
	}
	r.closing.push(later{e.At + r.linger, t.id})
	r.tryEnded(t)
}

func (r *Referee) takeAttempt(e record.Event) {
	switch e.Kind {
	case record.FirstByte:
		r.first[e.Number] = e.At
		return
	case record.Foreign:
		r.foreign(e)
		return
	case record.Cut:
		if e.How == record.CutUnfinished {
			delete(r.first, e.Number)
			return
		}
	case record.Whole:
		first, ok := r.first[e.Number]
		if !ok {
			first = e.At
		}
		delete(r.first, e.Number)
		t := r.find(e.Request)
		if !t.known && len(t.attempts) == 0 {
			r.closing.push(later{e.At + r.linger, t.id})
		}
		t.attempts = append(t.attempts, attempt{number: e.Number, rater: e.Rater, node: e.Node, first: first, whole: e.At,
			work: float64(e.Work), end: nan, got: e.Value})
		r.reach(e)
		r.drained(t, e, first)
		f := &r.out.Raters[e.Rater]
		f.Attempts++
		f.Offered += float64(e.Work)
		r.out.Attempts++
		return
	}
	t := r.tries[e.Request]
	if t == nil {
		return
	}
	for i := range t.attempts {
		a := &t.attempts[i]
		if a.number != e.Number {
			continue
		}
		f := &r.out.Raters[a.rater]
		switch e.Kind {
		case record.Ran:
			a.ran = true
			f.Ran++
			f.Work += a.work
		case record.Answered:
			a.answered, a.how, a.end = true, e.How, e.At
			switch e.How {
			case record.AnswerServed, record.AnswerSurplus:
				f.Served++
			case record.AnswerTurned:
				f.Turned++
			default:
				f.Failed++
			}
			if a.end >= a.whole {
				f.Latency += a.end - a.whole
			}
			a.body = e.Value
		case record.Cut:
			if a.end != a.end {
				a.end = e.At
				f.Cut++
			}
		}
		return
	}
}

func (r *Referee) foreign(e record.Event) {
	var t *try
	if e.Request != 0 {
		if t = r.tries[e.Request]; t == nil {
			t = &try{id: e.Request}
		}
	}
	switch e.How {
	case record.ForeignID:
		r.broken(Unchanged, e.At, t, int(e.Node), int(e.Rater), "rater %d got from node %d an id that no client sent", e.Rater, e.Node)
	case record.ForeignBody:
		r.broken(RunsTwice, e.At, t, int(e.Node), int(e.Rater), "rater %d got from node %d a request hidden in the body of another", e.Rater, e.Node)
	default:
		r.broken(Unchanged, e.At, t, int(e.Node), int(e.Rater), "rater %d got it from node %d in a form that its client did not send", e.Rater, e.Node)
	}
}

// close judges a try whose time has come.
func (r *Referee) close(l later) {
	t := r.tries[l.id]
	if t == nil || t.known && t.end == 0 || t.end != 0 && l.at < t.endAt+r.linger {
		return // gone, or to be closed later
	}
	r.judge(t)
	delete(r.tries, t.id)
	if len(r.free) < 1<<16 {
		r.free = append(r.free, t)
	}
}

// judge looks at all that is known of a try.
func (r *Referee) judge(t *try) {
	if !t.known {
		for _, a := range t.attempts {
			r.broken(Unchanged, a.whole, t, int(a.node), int(a.rater), "rater %d got from node %d an id that no client sent", a.rater, a.node)
		}
		return
	}
	for i := range t.attempts {
		a := &t.attempts[i]
		if i > 0 {
			r.judgeRepeat(t, i)
		}
		r.judgeLate(t, a)
		if a.got != 0 && t.digest != 0 && a.got != t.digest {
			r.broken(Unchanged, a.whole, t, int(a.node), int(a.rater), "rater %d got it from node %d at %s in a form of digest %016x, its client had sent %016x",
				a.rater, a.node, ms(a.whole), a.got, t.digest)
		}
	}
	r.judgeEnd(t)
	r.tryClosed(t)
}

// tolerance is for two stamps of one moment by two threads.
const tolerance = 1.0

// judgeRepeat judges attempt i against those before it.
func (r *Referee) judgeRepeat(t *try, i int) {
	c, a := r.class(t), &t.attempts[i]
	slack := r.day.Site.Rules.Slack.Lo
	if most := r.day.Site.Node.MaxAttempts; most > 0 && i == most {
		r.broken(RunsTwice, a.first, t, int(a.node), int(a.rater), "node %d sent it to a rater for the %dth time, at most %d are allowed", a.node, i+1, most)
	}
	since := nan // first byte of the first that may have run
	for j := range t.attempts[:i] {
		b := &t.attempts[j]
		if !r.day.Site.Node.SecondCopies && !(b.end <= a.first+tolerance) {
			r.broken(RunsTwice, a.first, t, int(a.node), int(a.rater), "node %d sent it to rater %d at %s while rater %d still had it since %s",
				a.node, a.rater, ms(a.first), b.rater, ms(b.whole))
		}
		if b.neverRan(a.first + tolerance) {
			continue
		}
		if since != since {
			since = b.first
		}
		if c.Effect != world.Unsafe {
			continue
		}
		state := "had not answered"
		switch {
		case b.end <= a.first && !b.answered:
			state = "had broken it off unanswered at " + ms(b.end)
		case b.end <= a.first:
			state = "had answered at " + ms(b.end)
		}
		ran := "it may have run"
		if b.ran {
			ran = "it has run"
		}
		r.broken(RunsTwice, a.first, t, int(a.node), int(a.rater),
			"node %d sent it to rater %d at %s, though rater %d got it whole at %s and %s: %s there",
			a.node, a.rater, ms(a.first), b.rater, ms(b.whole), state, ran)
		return
	}
	if c.Effect == world.Keyed && a.first-since > c.KeyTTL+slack {
		r.broken(RunsTwice, a.first, t, int(a.node), int(a.rater), "node %d sent it to rater %d %s after its first send that may have run; raters drop its key for %s",
			a.node, a.rater, ms(a.first-since), ms(c.KeyTTL))
	}
}

// judgeLate judges an attempt that goes out after the try's own final answer.
func (r *Referee) judgeLate(t *try, a *attempt) {
	if t.end != record.Got {
		return
	}
	rule := OneAnswer
	if r.class(t).Effect == world.Unsafe {
		rule = RunsTwice
	}
	if late := a.first - t.endAt; late > r.day.Site.Rules.Slack.Lo {
		r.broken(rule, a.first, t, int(a.node), int(a.rater), "node %d sent it to rater %d %s after its client had the final answer %d",
			a.node, a.rater, ms(late), t.extra)
	}
}

// judgeEnd judges how a try ended for its client.
func (r *Referee) judgeEnd(t *try) {
	c := r.class(t)
	if t.crossed > 0 {
		for i := range t.attempts {
			if a := &t.attempts[i]; a.first < t.crossed {
				r.broken(OneAnswer, t.crossed, t, int(a.node), int(a.rater), "node %d closed its connection without an answer at %s, having sent it to rater %d at %s",
					a.node, ms(t.crossed), a.rater, ms(a.first))
				break
			}
		}
	}
	switch t.end {
	case record.Unanswered:
		r.judgeDropped(t)
	case record.Got:
		if t.how == uint8(world.Served) {
			r.judgeServed(t)
		} else if t.how == uint8(world.Refused) && c.Effect == world.Unsafe {
			for i := range t.attempts {
				if a := &t.attempts[i]; a.first < t.endAt && !a.neverRan(t.endAt+tolerance) {
					r.broken(RunsTwice, t.endAt, t, int(t.node), int(a.rater), "node %d refused it with %d at %s, which says that trying again is harmless; rater %d got it whole at %s and may have run it",
						t.node, t.extra, ms(t.endAt), a.rater, ms(a.whole))
					break
				}
			}
		}
	}
}

// judgeDropped judges a try whose connection the node ended without a whole answer.
func (r *Referee) judgeDropped(t *try) {
	if t.how != record.HadNothing {
		return // it began to answer, and the client can tell that it is not whole: failed
	}
	if t.excused {
		r.out.Killed++
		return
	}
	if t.extra == 1 && len(t.attempts) == 0 && !t.stopping {
		return // the first on its connection, and nothing was sent on for it: failed
	}
	what := ""
	switch {
	case t.stopping:
		what = " as it stopped"
	case len(t.attempts) > 0:
		what = "; it had sent it to a rater at " + ms(t.attempts[0].first)
	}
	r.broken(OneAnswer, t.endAt, t, int(t.node), record.None, "node %d took it at %s and ended its connection without an answer at %s%s",
		t.node, ms(t.sent), ms(t.endAt), what)
}

// judgeServed judges whether what was served is what a rater made for this request.
func (r *Referee) judgeServed(t *try) {
	made := false
	for i := range t.attempts {
		if a := &t.attempts[i]; a.answered && (a.how == record.AnswerServed || a.how == record.AnswerSurplus) {
			if a.body == t.body {
				return
			}
			made = true
		}
	}
	text := "no rater had served it"
	if made {
		text = "no rater made that answer for it"
	} else if len(t.attempts) == 0 {
		text = "no rater ever got it"
	}
	r.broken(OwnAnswer, t.endAt, t, int(t.node), record.None, "node %d served it at %s with a body of digest %016x, but %s", t.node, ms(t.endAt), t.body, text)
}
