// Package fpgroup replicates the log of one group of VMs by consensus and applies it to a state machine.
//
// The core is a plain state machine: a message or the passing of time goes in, and messages, batches for the disk and
// committed entries come out. It does no I/O. A Group drives it with one goroutine each for the core, the storage, the
// machine, the saving of snapshots, and the sending to each peer. They are connected by bounded rings.
//
// # Elections and the leader lease
//
// A candidate first asks for pre-votes, which change no state. A voter that heard from a leader, or started, less than
// Lease ago grants neither a vote nor a pre-vote. Every broadcast of a leader has a number (its round), and the leader
// stores the time before it sends the round. Its lease counts from the newest round that a majority has acknowledged, and
// is shorter than the promise of the voters by the drift bound. A leader that steps down keeps its own vote back until its
// lease has ended. A leader without acknowledgements from a majority for Lease steps down.
//
// Lead and Leadership.Valid compare both the monotonic and the wall clock and trust the one on which more time has passed,
// because the monotonic clock may stand still while a VM is paused. Promises of voters use the monotonic clock only, on
// which a pause can only make them longer.
//
// A machine that is read through View is up to date if Lead, called inside fn, returns no error. Lead returns none before
// the first entry of the leader's own term has been applied.
//
// # Durability
//
// A vote, and the acknowledgement of an entry, leave a VM only after the batch with them was synced. Entries that arrive
// during an fsync are written together by the next one. A VM applies only entries that it has synced itself.
//
// # Incarnations
//
// A vote or an acknowledgement counts only when the incarnation of its sender is the one in the membership of the VM that
// counts. A VM whose disk was lost has a new incarnation, so it counts for nothing until it has been repaired.
//
// The initial voters have no known incarnation. They are bound as follows. An election in a membership with an unbound
// voter needs the votes of all voters, and the first entry of its winner is a membership with the incarnations that voted.
// From then on a majority suffices. This is safe: as long as one voter with that entry is left, an election among empty
// logs lacks its vote, and a vote names the incarnation that got it, so no two leaders of one term can write different
// memberships. The price is that all initial voters must run when a group starts for the first time. If one of them loses
// its disk before that, the group still forms with the new incarnation.
//
// A member that is added or repaired becomes a learner without an incarnation. The leader binds the incarnation that it
// hears, and starts over if it hears another one. It makes the learner a voter, by a membership entry with that incarnation,
// when the learner has acknowledged a round that was sent after the binding and has synced every committed entry.
//
// # Membership
//
// A membership is in force as soon as it is in the log. Each change adds, removes or turns one voter, so that majorities
// before and after it overlap, and starts only when the change before it and an entry of the leader's own term are
// committed. A repair first turns the voter into a learner and then the learner into a voter. A VM that was removed is not
// told; the others refuse its pre-votes while they have a leader.
//
// # Transfer of leadership
//
// The votes of a transfer override the promises of voters. Therefore the leader stops renewing its lease, waits until the
// lease has ended, and only then asks the target to stand for election. It never holds a lease in the same term again.
package fpgroup
