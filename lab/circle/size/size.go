// Package size plays fleets of many nodes with their keepers in virtual time, to see what grows faster than the number of nodes.
//
// A fleet's day is played twice. In lab/sim the nodes decide with the module itself, over emulated raters, while nodes are rolled,
// killed or lose a zone: this gives which call came to which node when, and when each process began and ended. Then keepers, which
// are the members' own state machines on emulated disks and links, are asked by nodes that have these calls and lives, at the
// rhythm of the nodes' own adaptors: names and ends of calls that must not run twice, leases of room and of the policy, looks, and
// the first words of a process. Requests, answers and the keepers' messages are written in their real encodings, and counted.
//
// What an agreement takes does not go back into the first play: its calls come and end as if names were free.
//
// It is pure but for Costs, which measures the processor: the same settings give the same result.
package size

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"linenwheel.dev/linenwheel/internal/node/consensus/member"
	"linenwheel.dev/linenwheel/internal/node/statemachine"
	"linenwheel.dev/linenwheel/lab/agenda"
)

// The days.
const (
	Calm   = "calm"
	Roll   = "roll"   // all nodes restart, a tenth at a time
	Herd   = "herd"   // two thirds die at once and start at once
	Zone   = "zone"   // a third of the nodes and raters, and two keepers, the leader one of them, are lost for a while
	Cut    = "cut"    // the same nodes and keepers cannot reach the others
	Change = "change" // a policy is changed
)

// Days are all of them.
var Days = []string{Calm, Roll, Herd, Zone, Cut, Change}

// Settings describe a play. Times are milliseconds.
type Settings struct {
	Seed    uint64
	Day     string
	Nodes   int
	Keepers int
	Rate    float64 // calls a second of all nodes together,
	Each    float64 // or of each node
	Length  float64 // of the day, more than what it is about takes
	AtOnce  bool    // nodes that start do not spread their first words: planted, for a test to find
}

func (set *Settings) rate() float64 {
	if set.Each > 0 {
		return set.Each * float64(set.Nodes)
	}
	return set.Rate
}

// Times and bounds, as a node and a keeper have them without options of their own (the quota's lease and the policy's too). A keeper
// deals with one thing after the other; what one takes is set here, so that a queue shows.
const (
	beat       = 50.0 // ms between two ticks of a keeper
	election   = 10   // ticks
	imageEvery = 4 << 20
	trail      = 5000
	askWork    = 0.05 // ms of a keeper for a request,
	raftWork   = 0.01 // and for a message of another
	first      = 4000.0
	quickFail  = 0.5 // ms until a connection to nobody fails
	bucket     = 100.0
)

// Result is what a play came to. Figures a second are of the day from the moment on that it is about something.
type Result struct {
	Settings
	Asked      int     // commands and questions
	Agree50    float64 // ms until a command was agreed
	Agree99    float64
	AgreeMost  float64
	Settled99  float64            // the same as Agree99, of nodes that ran before the day
	Read99     float64            // ms until a question was answered
	Failed     int                // of them, not answered in their time
	Refused    int                // charges, while a node knew of no majority
	NodeBytes  float64            // a second between nodes and keepers
	KeepBytes  float64            // and between keepers
	ByWord     map[string]float64 // bytes a second between nodes and keepers, by what they are for
	EachSecond float64            // entries
	EntryBytes float64            // bytes of entries a second
	LogBytes   int                // of the entries that the leader's disk held at the end
	Image      []byte             // of the state at the end
	Sessions   int
	Steady     float64 // words that reached keepers in 100 ms, mean of the second before,
	Peak       int     // and most
	Up         float64 // ms from the first start of a process until all nodes that run had all they need; 0 = none started
	Spread     float64 // ms in which the middle nine tenths of the first words of those that started came
	Took       float64 // ms of the change of policy
	Counts     map[string]int
	Broken     []string
}

// fleet is a play under way.
type fleet struct {
	set     Settings
	luck    *rand.Rand
	now     float64
	events  agenda.Agenda
	keepers []*keeper
	nodes   []*node
	cut     bool // what is on the far side cannot reach the others
	result  *Result
	count   bool // the figures a second count
	agreed  []float64
	settled []float64 // of them, of nodes that ran before the day
	read    []float64
	words   []int     // that reached keepers, by 100 ms
	firsts  []float64 // of those that started within the day
	upAt    float64
}

func (w *fleet) after(ms float64, do func()) {
	w.events.Add(w.now+ms, do)
}

func (w *fleet) fault(format string, v ...any) {
	if len(w.result.Broken) < 8 {
		w.result.Broken = append(w.result.Broken, fmt.Sprintf("%.0f ms: ", w.now)+fmt.Sprintf(format, v...))
	}
}

// way is what a word takes on a link, ms.
func (w *fleet) way() float64 { return 0.1 + w.luck.Float64()*0.5 }

// line is one way of a connection: what is sent on it comes in its order, as on the keepers' own.
type line struct{ last float64 }

// after has something happen at the line's end.
func (l *line) after(w *fleet, do func()) {
	l.last = max(l.last, w.now+w.way())
	w.after(l.last-w.now, do)
}

