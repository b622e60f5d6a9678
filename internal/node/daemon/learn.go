package daemon

import (
	"context"
	"fmt"
	"hash/fnv"
	"os"
	"slices"
	"time"

	"linenwheel.dev/linenwheel/internal/node/admin"
	"linenwheel.dev/linenwheel/node"
)

const (
	mostAsked  = 3       // other nodes that are asked for what they know
	mostLesson = 8 << 20 // bytes that one of them may tell: some 11,000 raters
	freshState = 4000    // ms; a state of the node's own that is younger knows as much as others do
)

// asks tells whether other nodes are to be asked by a process that knows so much of its own, nil = nothing.
func (d *daemon) asks(own *node.Knowledge) bool {
	return len(d.set.Options.State.From) > 0 && (own == nil || d.clock.Now()-own.At > freshState)
}

// learn asks a few other nodes, one after the other, for what they know, each for its part of state.from_wait. It gives what is
// of use, and leaves nothing open behind it. A signal to end that comes meanwhile
// ends this process.
func (d *daemon) learn(end <-chan os.Signal) (lessons []node.PeerKnowledge, err error) {
	o := &d.set.Options.State
	ctx, stop := context.WithTimeout(context.Background(), time.Duration(o.FromWait.Ms*float64(time.Millisecond)))
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		doors := d.doors()
		for i, door := range doors {
			l, err := d.askOne(ctx, door, len(doors)-i)
			if err != nil {
				d.log.Warn("another node does not tell what it knows", "from", door, "error", err)
				continue
			}
			lessons = append(lessons, l)
		}
	}()
	select {
	case <-done:
	case s := <-end:
		stop()
		<-done
		return nil, fmt.Errorf("asking other nodes: %v came first", s)
	}
	if len(lessons) == 0 {
		d.log.Info("no other node tells what it knows: this one begins with what it has itself")
	}
	return lessons, nil
}

// doors are those of the nodes to ask. Each node begins at another place of the list, so that not all ask the same ones.
func (d *daemon) doors() []string {
	list := slices.Clone(d.set.Options.State.From)
	list = slices.DeleteFunc(list, func(door string) bool { return door == d.set.Config.Control })
	if len(list) < 2 {
		return list
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(d.set.Config.Name))
	at := int(h.Sum32() % uint32(len(list)))
	return slices.Concat(list[at:], list[:at])[:min(len(list), mostAsked)]
}

// askOne asks one node, of so many that are still to be asked.
func (d *daemon) askOne(ctx context.Context, door string, left int) (l node.PeerKnowledge, err error) {
	until, _ := ctx.Deadline()
	ctx, stop := context.WithTimeout(ctx, time.Until(until)/time.Duration(left))
	defer stop()
	text, err := admin.Fetch(ctx, door, mostLesson)
	if err != nil {
		return l, err
	}
	return node.DecodePeerKnowledge(text, door, d.set.Config, d.clock.Now(), d.set.Options.State.UseFor.Ms)
}
