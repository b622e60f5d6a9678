package statemachine

import (
	"encoding/binary"
	"math"
)

// imageWriter encodes the compact form of images: numbers as varints, floats as their IEEE 754 bits in big endian
// order, byte slices prefixed by their length.
type imageWriter struct{ buf []byte }

func (w *imageWriter) number(n uint64) { w.buf = binary.AppendUvarint(w.buf, n) }
func (w *imageWriter) float(f float64) {
	w.buf = binary.BigEndian.AppendUint64(w.buf, math.Float64bits(f))
}
func (w *imageWriter) bytes(b []byte) {
	w.number(uint64(len(b)))
	w.buf = append(w.buf, b...)
}

// imageReader decodes the output of imageWriter. If the buffer ends too early, failed is set and all methods
// return zero values from then on. The caller checks failed at the end, and before it uses a value that must be
// valid.
type imageReader struct {
	buf    []byte
	failed bool
}

func (r *imageReader) number() uint64 {
	n, size := binary.Uvarint(r.buf)
	if size <= 0 {
		r.failed, r.buf = true, nil
		return 0
	}
	r.buf = r.buf[size:]
	return n
}

// next returns the next n bytes, which share the image's memory, or nil if there are fewer.
func (r *imageReader) next(n uint64) []byte {
	if n > uint64(len(r.buf)) {
		r.failed, r.buf = true, nil
		return nil
	}
	out := r.buf[:n:n]
	r.buf = r.buf[n:]
	return out
}

func (r *imageReader) float() float64 {
	if b := r.next(8); b != nil {
		return math.Float64frombits(binary.BigEndian.Uint64(b))
	}
	return 0
}

func (r *imageReader) bytes() []byte { return r.next(r.number()) }
