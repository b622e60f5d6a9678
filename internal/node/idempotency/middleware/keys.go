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

// Naming says what makes two calls of a class the same. Class and tenant are always part of it.
type Naming struct {
	Key    bool   // the call's own key
	Header string // else the value of this header; "" = none

	// Else these parts of it, in this order.
	Path    bool
	Query   bool
	Headers []string
	Body    bool
}

// keyHasher computes keys and fingerprints: HMAC-SHA-256 under a secret, truncated to 128 bits. Without the secret
// nobody can construct two calls with the same key. The order of what is hashed is part of the stored form: two
// releases, and two nodes, must compute the same key.
type keyHasher struct{ macs sync.Pool }

func newKeyHasher(secret []byte) *keyHasher {
	h := &keyHasher{}
	h.macs.New = func() any { return hmac.New(sha256.New, secret) }
	return h
}

// digest is one hash over a sequence of parts, each with its length in front, so that two different sequences are
// never the same bytes.
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

// sum returns the key and the fingerprint of a call; false where the call lacks the key or the header that its class
// requires.
func (h *keyHasher) sum(by *Naming, call *core.Call, c core.Content) (key idempotency.Key, fingerprint idempotency.Fingerprint, ok bool) {
	d := digest{Hash: h.macs.Get().(hash.Hash)}
	defer h.macs.Put(d.Hash)
	d.Reset()
	d.writeNumber(call.Class)
	d.writeNumber(call.Tenant)
	switch {
	case by.Key:
		if len(call.Key) == 0 {
			return key, fingerprint, false
		}
		d.writePart(call.Key)
	case by.Header != "":
		v := c.Header(by.Header)
		if len(v) == 0 {
			return key, fingerprint, false
		}
		d.writePart(v)
	default:
		if by.Path {
			d.writePart(c.Path())
		}
		if by.Query {
			d.writePart(c.Query())
		}
		for _, name := range by.Headers {
			d.writePart(c.Header(name))
		}
		if by.Body {
			d.writePart(c.Body())
		}
	}
	key = d.sum()
	d.writePart(c.Path())
	d.writePart(c.Query())
	d.writePart(c.Body())
	return key, d.sum(), true
}
