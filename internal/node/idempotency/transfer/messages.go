// Package transfer moves the table of idempotency keys from a process to the one that replaces it, over the channel
// of a hot restart.
//
// There is one table at each moment: the old process's until the new one has accepted, then the new one's. The old
// process (Sender) sends all of its entries and from then on claims each new key from the new one (Receiver). Its
// running calls are running entries in the new table too, and it sends each outcome before it answers its client.
// When the channel breaks, the old process rejects new keys, and the new one treats every run whose outcome it has
// not received as one that may have executed.
package transfer

import (
	"encoding/json"

	"linenwheel.dev/linenwheel/internal/node/idempotency"
)

// SendFunc sends a message to the other process, in order. After an error the channel is broken; its end is reported
// through Lost.
type SendFunc func(json.RawMessage) error

// maxChunkBytes bounds the bodies in one message, in bytes, not counting the body of its last entry.
const maxChunkBytes = 1 << 20

// maxChunkEntries bounds the entries in one message.
const maxChunkEntries = 4096

// message is what one process sends to the other: exactly one field is set. The JSON names are the wire form.
type message struct {
	Chunk      *tableChunk `json:"book,omitempty"` // to the new process
	Claim      *claim      `json:"ask,omitempty"`  // to the new process
	Reply      *claimReply `json:"told,omitempty"` // to the old process
	Completion *completion `json:"end,omitempty"`  // to the new process
}

// tableChunk is a part of the table.
type tableChunk struct {
	Entries []entry `json:"known"`
	Last    bool    `json:"last,omitempty"`
	Secret  []byte  `json:"secret,omitempty"` // of the last one: the secret of the hash of keys
}

// wireCall is an idempotency.Call on the wire.
type wireCall struct {
	Name   []byte `json:"name"`
	Print  []byte `json:"print"`
	Class  int    `json:"class"`
	Tenant int    `json:"tenant"`
	// Windows are those under which it claimed its key; nil, from a release that does not send them = those of its
	// class.
	Windows *idempotency.Windows `json:"windows,omitempty"`
}

// entry is an idempotency.Entry on the wire.
type entry struct {
	wireCall
	Running bool    `json:"running,omitempty"`
	Served  bool    `json:"served,omitempty"`
	Age     float64 `json:"age,omitempty"` // milliseconds
	Body    []byte  `json:"body,omitempty"`
}

// claim requests a key.
type claim struct {
	wireCall
	Seq     uint64  `json:"seq"`
	Timeout float64 `json:"for"` // milliseconds until its deadline
}

// claimReply answers the claim of the same Seq.
type claimReply struct {
	Seq     uint64              `json:"seq"`
	Verdict idempotency.Verdict `json:"verdict"`
	Reason  string              `json:"reason,omitempty"`
	Wait    float64             `json:"wait,omitempty"` // milliseconds
	Body    []byte              `json:"body,omitempty"`
}

// completion reports the outcome of a run.
type completion struct {
	wireCall
	Outcome idempotency.Outcome `json:"how"`
	Body    []byte              `json:"body,omitempty"`
}

// encodeCall returns the wire form of a call.
func encodeCall(c idempotency.Call) wireCall {
	return wireCall{c.Key[:], c.Fingerprint[:], c.Class, c.Tenant, c.Windows}
}

// decode returns the call of a wire form.
func (c wireCall) decode() (out idempotency.Call) {
	out.Class, out.Tenant, out.Windows = c.Class, c.Tenant, c.Windows
	copy(out.Key[:], c.Name)
	copy(out.Fingerprint[:], c.Print)
	return out
}

// send encodes and sends a message.
func (m message) send(to SendFunc) error {
	text, err := json.Marshal(m)
	if err != nil {
		return err
	}
	return to(text)
}
