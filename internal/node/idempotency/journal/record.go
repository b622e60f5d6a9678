package journal

import (
	"encoding/binary"
	"math"
	"slices"

	"linenwheel.dev/linenwheel/internal/node/idempotency"
	"linenwheel.dev/linenwheel/internal/node/wal"
)

// Version is the version of the format. A release reads its own and the one before; this is the first.
const Version = 1

// segmentFormat is the format of the files, which keep the magic bytes and the name prefix of the first release.
var segmentFormat = wal.Format{Magic: "lwrepeat", Prefix: "repeats"}

// header is the first content of a segment.
type header struct {
	Version int      `json:"version"`
	Classes []string `json:"classes"`
	Tenants []string `json:"tenants"`
}

// kind is the kind of a record.
type kind uint8

const (
	kindBegan kind = 1
	kindEnded kind = 2
)

// record is one entry of the log, in the order in which it is written.
type record struct {
	kind        kind
	outcome     idempotency.Outcome
	class       uint8
	tenant      uint16  // math.MaxUint16 = none
	at          float64 // ms since the Unix epoch
	key         idempotency.Key
	fingerprint idempotency.Fingerprint
	body        []byte // of kindEnded; the response as the caller encoded it, empty = not kept
	// windows are those under which the call began, of kindBegan; nil = not recorded. A release that does not know
	// them takes their bytes for a response that it cannot decode, and applies the windows of its own settings.
	windows *idempotency.Windows
}

// Sizes in bytes: of a record without windows and body, and of its windows.
const (
	recordBytes  = 1 + 1 + 1 + 2 + 8 + 16 + 16
	windowsBytes = 16
)

// encodeTenant returns the number of a tenant in a record; math.MaxUint16 = none.
func encodeTenant(t int) uint16 {
	if t < 0 || t >= math.MaxUint16 {
		return math.MaxUint16
	}
	return uint16(t)
}

// append appends the encoded record to dst.
func (r *record) append(dst []byte) []byte {
	return wal.Append(dst, func(dst []byte) []byte {
		dst = append(dst, byte(r.kind), byte(r.outcome), r.class)
		dst = binary.BigEndian.AppendUint16(dst, r.tenant)
		dst = binary.BigEndian.AppendUint64(dst, math.Float64bits(r.at))
		dst = append(dst, r.key[:]...)
		dst = append(dst, r.fingerprint[:]...)
		if r.windows != nil {
			dst = binary.BigEndian.AppendUint64(dst, math.Float64bits(r.windows.Answered))
			dst = binary.BigEndian.AppendUint64(dst, math.Float64bits(r.windows.Doubt))
		}
		return append(dst, r.body...)
	})
}

// parseRecord decodes a record. The error is wal.ErrTorn.
func parseRecord(b []byte) (r record, err error) {
	if len(b) < recordBytes || b[0] != byte(kindBegan) && b[0] != byte(kindEnded) || b[1] > byte(idempotency.OutcomeInDoubt) {
		return r, wal.ErrTorn
	}
	r = record{kind: kind(b[0]), outcome: idempotency.Outcome(b[1]), class: b[2], tenant: binary.BigEndian.Uint16(b[3:]),
		at: math.Float64frombits(binary.BigEndian.Uint64(b[5:]))}
	copy(r.key[:], b[13:])
	copy(r.fingerprint[:], b[29:])
	rest := b[recordBytes:]
	switch {
	case r.kind == kindEnded && len(rest) > 0:
		r.body = slices.Clone(rest)
	case r.kind == kindBegan && len(rest) == windowsBytes:
		w := idempotency.Windows{Answered: math.Float64frombits(binary.BigEndian.Uint64(rest)),
			Doubt: math.Float64frombits(binary.BigEndian.Uint64(rest[8:]))}
		if !(w.Answered >= 0 && w.Doubt >= 0) || math.IsInf(w.Longest(), 1) {
			return r, wal.ErrTorn
		}
		r.windows = &w
	case len(rest) > 0:
		return r, wal.ErrTorn
	}
	return r, nil
}
