package size

import (
	"bytes"
	"encoding/json"
	"errors"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"linenwheel.dev/linenwheel/internal/node/consensus/member"
	"linenwheel.dev/linenwheel/internal/node/consensus/protocol"
	"linenwheel.dev/linenwheel/internal/node/consensus/transport"
	"linenwheel.dev/linenwheel/internal/node/statemachine"
)

// keeper is one member with its disk. It deals with what comes one after the other, a batch at a time, as a keeper does.
type keeper struct {
	w       *fleet
	id      uint64
	name    string
	group   *member.Member // nil while it is down
	life    int
	far     bool
	saved   member.Saved
	disk    []member.Write
	writing bool
	inbox   []task
	working bool
	waiting map[key]*asking
	reads   map[uint64]*asking
	waits   []*asking // for hints, one a node
	number  uint64
	open    map[*asking]int // requests that it has not answered, with the try that each is
	leader  uint64
	lines   map[*keeper]*line // to other keepers
}

type key struct{ session, number uint64 }

// task is a thing to deal with.
type task struct {
	work float64 // ms
	do   func()
}

// batch is how many things a keeper deals with before what they lead to is carried out.
const batch = 512

func (k *keeper) start() {
	k.life++
	k.disk, k.writing, k.inbox, k.working, k.leader = nil, false, nil, false, 0
	k.waiting, k.reads, k.open = map[key]*asking{}, map[uint64]*asking{}, map[*asking]int{}
	k.lines, k.waits = map[*keeper]*line{}, nil
	saved := k.saved
	if saved.Hard != nil {
		saved.Hard = proto.Clone(saved.Hard).(*pb.HardState)
	}
	g, err := member.New(member.Settings{ID: k.id, Election: election, Heartbeat: 1, ImageEvery: imageEvery, Trail: trail, Uncommitted: 16 << 20,
		Seed: k.w.luck.Uint64(), Logger: member.Quiet{}}, saved)
	if err != nil {
		k.w.fault("%s does not start: %v", k.name, err)
		return
	}
	k.group = g
	life := k.life
	var tick func()
	tick = func() {
		if k.life != life {
			return
		}
		k.take(raftWork, func() { k.group.Tick(); k.group.Promote() })
		k.w.after(beat, tick)
	}
	k.w.after(k.w.luck.Float64()*beat, tick)
}

// crash ends it; whoever waits here sees the connection break.
func (k *keeper) crash() {
	open := k.open
	k.group, k.open = nil, nil
	k.life++
	for _, n := range k.w.nodes {
		if n.conn == k {
			n.conn = nil
		}
		for _, a := range n.asked { // in the order in which they were asked
			if try, ok := open[a]; ok {
				k.w.after(quickFail, func() { a.lost(try, k) })
			}
		}
	}
}

// take has the keeper deal with something once it comes to it.
func (k *keeper) take(work float64, do func()) {
	if k.group == nil {
		return
	}
	k.inbox = append(k.inbox, task{work, do})
	k.run()
}

func (k *keeper) run() {
	if k.working || len(k.inbox) == 0 {
		return
	}
	k.working = true
	tasks := k.inbox[:min(batch, len(k.inbox))]
	k.inbox = k.inbox[len(tasks):]
	took, life := 0.0, k.life
	for _, t := range tasks {
		took += t.work
	}
	k.w.after(took, func() {
		if k.life != life {
			return
		}
		for _, t := range tasks {
			t.do()
		}
		k.flush()
		k.working = false
		k.run()
	})
}

