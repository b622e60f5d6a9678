package replica

// Ready contains what the caller must do after a call of the machine: store the records, then send the messages,
// then deliver the replies. No message or reply may be sent before all records are synced.
type Ready struct {
	Records  []Record
	Messages []Envelope
	Replies  []Reply
}

func (r *Ready) add(other Ready) {
	r.Records = append(r.Records, other.Records...)
	r.Messages = append(r.Messages, other.Messages...)
	r.Replies = append(r.Replies, other.Replies...)
}

// Reply is the outcome of an order that was submitted to this member.
type Reply struct {
	ID       uint64 // as passed to Submit
	Revision int64  // of the configuration that resulted from the order, if Err is nil
	Err      error
	// Unconfirmed marks a rejection that is valid only if the view of Epoch was still the latest one afterwards:
	// before it replies to the client, the caller must wait until [Machine.ViewConfirmed] is later than the
	// rejection.
	Unconfirmed bool
	Epoch       uint64
}
