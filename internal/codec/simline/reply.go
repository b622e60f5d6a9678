package simline

import (
	"strconv"
	"time"

	"linenwheel.dev/linenwheel/decide"
)

// Reply collects the actions of one batch as lines. It implements decide.Actions for the instance named
// last.
type Reply struct {
	buf  []byte
	node int
	told bool // the lines written name the node already
}

// Reset starts an empty reply.
func (r *Reply) Reset() { r.buf, r.told = r.buf[:0], false }

// Act makes the actions that follow those of a node.
func (r *Reply) Act(node int) {
	if node != r.node {
		r.node, r.told = node, false
	}
}

// Bytes ends the reply and returns it.
func (r *Reply) Bytes() []byte {
	r.buf = append(r.buf, "END\n"...)
	return r.buf
}

func (r *Reply) open(name string) {
	if !r.told {
		r.buf = append(r.buf, "ON_BEHALF "...)
		r.buf = strconv.AppendInt(r.buf, int64(r.node), 10)
		r.buf = append(r.buf, '\n')
		r.told = true
	}
	r.buf = append(r.buf, name...)
}

func (r *Reply) id(id decide.RequestID) {
	const digits = "0123456789abcdef"
	r.buf = append(r.buf, ' ')
	for shift := 60; shift >= 0; shift -= 4 {
		r.buf = append(r.buf, digits[uint64(id)>>shift&15])
	}
}

func (r *Reply) uint(n uint64) { r.buf = strconv.AppendUint(append(r.buf, ' '), n, 10) }

// seconds writes microseconds as a decimal number of seconds.
func (r *Reply) seconds(d time.Duration) {
	us := uint64(max(d, 0) / time.Microsecond)
	r.uint(us / 1e6)
	r.buf = append(r.buf, '.')
	for div := uint64(100000); div > 0; div /= 10 {
		r.buf = append(r.buf, byte('0'+us/div%10))
	}
}

func (r *Reply) close() { r.buf = append(r.buf, '\n') }

// Send writes DISPATCH.
func (r *Reply) Send(id decide.RequestID, to decide.BackendID, abandon time.Duration) {
	r.open("DISPATCH")
	r.id(id)
	r.uint(uint64(to))
	r.seconds(abandon)
	r.close()
}

// Reject writes DECLINE.
func (r *Reply) Reject(id decide.RequestID, wait time.Duration) {
	r.open("DECLINE")
	r.id(id)
	r.seconds(wait)
	r.close()
}

// Fail writes END_FAILED.
func (r *Reply) Fail(id decide.RequestID) {
	r.open("END_FAILED")
	r.id(id)
	r.close()
}

// Cancel writes STOP_ATTEMPT.
func (r *Reply) Cancel(id decide.RequestID, attempt int) {
	r.open("STOP_ATTEMPT")
	r.id(id)
	r.uint(uint64(attempt))
	r.close()
}

// Probe writes PROBE.
func (r *Reply) Probe(to decide.BackendID) {
	r.open("PROBE")
	r.uint(uint64(to))
	r.close()
}

// SetTimer writes ARM.
func (r *Reply) SetTimer(after time.Duration, token uint64) {
	r.open("ARM")
	r.seconds(after)
	r.uint(token)
	r.close()
}

// Watch writes OBSERVE.
func (r *Reply) Watch() {
	r.open("OBSERVE 1")
	r.close()
}

// Log writes JOURNAL_LINE.
func (r *Reply) Log(line string) {
	r.open("JOURNAL_LINE ")
	r.buf = append(r.buf, line...)
	r.close()
}
