// Package mpquorum implements leader election, replication, commit and compaction
// of a replicated log. It is a deterministic state machine based on Raft (Ongaro
// and Ousterhout, 2014) with pre-vote, check-quorum, a leader lease, learners,
// single-server membership changes and leadership transfer.
//
// Step takes the current time and one event and returns the actions for the
// caller to carry out in this order: persist, sync, send, apply. The package uses
// no sockets, files or goroutines and never reads the clock.
package mpquorum
