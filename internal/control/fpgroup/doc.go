// Package fpgroup replicates the log of one group of VMs by consensus and applies it to a state machine. The protocol is a
// variant of Raft with pre-votes, leader leases, learners and membership changes of one voter at a time.
//
// The core is a deterministic state machine that does no I/O: its inputs are messages and the passing of time, its outputs
// are messages, batches to write to disk and committed entries to apply. A Group drives it with one goroutine each for the
// core, the storage, the machine, the snapshots, and the sending to each peer. Bounded rings connect them.
//
// # Elections and the leader lease
//
// A candidate first asks for pre-votes, which change no state. A voter that received a message from a leader, or started,
// less than Lease ago grants neither a vote nor a pre-vote; this is its promise to the leader. Every broadcast of a leader
// has a number (its round), and the leader records the time before it sends the round. Its lease starts at the time of the
// newest round that a majority has acknowledged, and is shorter than the promise of the voters by the drift bound. A leader
// that steps down grants no vote until its own lease has ended. A leader without acknowledgements from a majority for Lease
// steps down.
//
// Group.Leadership and Leadership.Valid compare both the monotonic and the wall clock and use the one on which more time
// has passed, because the monotonic clock may stand still while a VM is paused. Promises of voters use the monotonic clock
// only, because a pause can only make them longer.
//
// A machine that is read through View is up to date if Group.Leadership, called inside fn, returns no error. It returns an
// error until the first entry of the leader's own term has been applied.
//
// # Durability
//
// A vote, and the acknowledgement of an entry, leave a VM only after the batch with them was synced. Entries that arrive
// during an fsync are written together by the next one. A VM applies only entries that it has synced itself.
//
// # Incarnations
//
// A vote or an acknowledgement counts only if the incarnation of its sender is the one in the membership of the VM that
// counts it. A VM whose disk was lost has a new incarnation, so it counts for nothing until it has been repaired.
//
// The incarnations of the initial voters are not known in advance; such voters are unbound. An election in a membership with
// an unbound voter needs the votes of all voters, and the first entry of its winner is a membership with the incarnations
// that voted. It binds the voters: from then on a majority suffices. This is safe: as long as one voter with that entry is
// left, an election among empty logs lacks its vote, and a vote names the incarnation that got it, so no two leaders of one
// term can write different memberships. The cost is that all initial voters must run when a group starts for the first time.
// If one of them loses its disk before that, the group still forms with the new incarnation.
//
// A member that is added or repaired becomes a learner without an incarnation. The leader binds the incarnation from which
// it receives a response, and starts over if it receives one from another incarnation. It makes the learner a voter, by a
// membership entry with that incarnation, when the learner has acknowledged a round that was sent after the binding and has
// synced every committed entry.
//
// # Membership
//
// A membership is in force as soon as it is in the log. Each change adds, removes, promotes or demotes one voter, so that
// majorities before and after it overlap. A change starts only when the previous change and an entry of the leader's own
// term are committed. A repair first demotes the voter to a learner and then promotes the learner. A VM that was removed is
// not notified; the others refuse its pre-votes while they have a leader.
//
// # Transfer of leadership
//
// The votes of a transfer override the promises of voters. Therefore the leader stops renewing its lease, waits until the
// lease has ended, and only then asks the target to start an election. It never holds a lease in the same term again.
package fpgroup
