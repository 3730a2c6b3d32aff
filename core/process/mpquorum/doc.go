// Package mpquorum decides how a replicated log is elected, extended,
// committed and compacted. It is a pure state machine in the manner of Raft
// (Ongaro and Ousterhout, 2014) with pre-vote, check-quorum, a leader lease,
// learners, single-step membership changes and leadership transfer.
//
// Step takes the present time and one event and returns what the caller must
// do, in this order: persist, synchronise, send, apply. The package opens no
// socket, file or goroutine and never reads the clock.
package mpquorum