// Play plays the second part of a day: the keepers, and what nodes with this rhythm ask them.
func Play(set Settings, r *Rhythm) *Result {
	w := &fleet{set: set, luck: rand.New(rand.NewPCG(set.Seed, 41)),
		result: &Result{Settings: set, Counts: map[string]int{}, ByWord: map[string]float64{}}, words: make([]int, int((first+set.Length)/bucket)+2)}
	var voters []statemachine.Member
	for i := range set.Keepers {
		k := &keeper{w: w, id: uint64(101 + i), name: fmt.Sprint("k", i)}
		w.keepers = append(w.keepers, k)
		voters = append(voters, statemachine.Member{ID: k.id, Name: k.name, Address: k.name + ".example:7070", ReadsVersion: statemachine.Version})
	}
	image, err := member.Bootstrap(voters, 1e6)
	if err != nil {
		panic(err) // the members are sound
	}
	for _, k := range w.keepers {
		k.saved.Image = proto.Clone(image).(*pb.Snapshot)
		k.start()
	}
	w.begin(r)
	from := first + struck
	w.after(from, func() { w.count = true; w.strike() })
	end := first + set.Length
	for {
		at, do, ok := w.events.Next()
		if !ok || at > end {
			break
		}
		w.now = at
		do()
	}
	w.finish((end - from) / 1000)
	return w.result
}

// begin has the nodes of the rhythm live. Those that ran before the day begin one after the other.
func (w *fleet) begin(r *Rhythm) {
	lives := make([][]Life, r.Nodes)
	for _, l := range r.Lives {
		lives[l.Node] = append(lives[l.Node], l)
	}
	calls := make([][]Call, r.Nodes)
	for _, c := range r.Calls {
		calls[c.Node] = append(calls[c.Node], c)
	}
	for i := range r.Nodes {
		n := newNode(w, i)
		w.nodes = append(w.nodes, n)
		for _, l := range lives[i] {
			at, fresh := first+l.From, l.From > 0
			if !fresh {
				at = 1500 + 2000*float64(i)/float64(r.Nodes)
			}
			w.after(at, func() { n.start(fresh) })
			if l.To < r.Length {
				w.after(first+l.To, n.end)
			}
		}
		n.play(calls[i])
	}
}

// strike is what the day is about, as far as the rhythm does not have it.
func (w *fleet) strike() {
	var far []*keeper // the leader and the next
	for i, k := range w.keepers {
		if k.group != nil && k.group.Leads() && len(far) == 0 {
			far = append(far, k, w.keepers[(i+1)%len(w.keepers)])
			w.result.Counts["met: a leader when it began"]++
		}
	}
	switch w.set.Day {
	case Zone:
		for _, k := range far {
			k.crash()
			w.result.Counts["met: a keeper lost"]++
		}
		w.after(zoneBack, func() {
			for _, k := range far {
				k.start()
			}
		})
	case Cut:
		for _, k := range far {
			k.far = true
		}
		for i, n := range w.nodes {
			n.far = i%3 == 1
		}
		w.cut = true
		w.after(3000, func() { w.cut = false })
	case Change:
		w.nodes[0].propose(fmt.Sprint("change-", w.set.Seed))
	}
}

func (w *fleet) finish(seconds float64) {
	r := w.result
	for _, v := range []*float64{&r.NodeBytes, &r.KeepBytes, &r.EachSecond, &r.EntryBytes} {
		*v /= seconds
	}
	for k := range r.ByWord {
		r.ByWord[k] /= seconds
	}
	slices.Sort(w.agreed)
	slices.Sort(w.read)
	slices.Sort(w.settled)
	r.Settled99 = at(w.settled, 0.99)
	r.Asked = len(w.agreed) + len(w.read) + r.Failed
	r.Agree50, r.Agree99, r.AgreeMost, r.Read99 = at(w.agreed, 0.5), at(w.agreed, 0.99), at(w.agreed, 1), at(w.read, 0.99)
	struckAt := int((first + struck) / bucket)
	for i, n := range w.words {
		if i >= struckAt-10 && i < struckAt {
			r.Steady += float64(n) / 10
		} else if i >= struckAt {
			r.Peak = max(r.Peak, n)
		}
	}
	if slices.Sort(w.firsts); len(w.firsts) > 0 {
		r.Spread = at(w.firsts, 0.95) - at(w.firsts, 0.05)
		r.Counts["met: a process that started"] += len(w.firsts)
	}
	for _, n := range w.nodes {
		if n.up && !n.ready() {
			w.fault("%s does not have what it needs at the end", n.name)
		}
	}
	for _, k := range w.keepers {
		if k.group == nil || !k.group.Leads() {
			continue
		}
		text, err := k.group.State().Freeze()()
		if err != nil {
			w.fault("%s: %v", k.name, err)
		}
		r.Image, r.Sessions = text, k.group.State().Sessions()
		for _, e := range k.saved.Entries {
			r.LogBytes += proto.Size(e)
		}
	}
	if r.Image == nil {
		w.fault("nobody leads at the end")
	}
}

// at is a quantile of sorted values; 0 of none.
func at(list []float64, part float64) float64 {
	if len(list) == 0 {
		return 0
	}
	return list[min(len(list)-1, int(part*float64(len(list))))]
}

// Growth is by which power of the number of nodes a figure grows between two fleets: 1 = as they do.
func Growth(small, large float64, nodes, more int) float64 {
	if small <= 0 || large <= 0 || nodes == more {
		return 0
	}
	return math.Log(large/small) / math.Log(float64(more)/float64(nodes))
}
