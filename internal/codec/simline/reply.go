package simline

import (
	"strconv"
	"time"

	"linenwheel.dev/linenwheel/decide"
)

// Reply encodes the actions of one batch as lines. It implements decide.Actions for the node last given to Act.
type Reply struct {
	buf         []byte
	node        int
	nodeWritten bool // the ON_BEHALF line of the node has been written
}

// Reset empties the reply.
func (r *Reply) Reset() { r.buf, r.nodeWritten = r.buf[:0], false }

// Act attributes the actions that follow to a node.
func (r *Reply) Act(node int) {
	if node != r.node {
		r.node, r.nodeWritten = node, false
	}
}

// Bytes appends the end line and returns the reply.
func (r *Reply) Bytes() []byte {
	r.buf = append(r.buf, "END\n"...)
	return r.buf
}

func (r *Reply) open(name string) {
	if !r.nodeWritten {
		r.buf = append(r.buf, "ON_BEHALF "...)
		r.buf = strconv.AppendInt(r.buf, int64(r.node), 10)
		r.buf = append(r.buf, '\n')
		r.nodeWritten = true
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

// seconds appends a duration as a decimal number of seconds, in microsecond resolution; a negative one counts as 0.
func (r *Reply) seconds(d time.Duration) {
	us := uint64(max(d, 0) / time.Microsecond)
	r.uint(us / 1e6)
	r.buf = append(r.buf, '.')
	for div := uint64(100000); div > 0; div /= 10 {
		r.buf = append(r.buf, byte('0'+us/div%10))
	}
}

func (r *Reply) close() { r.buf = append(r.buf, '\n') }

// Send appends a DISPATCH line.
func (r *Reply) Send(id decide.RequestID, to decide.BackendID, abandon time.Duration) {
	r.open("DISPATCH")
	r.id(id)
	r.uint(uint64(to))
	r.seconds(abandon)
	r.close()
}

// Reject appends a DECLINE line.
func (r *Reply) Reject(id decide.RequestID, wait time.Duration) {
	r.open("DECLINE")
	r.id(id)
	r.seconds(wait)
	r.close()
}

// Fail appends an END_FAILED line.
func (r *Reply) Fail(id decide.RequestID) {
	r.open("END_FAILED")
	r.id(id)
	r.close()
}

// Cancel appends a STOP_ATTEMPT line.
func (r *Reply) Cancel(id decide.RequestID, attempt int) {
	r.open("STOP_ATTEMPT")
	r.id(id)
	r.uint(uint64(attempt))
	r.close()
}

// Probe appends a PROBE line.
func (r *Reply) Probe(to decide.BackendID) {
	r.open("PROBE")
	r.uint(uint64(to))
	r.close()
}

// SetTimer appends an ARM line.
func (r *Reply) SetTimer(after time.Duration, token uint64) {
	r.open("ARM")
	r.seconds(after)
	r.uint(token)
	r.close()
}

// Watch appends an OBSERVE line.
func (r *Reply) Watch() {
	r.open("OBSERVE 1")
	r.close()
}

// Log appends a JOURNAL_LINE line.
func (r *Reply) Log(line string) {
	r.open("JOURNAL_LINE ")
	r.buf = append(r.buf, line...)
	r.close()
}
