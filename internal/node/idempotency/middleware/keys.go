package middleware

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"sync"

	"linenwheel.dev/linenwheel/internal/node/core"
	"linenwheel.dev/linenwheel/internal/node/idempotency"
)

// Naming is what makes two calls of a class the same. Class and tenant are always part of it.
type Naming struct {
	Key     bool     // the call's own key
	Header  string   // or the header of this name; "" = none
	Path    bool     // or these parts
	Query   bool     //
	Headers []string //
	Body    bool     //
}

// keyHasher makes names and prints: HMAC-SHA-256 under a key that no one outside knows, cut to 128 bits. Without the key
// nobody can make two calls meet.
type keyHasher struct{ macs sync.Pool }

func newKeyHasher(key []byte) *keyHasher {
	n := &keyHasher{}
	n.macs.New = func() any { return hmac.New(sha256.New, key) }
	return n
}

// digest is one hash being made of parts, each with its length in front, so that no two lists of parts are the same text.
type digest struct {
	hash.Hash
	buffer [sha256.Size]byte
}

func (d *digest) writePart(b []byte) {
	binary.BigEndian.PutUint64(d.buffer[:8], uint64(len(b)))
	d.Write(d.buffer[:8])
	d.Write(b)
}

func (d *digest) writeNumber(n int) {
	binary.BigEndian.PutUint64(d.buffer[:8], uint64(int64(n)))
	d.Write(d.buffer[:8])
}

func (d *digest) sum() (out [16]byte) {
	copy(out[:], d.Sum(d.buffer[:0]))
	d.Reset()
	return out
}

// sum gives a call's name and print; false where it has nothing to be named by.
func (n *keyHasher) sum(by *Naming, call *core.Call, c core.Content) (name idempotency.Name, print idempotency.Print, ok bool) {
	d := digest{Hash: n.macs.Get().(hash.Hash)}
	defer n.macs.Put(d.Hash)
	d.Reset()
	d.writeNumber(call.Class)
	d.writeNumber(call.Tenant)
	switch {
	case by.Key:
		if len(call.Key) == 0 {
			return name, print, false
		}
		d.writePart(call.Key)
	case by.Header != "":
		v := c.Header(by.Header)
		if len(v) == 0 {
			return name, print, false
		}
		d.writePart(v)
	default:
		if by.Path {
			d.writePart(c.Path())
		}
		if by.Query {
			d.writePart(c.Query())
		}
		for _, h := range by.Headers {
			d.writePart(c.Header(h))
		}
		if by.Body {
			d.writePart(c.Body())
		}
	}
	name = d.sum()
	d.writePart(c.Path())
	d.writePart(c.Query())
	d.writePart(c.Body())
	return name, d.sum(), true
}
