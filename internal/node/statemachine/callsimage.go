package statemachine

import (
	"bytes"
	"encoding/json"
	"errors"
	"math"
	"slices"

	"linenwheel.dev/linenwheel/internal/node/idempotency"
)

// callsImage is the JSON image of the calls.
type callsImage struct {
	Now     float64           `json:"now"` // cluster time, ms
	Classes [][2]float64      `json:"classes"`
	Secret  []byte            `json:"secret,omitempty"`
	Known   []knownImage      `json:"known"`   // calls that have ended, in the order in which they ended
	Running []claimOwnerImage `json:"running"` // in the order of their names
}

type knownImage struct {
	Name        []byte  `json:"n"`
	Fingerprint []byte  `json:"p"`
	Class       int     `json:"c"`
	Tenant      int     `json:"t"`
	Served      bool    `json:"s,omitempty"`
	Age         float64 `json:"a"`
	Body        []byte  `json:"b,omitempty"`
}

type claimOwnerImage struct {
	Known  knownImage `json:"known"`
	Holder claimOwner `json:"holder"`
}

// imageTime returns the time of the table, in ms; 0 if the table has not seen any time yet.
func (c *calls) imageTime() float64 {
	if now := c.table.Now(); !math.IsInf(now, 0) {
		return now
	}
	return 0
}

// Freeze captures the state for an image. Names are copied; bodies are not, because they never change.
func (c *calls) Freeze() func() (json.RawMessage, error) {
	frozen := callsImage{Now: c.imageTime(), Secret: c.secret, Known: []knownImage{}, Running: []claimOwnerImage{}}
	for _, class := range c.classes {
		frozen.Classes = append(frozen.Classes, [2]float64{class.AnsweredWindow, class.InDoubtWindow})
	}
	for _, k := range c.table.Snapshot() {
		known := knownImage{Name: bytes.Clone(k.Key[:]), Fingerprint: bytes.Clone(k.Fingerprint[:]), Class: k.Class, Tenant: k.Tenant, Served: k.Served, Age: k.Age}
		if body, ok := k.Body.([]byte); ok {
			known.Body = body
		}
		if k.Running {
			frozen.Running = append(frozen.Running, claimOwnerImage{known, c.running[k.Key]})
		} else {
			frozen.Known = append(frozen.Known, known)
		}
	}
	slices.SortFunc(frozen.Running, func(a, b claimOwnerImage) int { return bytes.Compare(a.Known.Name, b.Known.Name) })
	return func() (json.RawMessage, error) { return json.Marshal(frozen) }
}

// Load restores an image.
func (c *calls) Load(image json.RawMessage) error {
	var loaded callsImage
	if err := json.Unmarshal(image, &loaded); err != nil {
		return err
	}
	if err := c.reset(&loaded); err != nil {
		return err
	}
	for n := range loaded.Known {
		if err := c.restore(loaded.Now, &loaded.Known[n]); err != nil {
			return err
		}
	}
	for n := range loaded.Running {
		if err := c.resume(loaded.Now, &loaded.Running[n].Known, loaded.Running[n].Holder); err != nil {
			return err
		}
	}
	return nil
}

// reset empties the component and restores the header of an image.
func (c *calls) reset(header *callsImage) error {
	c.classes = c.classes[:0]
	for _, windows := range header.Classes {
		c.classes = append(c.classes, idempotency.Class{AtMostOnce: true, AnsweredWindow: windows[0], InDoubtWindow: windows[1]})
	}
	if len(c.classes) == 0 {
		return errors.New("no classes")
	}
	c.table, c.secret = newCallTable(c.classes, c.capacity), header.Secret
	c.table.Tick(header.Now)
	return nil
}

func (k *knownImage) call() idempotency.Call {
	name, _ := toName(k.Name)
	fingerprint, _ := toName(k.Fingerprint)
	return idempotency.Call{Key: name, Fingerprint: idempotency.Fingerprint(fingerprint), Class: k.Class, Tenant: k.Tenant}
}

// restore adds a call that has ended.
func (c *calls) restore(now float64, k *knownImage) error {
	known := idempotency.Entry{Call: k.call(), Served: k.Served, Age: k.Age, Size: len(k.Body)}
	if k.Body != nil {
		known.Body = k.Body
	}
	if !c.table.Restore(now, known) {
		return errors.New("no capacity for an ended call")
	}
	return nil
}

// resume adds a running call. It was admitted before and remains so, however much capacity its tenant uses by now.
func (c *calls) resume(now float64, k *knownImage, owner claimOwner) error {
	call := k.call()
	ref, ok := c.table.Resume(now, call)
	if !ok {
		return errors.New("no capacity for a running call")
	}
	owner.Ref = ref
	c.setRunning(call.Key, owner)
	return nil
}

