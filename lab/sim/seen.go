package sim

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"linenwheel.dev/linenwheel/lab/record"
	"linenwheel.dev/linenwheel/lab/referee"
	"linenwheel.dev/linenwheel/lab/world"
)

// seen takes what parties see: for the digest, the referee and whoever watches.
type seen struct {
	referee *referee.Referee
	watch   func(record.Event)
	digest  *xxhash.Digest
	n       uint64
	batch   []record.Event
	most    int // events in a batch
	bytes   []byte
	full    chan []record.Event // to the thread that judges beside the day; nil if none does
	empty   chan []record.Event
	done    chan struct{}
}

const batchSize = 1 << 12

func newSeen(day *world.Day, o Options) *seen {
	s := &seen{referee: referee.New(day), watch: o.Watch, digest: xxhash.New(), batch: make([]record.Event, 0,
		batchSize), most: batchSize}
	if o.Follow != nil { // who follows hears of things in their order
		s.most = 1
	}
	if o.Beside {
		s.full, s.empty, s.done = make(chan []record.Event, 8), make(chan []record.Event, 10), make(chan struct{})
		for range cap(s.empty) {
			s.empty <- make([]record.Event, 0, batchSize)
		}
		go func() {
			for b := range s.full {
				s.judge(b)
				s.empty <- b[:0]
			}
			close(s.done)
		}()
	}
	return s
}

func (s *seen) take(e record.Event) {
	s.n++
	if s.batch = append(s.batch, e); len(s.batch) == s.most {
		s.flush()
	}
}

func (s *seen) flush() {
	if s.full == nil {
		s.judge(s.batch)
		s.batch = s.batch[:0]
		return
	}
	s.full <- s.batch
	s.batch = <-s.empty
}

func (s *seen) judge(batch []record.Event) {
	b := s.bytes[:0]
	for i := range batch {
		e := &batch[i]
		s.referee.Take(*e)
		if s.watch != nil {
			s.watch(*e)
		}
		b = binary.LittleEndian.AppendUint64(b, math.Float64bits(e.At))
		b = binary.LittleEndian.AppendUint64(b, e.Request)
		b = binary.LittleEndian.AppendUint64(b, e.Value)
		b = binary.LittleEndian.AppendUint64(b, e.Extra)
		b = binary.LittleEndian.AppendUint32(b, e.Number)
		b = binary.LittleEndian.AppendUint32(b, math.Float32bits(e.Work))
		b = append(b, byte(e.Node), byte(e.Node>>8), byte(e.Rater), byte(e.Rater>>8), byte(e.Kind), e.How,
			e.Class, e.Partner)
	}
	s.bytes = b
	_, _ = s.digest.Write(b)
}

func (s *seen) finish() (*referee.Judgement, error) {
	s.flush()
	if s.full != nil {
		close(s.full)
		<-s.done
	}
	return s.referee.Finish()
}