// flush carries out what the state machine wants.
func (k *keeper) flush() {
	work, err := k.group.Ready(k.w.now)
	if err != nil {
		k.w.fault("%s: %v", k.name, err)
		return
	}
	k.send(work.Messages)
	for _, a := range work.Applied {
		k.applied(a)
	}
	if len(work.Applied) > 0 {
		k.hint()
	}
	for _, r := range work.Reads {
		if a := k.reads[r.Number]; a != nil {
			delete(k.reads, r.Number)
			reply := k.group.Query(statemachine.Request{Component: a.request.Component, Body: a.request.Body})
			k.answer(a, protocol.Answer{Reply: &reply})
		}
	}
	if now := k.group.Leader(); now != k.leader {
		if k.leader == k.id || k.leader != 0 {
			k.passOn()
		}
		k.leader = now
		if now == k.id {
			k.w.result.Counts["met: a new leader"]++
		}
	}
	k.disk = append(k.disk, work.Write...)
	k.write()
	if work.Image != nil {
		k.keep(work.Image)
	}
}

// passOn sends those who wait here elsewhere.
func (k *keeper) passOn() {
	a := protocol.Answer{Fault: protocol.RetryLater, Text: "another keeper leads since it was asked", Leader: k.w.nameOf(k.group.Leader())}
	for _, n := range k.w.nodes {
		for _, ask := range n.asked {
			k.answer(ask, a) // where it waits here
		}
	}
	clear(k.waiting)
	clear(k.reads)
	k.waits = nil
}

func (w *fleet) nameOf(id uint64) string {
	for _, k := range w.keepers {
		if k.id == id {
			return k.name
		}
	}
	return ""
}

// write lets the disk do what waits for it, all at once.
func (k *keeper) write() {
	if k.writing || len(k.disk) == 0 {
		return
	}
	k.writing = true
	jobs, life := k.disk, k.life
	k.disk = nil
	k.w.after(0.2+k.w.luck.Float64()*2, func() {
		if k.life != life {
			return
		}
		var answers []*pb.Message
		for _, job := range jobs {
			k.store(job)
			answers = append(answers, job.Acknowledgements(k.id)...)
		}
		k.take(raftWork, func() {
			k.writing = false
			for _, job := range jobs {
				if err := k.group.Persisted(job); err != nil {
					k.w.fault("%s: %v", k.name, err)
				}
			}
			k.send(answers)
		})
	})
}

// store is what lasts.
func (k *keeper) store(job member.Write) {
	s := &k.saved
	if job.Image != nil {
		s.Image, s.From, s.Entries = proto.Clone(job.Image).(*pb.Snapshot), nil, nil
	}
	for _, e := range job.Entries {
		for len(s.Entries) > 0 && s.Entries[len(s.Entries)-1].GetIndex() >= e.GetIndex() {
			s.Entries = s.Entries[:len(s.Entries)-1]
		}
		s.Entries = append(s.Entries, e)
		if k.group.Leads() && k.w.count {
			k.w.result.EachSecond++
			k.w.result.EntryBytes += float64(proto.Size(e))
		}
	}
	if job.Hard != nil {
		s.Hard = job.Hard
	}
}

// keep makes an image last.
func (k *keeper) keep(i *member.Image) {
	life := k.life
	snapshot, err := i.Encode()
	if err != nil {
		k.w.fault("%s: %v", k.name, err)
		return
	}
	k.w.after(5+k.w.luck.Float64()*20, func() {
		if k.life != life {
			return
		}
		s, index := &k.saved, snapshot.GetMetadata().GetIndex()
		if index > s.Image.GetMetadata().GetIndex() {
			from, behind := 0, index-min(index, trail)
			for from < len(s.Entries) && s.Entries[from].GetIndex() <= behind {
				s.From = s.Entries[from]
				from++
			}
			s.Entries = append([]*pb.Entry(nil), s.Entries[from:]...)
			if s.From == nil {
				s.From = &pb.Entry{Index: s.Image.GetMetadata().Index, Term: s.Image.GetMetadata().Term}
			}
			s.Image = snapshot
		}
		k.w.result.Counts["met: an image"]++
		k.take(raftWork, func() { k.group.ImageSaved(snapshot) })
	})
}

