package statemachine

import (
	"bytes"
	"encoding/binary"
	"errors"
	"math"
	"slices"

	"linenwheel.dev/linenwheel/internal/node/idempotency"
)

// compact is a part whose image has a second form, of a third of the bytes, for members that all know it.
type compact interface {
	FreezeCompact() func() ([]byte, error)
	LoadCompact(image []byte) error
}

// errCut says that a compact image ends too early.
var errCut = errors.New("it is cut off")

// writer appends what reader reads back.
type writer struct{ b []byte }

func (w *writer) number(n uint64) { w.b = binary.AppendUvarint(w.b, n) }
func (w *writer) float(f float64) { w.b = binary.BigEndian.AppendUint64(w.b, math.Float64bits(f)) }
func (w *writer) bytes(b []byte) {
	w.number(uint64(len(b)))
	w.b = append(w.b, b...)
}

type reader struct {
	b    []byte
	fail bool
}

func (r *reader) number() uint64 {
	n, size := binary.Uvarint(r.b)
	if size <= 0 {
		r.fail, r.b = true, nil
		return 0
	}
	r.b = r.b[size:]
	return n
}

func (r *reader) take(n uint64) []byte {
	if n > uint64(len(r.b)) {
		r.fail, r.b = true, nil
		return nil
	}
	out := r.b[:n:n]
	r.b = r.b[n:]
	return out
}

func (r *reader) float() float64 {
	if b := r.take(8); b != nil {
		return math.Float64frombits(binary.BigEndian.Uint64(b))
	}
	return 0
}

func (r *reader) bytes() []byte { return r.take(r.number()) }

const (
	knownServed = 1 << iota
	knownBody
)

// FreezeCompact gives what makes the compact image.
func (c *calls) FreezeCompact() func() ([]byte, error) {
	now, secret, classes := c.book.Now(), c.secret, slices.Clone(c.classes)
	list, size := c.book.Image(), 64
	order := func(k idempotency.Known) int { // those that run come last, by their names: what comes before is in the order of its ends
		if k.Running {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(list, func(a, b idempotency.Known) int {
		if a.Running && b.Running {
			return bytes.Compare(a.Name[:], b.Name[:])
		}
		return order(a) - order(b)
	})
	var running []claimOwner
	for _, k := range list {
		if size += 56; k.Running {
			running = append(running, c.running[k.Name])
			size += 64
		}
		if body, ok := k.Body.([]byte); ok {
			size += len(body)
		}
	}
	if math.IsInf(now, 0) {
		now = 0
	}
	return func() ([]byte, error) {
		w := writer{make([]byte, 0, size)}
		w.float(now)
		w.bytes(secret)
		w.number(uint64(len(classes)))
		for _, k := range classes {
			w.float(k.Answered)
			w.float(k.Doubt)
		}
		w.number(uint64(len(list) - len(running)))
		w.number(uint64(len(running)))
		at := 0
		for _, k := range list {
			body, kept := k.Body.([]byte)
			flags := byte(0)
			if k.Served {
				flags |= knownServed
			}
			if kept {
				flags |= knownBody
			}
			w.b = append(w.b, flags)
			w.b = append(append(w.b, k.Name[:]...), k.Print[:]...)
			w.number(uint64(k.Class))
			w.number(uint64(k.Tenant))
			w.float(k.Age)
			if kept {
				w.bytes(body)
			}
			if k.Running {
				h := running[at]
				at++
				w.bytes([]byte(h.Node))
				w.number(h.Life)
				w.number(h.Token)
				w.float(h.Until)
			}
		}
		return w.b, nil
	}
}

// LoadCompact takes one. Answers are copied, so that they do not hold the whole image.
func (c *calls) LoadCompact(image []byte) error {
	r := &reader{b: image}
	i := callsImage{Now: r.float()}
	if b := r.bytes(); len(b) > 0 {
		i.Secret = append([]byte(nil), b...)
	}
	for n := r.number(); n > 0 && !r.fail; n-- {
		i.Classes = append(i.Classes, [2]float64{r.float(), r.float()})
	}
	known, running := r.number(), r.number()
	if err := c.begin(&i); err != nil || r.fail {
		return errors.Join(err, errCut)
	}
	for n := uint64(0); n < known+running && !r.fail; n++ {
		k := knownImage{}
		if b := r.take(1); b != nil {
			k.Served = b[0]&knownServed != 0
			k.Name, k.Print, k.Class, k.Tenant, k.Age = r.take(16), r.take(16), int(r.number()), int(r.number()), r.float()
			if b[0]&knownBody != 0 {
				k.Body = append([]byte{}, r.bytes()...)
			}
		}
		if r.fail || k.Class < 0 || k.Class >= len(i.Classes) {
			return errCut
		}
		err := error(nil)
		if n < known {
			err = c.restore(i.Now, &k)
		} else {
			err = c.rerun(i.Now, &k, claimOwner{Node: string(r.bytes()), Life: r.number(), Token: r.number(), Until: r.float()})
		}
		if err != nil {
			return err
		}
	}
	if r.fail || len(r.b) > 0 {
		return errCut
	}
	return nil
}
