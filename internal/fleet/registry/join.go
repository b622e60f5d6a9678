package registry

// Join returns what two records of one instance say together, whichever replicas they come from. The later lifecycle state wins
// whatever the sequence numbers are: a deregistration has none, and a replica that was started anew may know only an older
// heartbeat of a backend whose end it was told. Everything else is that of the newer heartbeat, and of update if both records
// are of the same one.
//
// Join is associative and idempotent. It is also commutative if records of the same heartbeat differ in their state only.
func Join(known, update Record) Record {
	joined := update
	if update.olderThan(known) {
		joined = known
	}
	joined.State = max(known.State, update.State)
	return joined
}

// olderThan reports whether a record of the same instance is of a newer heartbeat. A record that has only the ID, of an instance
// whose heartbeats the replica has never received, is the oldest.
func (r *Record) olderThan(other Record) bool {
	if r.described() != other.described() {
		return other.described()
	}
	return r.Sequence < other.Sequence
}

// described reports whether the record has more than the ID and the state of the instance.
func (r *Record) described() bool { return r.Address != "" }