// send passes messages to the other keepers.
func (k *keeper) send(list []*pb.Message) {
	for _, m := range list {
		to := k.w.keepers[m.GetTo()-101]
		text, err := proto.Marshal(m)
		if err != nil {
			panic(err) // of the library's own types
		}
		if k.w.count {
			k.w.result.KeepBytes += float64(len(transport.Append(nil, transport.KindRaft, text)))
		}
		life := k.life
		if k.lines[to] == nil {
			k.lines[to] = &line{}
		}
		k.lines[to].after(k.w, func() {
			lost := k.w.cut && k.far != to.far
			if lost {
				k.w.result.Counts["met: a message cut off"]++
			} else {
				to.take(raftWork, func() { to.group.Step(m) })
			}
			if m.GetType() == pb.MsgSnap && k.life == life {
				k.take(raftWork, func() { k.group.ImageSent(m.GetTo(), !lost) })
			}
		})
	}
}

// hear is a request that has come.
func (k *keeper) hear(a *asking, try int) {
	if k.group == nil {
		k.w.after(quickFail, func() { a.lost(try, k) })
		return
	}
	k.open[a] = try
	k.take(askWork, func() { k.deal(a) })
}

func (k *keeper) deal(a *asking) {
	r := &a.request
	var err error
	switch r.Kind {
	case protocol.Do:
		c := statemachine.Command{Session: r.Session, Number: r.Number, Confirmed: r.Confirmed, Component: r.Component, Body: r.Body}
		if err = k.group.Propose(k.w.now, c); err == nil {
			k.waiting[key{r.Session, r.Number}] = a
			return
		}
	case protocol.LongPoll:
		if err = member.ErrNotLeader; k.group.Leads() {
			k.waits = append(slices.DeleteFunc(k.waits, func(earlier *asking) bool { return earlier.node == a.node }), a)
			k.hint()
			return
		}
	default:
		k.number++
		if err = k.group.Read(k.number); err == nil {
			k.reads[k.number] = a
			return
		}
	}
	fault := protocol.Answer{Fault: protocol.Rejected, Text: err.Error(), Leader: k.w.nameOf(k.group.Leader())}
	switch {
	case errors.Is(err, member.ErrNotLeader) && fault.Leader == "":
		fault.Fault = protocol.NoLeader
	case errors.Is(err, member.ErrNotLeader):
		fault.Fault = protocol.NotLeader
	case errors.Is(err, member.ErrBacklog):
		fault.Fault = protocol.RetryLater
	}
	k.answer(a, fault)
}

// hint answers those who wait for what has come to be.
func (k *keeper) hint() {
	if len(k.waits) == 0 {
		return
	}
	reply := k.group.Query(statemachine.Request{Component: statemachine.ComponentPolicy, Body: k.waits[0].request.Body}) // all ask the same
	k.waits = slices.DeleteFunc(k.waits, func(a *asking) bool {
		other := !bytes.Equal(reply.Body, a.request.Known)
		if other {
			k.take(raftWork, func() { k.answer(a, protocol.Answer{Reply: &reply}) })
		}
		return other
	})
}

func (k *keeper) applied(a member.Applied) {
	id := key{a.Command.Session, a.Command.Number}
	if ask := k.waiting[id]; ask != nil {
		delete(k.waiting, id)
		k.answer(ask, protocol.Answer{Reply: &a.Reply})
	}
}

// answer sends an answer back.
func (k *keeper) answer(a *asking, answer protocol.Answer) {
	try, open := k.open[a]
	if !open {
		return
	}
	delete(k.open, a)
	answer.ID = a.request.ID
	text, err := json.Marshal(answer)
	if err != nil {
		panic(err) // of types that can be written
	}
	k.w.carried(a.word, transport.KindAnswer, text)
	a.node.lines[1].after(k.w, func() {
		if k.w.cut && k.far != a.node.far {
			return
		}
		a.heard(try, answer)
	})
}

// carried counts what goes between nodes and keepers.
func (w *fleet) carried(word string, kind transport.Kind, text []byte) {
	if !w.count {
		return
	}
	n := float64(len(transport.Append(nil, kind, text)))
	w.result.NodeBytes += n
	w.result.ByWord[word] += n
}