// Flags of an entry in the compact image.
const (
	flagServed = 1 << iota
	flagBody
)

// Estimated sizes, in bytes, for allocating the buffer of the compact image. They are not limits.
const (
	compactHeaderBytes = 64
	compactEntryBytes  = 56
	compactOwnerBytes  = 64
)

// FreezeCompact captures the state for the compact image. The calls that have ended come first, in the order in
// which they ended and will be evicted. The running calls follow, in the order of their names.
func (c *calls) FreezeCompact() func() ([]byte, error) {
	now, secret, classes := c.imageTime(), c.secret, slices.Clone(c.classes)
	entries := c.table.Snapshot()
	slices.SortStableFunc(entries, func(a, b idempotency.Entry) int {
		switch {
		case a.Running && b.Running:
			return bytes.Compare(a.Key[:], b.Key[:])
		case a.Running:
			return 1
		case b.Running:
			return -1
		}
		return 0
	})
	size := compactHeaderBytes
	var owners []claimOwner // of the running calls
	for _, k := range entries {
		size += compactEntryBytes
		if k.Running {
			owners = append(owners, c.running[k.Key])
			size += compactOwnerBytes
		}
		if body, ok := k.Body.([]byte); ok {
			size += len(body)
		}
	}
	return func() ([]byte, error) {
		w := &imageWriter{make([]byte, 0, size)}
		w.float(now)
		w.bytes(secret)
		w.number(uint64(len(classes)))
		for _, class := range classes {
			w.float(class.AnsweredWindow)
			w.float(class.InDoubtWindow)
		}
		ended := len(entries) - len(owners)
		w.number(uint64(ended))
		w.number(uint64(len(owners)))
		for i := range entries {
			w.known(&entries[i])
			if i >= ended {
				w.owner(&owners[i-ended])
			}
		}
		return w.buf, nil
	}
}

func (w *imageWriter) known(k *idempotency.Entry) {
	body, kept := k.Body.([]byte)
	flags := byte(0)
	if k.Served {
		flags |= flagServed
	}
	if kept {
		flags |= flagBody
	}
	w.buf = append(w.buf, flags)
	w.buf = append(append(w.buf, k.Key[:]...), k.Fingerprint[:]...)
	w.number(uint64(k.Class))
	w.number(uint64(k.Tenant))
	w.float(k.Age)
	if kept {
		w.bytes(body)
	}
}

// known reads an entry that imageWriter.known wrote. The body is copied, so that it does not keep the whole image
// in memory.
func (r *imageReader) known() (k knownImage) {
	flags := r.next(1)
	if flags == nil {
		return k
	}
	k.Served = flags[0]&flagServed != 0
	k.Name, k.Fingerprint, k.Class, k.Tenant, k.Age = r.next(16), r.next(16), int(r.number()), int(r.number()), r.float()
	if flags[0]&flagBody != 0 {
		k.Body = append([]byte{}, r.bytes()...)
	}
	return k
}

func (w *imageWriter) owner(owner *claimOwner) {
	w.bytes([]byte(owner.Node))
	w.number(owner.Incarnation)
	w.number(owner.Token)
	w.float(owner.Until)
}

func (r *imageReader) owner() claimOwner {
	return claimOwner{Node: string(r.bytes()), Incarnation: r.number(), Token: r.number(), Until: r.float()}
}

// LoadCompact restores a compact image.
func (c *calls) LoadCompact(image []byte) error {
	r := &imageReader{buf: image}
	header := callsImage{Now: r.float()}
	if b := r.bytes(); len(b) > 0 {
		header.Secret = append([]byte(nil), b...)
	}
	for n := r.number(); n > 0 && !r.failed; n-- {
		header.Classes = append(header.Classes, [2]float64{r.float(), r.float()})
	}
	ended, running := r.number(), r.number()
	if err := c.reset(&header); err != nil || r.failed {
		return errors.Join(err, errTruncated)
	}
	for n := uint64(0); n < ended+running && !r.failed; n++ {
		k := r.known()
		if r.failed || k.Class < 0 || k.Class >= len(header.Classes) {
			return errTruncated
		}
		var err error
		if n < ended {
			err = c.restore(header.Now, &k)
		} else {
			err = c.resume(header.Now, &k, r.owner())
		}
		if err != nil {
			return err
		}
	}
	if r.failed || len(r.buf) > 0 {
		return errTruncated
	}
	return nil
}
