package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"time"

	"linenwheel.dev/linenwheel/decide"
	"linenwheel.dev/linenwheel/internal/codec/simline"
)

// instance is a hosted Balancer with the names that its settings define.
type instance struct {
	balancer *decide.Balancer
	names    *simline.Names
}

// server is the state that the adapter keeps between lines.
type server struct {
	instances map[int]*instance
	fields    simline.Fields
	reply     simline.Reply

	now      time.Duration
	inBatch  bool
	selected int // key of the instance that events go to, -1 for none

	kind      decide.EndpointsKind // kind of the list being read
	remaining int                  // number of its entries not yet received
	entries   []decide.Backend     // entries received
}

var (
	errCutOff   = errors.New("input ends within a batch")
	errOutside  = errors.New("message outside a batch")
	errNoNode   = errors.New("the instance named last does not exist")
	errEntries  = errors.New("fewer BACKEND lines than the list announced")
	errNoList   = errors.New("BACKEND line without a list")
	errUnknown  = errors.New("unknown message")
	errTwoMarks = errors.New("MARK within a batch")
)

// serve processes batches and writes a reply to each until the input ends. An error names the line that caused it.
func serve(in io.Reader, out io.Writer) error {
	s := &server{instances: map[int]*instance{}, selected: -1}
	r := bufio.NewReaderSize(in, 1<<16)
	var long []byte
	for n := 1; ; n++ {
		line, err := readLine(r, &long)
		if errors.Is(err, io.EOF) && len(line) == 0 {
			if s.inBatch {
				return fmt.Errorf("line %d: %w", n, errCutOff)
			}
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("line %d: reading: %w", n, err)
		}
		flush, err := s.line(line)
		if err != nil {
			return fmt.Errorf("line %d: %w", n, err)
		}
		if flush {
			if _, err := out.Write(s.reply.Bytes()); err != nil {
				return fmt.Errorf("line %d: writing the reply: %w", n, err)
			}
		}
	}
}

// readLine returns the next line without its newline; the slice is valid until the next call.
func readLine(r *bufio.Reader, long *[]byte) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		*long = (*long)[:0]
		for errors.Is(err, bufio.ErrBufferFull) {
			*long = append(*long, line...)
			line, err = r.ReadSlice('\n')
		}
		*long = append(*long, line...)
		line = *long
	}
	return bytes.TrimSuffix(line, []byte("\n")), err
}

// line processes one line and reports whether the batch is complete and its reply must be written.
func (s *server) line(line []byte) (flush bool, err error) {
	f := &s.fields
	name := f.Start(line)
	if !s.inBatch && name != "MARK" {
		if len(line) == 0 {
			return false, nil
		}
		return false, fmt.Errorf("%w: %q", errOutside, name)
	}
	if s.remaining > 0 && name != "BACKEND" {
		return false, errEntries
	}
	switch name {
	case "MARK":
		if s.inBatch {
			return false, errTwoMarks
		}
		s.now, s.inBatch, s.selected = f.Seconds("clock"), true, -1
		s.reply.Reset()
		return false, f.Err()
	case "FLUSH":
		s.inBatch = false
		return true, nil
	case "SELECT":
		s.selected = int(f.Uint("node", 31))
		s.reply.Act(s.selected)
		return false, f.Err()
	case "ENLIST":
		return false, s.enlist(f)
	}
	inst := s.instances[s.selected]
	if inst == nil {
		return false, fmt.Errorf("%s: %w", name, errNoNode)
	}
	return false, s.event(name, f, inst)
}

func (s *server) enlist(f *simline.Fields) error {
	settings, seed, names := f.Enlist()
	if f.Err() != nil {
		return f.Err()
	}
	b, err := decide.New(settings, seed, &s.reply)
	if err != nil {
		return fmt.Errorf("ENLIST: %w", err)
	}
	s.instances[s.selected] = &instance{b, names}
	return nil
}

// event passes one event to its instance. A line that could not be parsed never reaches a Balancer.
func (s *server) event(name string, f *simline.Fields, inst *instance) error {
	b := inst.balancer
	switch name {
	case "KNOCK":
		if r := f.Request(inst.names); f.Err() == nil {
			b.Request(s.now, r)
		}
	case "CLOSED_ATTEMPT":
		if o := f.Outcome(inst.names); f.Err() == nil {
			b.Outcome(s.now, o)
		}
	case "TIMEOUT_FIRED":
		if token := f.Uint("mark", 64); f.Err() == nil {
			b.Timer(s.now, token)
		}
	case "ABANDONED":
		if id := f.ID("rid"); f.Err() == nil {
			b.ClientGone(s.now, id)
		}
	case "BEGUN":
		id := f.ID("rid")
		latency := f.Seconds("elapsed_s")
		f.Backend("backend")
		if attempt := int(f.Uint("go", 31)); f.Err() == nil {
			b.StreamStarted(s.now, id, attempt, latency)
		}
	case "PROBE_DONE":
		if o := f.Probed(inst.names); f.Err() == nil {
			b.Probed(s.now, o)
		}
	case "DISCOVERY":
		s.kind, s.remaining = f.List()
		s.entries = s.entries[:0]
		s.finishList(f, inst)
	case "BACKEND":
		if s.remaining == 0 {
			return errNoList
		}
		s.entries = append(s.entries, f.Entry(inst.names))
		s.remaining--
		s.finishList(f, inst)
	case "RETIRE":
		delete(s.instances, s.selected)
	case "PEER_DATA": // ignored: nodes exchange no data
	default:
		return fmt.Errorf("%w: %q", errUnknown, name)
	}
	return f.Err()
}

func (s *server) finishList(f *simline.Fields, inst *instance) {
	if s.remaining == 0 && f.Err() == nil {
		inst.balancer.UpdateEndpoints(s.now, s.kind, s.entries)
	}
}
