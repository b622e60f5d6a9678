// Package replica is the state machine of one member of the control plane. It combines three protocols:
//
//   - Agreement (acceptor.go, proposer.go; reconfiguration.go and bootstrap.go choose what to propose): the view, that is
//     the voters, the chain and the state with which the chain begins, is agreed one epoch at a time by a majority of the
//     voters of the previous view, as one decision of Paxos. A view names its state by position and digest; it does not
//     carry it.
//   - Chain replication (chain.go): within an epoch the head accepts orders, each member stores an entry before it forwards
//     it, and an entry is committed once the tail has stored it.
//   - State transfer (fetch.go, serve.go, install.go): a member that is behind fetches what it lacks, as entries or as a
//     snapshot in chunks.
//
// Heartbeats (failuredetector.go) tell which members are reachable and, by the replies of a majority, until when a view and
// a state were certainly the latest ones (confirmation.go). A member that shuts down for good has itself replaced first
// (departure.go). Machine (machine.go) dispatches messages and time to all of these.
//
// # Invariants
//
// A voter that has promised a ballot of the next epoch is sealed: it appends no further entry of the present epoch. Every
// chain shares a member with every majority of voters, and a view is put to the vote only once each member of its chain has
// stored the state with which it begins. So every majority contains a replica with all committed orders, and the longest
// replica among a majority of promises is a safe state for the next epoch to begin with.
//
// # Use
//
// The package is pure: it reads no clock, starts no goroutine and does no I/O. The caller passes the time, and carries out
// the [Ready] that each call returns: it stores the records and syncs them, then sends the messages, then delivers the
// replies. A promise, an acceptance or an entry that is sent before it is stored may be forgotten in a crash, and the
// guarantees with it. Where storing fails, the caller discards the Ready and calls [Machine.Rollback].
package replica
