// Package replica implements one member of the replicated control plane as a state machine. The log that it
// replicates consists of orders: an order is one call of the operator that changes the configuration
// (operator.Order). The package combines three protocols:
//
//   - Agreement (acceptor.go, proposer.go; reconfiguration.go and bootstrap.go choose what to propose): a view
//     consists of the voters, the chain, and the state with which the chain begins. Views are agreed one epoch at
//     a time: each is a single Paxos decision by a majority of the voters of the previous view. A view identifies
//     its state by position and digest; it does not contain it.
//   - Chain replication (chain.go): within an epoch the head accepts orders, each member stores an entry before it
//     forwards it, and an entry is committed once the tail has stored it.
//   - State transfer (fetch.go, serve.go, install.go): a member that is behind fetches what it lacks, as entries
//     or as a snapshot in chunks.
//
// Heartbeats (failuredetector.go) determine which members are reachable. The replies of a majority also establish
// until when a view and a state were certainly the latest ones (confirmation.go). Before a member shuts down
// permanently, it waits until the others have replaced it (departure.go). Machine (machine.go) passes messages and
// the time to all of these parts.
//
// # Invariants
//
// A voter that has promised a ballot of the next epoch is sealed: it appends no further entry of the current
// epoch. Every chain shares a member with every majority of voters, and a view is put to the vote only after each
// member of its chain has stored the state with which it begins. So every majority contains a replica with all
// committed orders, and the longest replica among a majority of promises is a safe state for the next epoch to
// begin with.
//
// # Use
//
// The package is pure: it reads no clock, starts no goroutine and does no I/O. The caller passes the time, and
// processes the [Ready] that each call returns: it stores the records and syncs them, then sends the messages,
// then delivers the replies. A promise, an acceptance or an entry that is sent before it is stored may be lost in
// a crash, which breaks the guarantees. If storing fails, the caller discards the Ready and calls
// [Machine.Rollback].
package replica
