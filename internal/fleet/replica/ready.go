package replica

// Ready is what a call of the machine requires of its caller: store the records, then send the messages, then deliver the
// replies. No message and no reply may leave before all records are synced.
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
	Revision int64  // of the configuration that the order made, if Err is nil
	Err      error
	// Unconfirmed marks a rejection that holds only if the view of Epoch was still the latest one afterwards: the caller
	// must wait until [Machine.ViewConfirmed] is later than the rejection before it answers.
	Unconfirmed bool
	Epoch       uint64
}
