package fpgroup

import (
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// observeLeader records the sender of a message as the leader of the current term and renews this VM's promise to vote for
// no other. It reports whether the message may be handled, which it may not while the disk is stalled. A second leader in one
// term stops the group.
func (cor *core) observeLeader(msg *fpwire.GroupMessage) bool {
	from := peerID{
		vm:          msg.GetFrom(),
		incarnation: msg.GetFromIncarnation(),
	}
	if cor.role == Leader || cor.leader != (peerID{}) && cor.leader != from {
		cor.fail("term %d has two leaders, %s and %s", cor.hard.Term, cor.leader.vm, from.vm)
		return false
	}
	if cor.role != Follower {
		cor.becomeFollower(cor.hard.Term)
	}
	cor.leader = from
	cor.promisedUntil = max(cor.promisedUntil, cor.now.mono+cor.cfg.Lease)
	cor.resetElectionTimeout()
	cor.finishTransfer()
	return !cor.stalled
}

// appendResponse sets the body of a message to res.
func appendResponse(msg *fpwire.GroupMessage, res *fpwire.AppendResponse) *fpwire.GroupMessage {
	msg.Body = &fpwire.GroupMessage_AppendResponse{
		AppendResponse: res,
	}
	return msg
}

// handleAppend handles entries or a heartbeat of the leader: it appends the entries that the log lacks, if the log contains
// the entry before them, and rejects the request otherwise.
func (cor *core) handleAppend(msg *fpwire.GroupMessage, req *fpwire.AppendRequest) {
	prev := Position{
		Term:  req.GetPrevTerm(),
		Index: req.GetPrevIndex(),
	}
	entries := req.GetEntries()
	if !isContiguous(prev, entries) {
		cor.counters.ForeignMessages++
		return
	}
	// Entries up to base are committed, so the leader has the same ones.
	for len(entries) > 0 && prev.Index < cor.log.base.Index {
		prev = Position{
			Term:  entries[0].GetTerm(),
			Index: entries[0].GetIndex(),
		}
		entries = entries[1:]
	}
	if prev.Index < cor.log.base.Index {
		cor.acknowledge(msg, req, prev.Index)
		return
	}
	if !cor.log.contains(prev) {
		cor.respond(appendResponse(cor.replyTo(msg), &fpwire.AppendResponse{
			Match: cor.rejectHint(prev),
			Round: req.GetRound(),
		}))
		return
	}
	if cor.next.size > cor.cfg.maxBatchBytes {
		// The disk is too slow. The leader sends the entries again after its next heartbeat.
		return
	}
	match := prev.Index + uint64(len(entries))
	if !cor.appendMissing(entries) {
		return
	}
	cor.commit = max(cor.commit, min(req.GetCommit(), match))
	cor.acknowledge(msg, req, match)
}

// isContiguous reports whether the entries follow prev without a gap, with terms that never decrease.
func isContiguous(prev Position, entries []*fpwire.Entry) bool {
	for _, ent := range entries {
		if ent.GetIndex() != prev.Index+1 || ent.GetTerm() < prev.Term {
			return false
		}
		prev = Position{
			Term:  ent.GetTerm(),
			Index: ent.GetIndex(),
		}
	}
	return true
}

// appendMissing appends the entries that the log lacks, after removing those that conflict with them. It returns false if a
// committed entry would be removed, which stops the group.
func (cor *core) appendMissing(entries []*fpwire.Entry) bool {
	for pos, ent := range entries {
		term, ok := cor.log.term(ent.GetIndex())
		if ok && term == ent.GetTerm() {
			continue
		}
		if ok {
			if ent.GetIndex() <= cor.commit {
				cor.fail("the leader of term %d replaces committed entry %d", cor.hard.Term, ent.GetIndex())
				return false
			}
			cor.truncate(ent.GetIndex())
		}
		missing := entries[pos:]
		cor.log.append(missing)
		cor.next.entries = append(cor.next.entries, missing...)
		for _, added := range missing {
			cor.next.size += entrySize(added)
		}
		return true
	}
	return true
}

// truncate removes the entries from the given index on, also from the batch that is not yet being written.
func (cor *core) truncate(from uint64) {
	cor.log.truncate(from)
	cor.stable = min(cor.stable, from-1)
	unwritten := cor.next.entries
	for len(unwritten) > 0 && unwritten[len(unwritten)-1].GetIndex() >= from {
		unwritten = unwritten[:len(unwritten)-1]
	}
	cor.next.entries = unwritten
}

// acknowledge acknowledges the entries up to match: at once if all of them are synced, otherwise after the sync. A heartbeat
// is in any case answered at once, with the synced index, so that a slow disk does not delay the response.
func (cor *core) acknowledge(msg *fpwire.GroupMessage, req *fpwire.AppendRequest, match uint64) {
	synced := min(match, cor.stable)
	if synced == match || len(req.GetEntries()) == 0 {
		cor.respond(cor.acceptedResponse(msg, req, synced))
	}
	if synced < match {
		cor.sendAfterSync(cor.acceptedResponse(msg, req, match))
	}
}

// acceptedResponse returns the response that acknowledges the entries up to match.
func (cor *core) acceptedResponse(msg *fpwire.GroupMessage, req *fpwire.AppendRequest, match uint64) *fpwire.GroupMessage {
	return appendResponse(cor.replyTo(msg), &fpwire.AppendResponse{
		Accepted: true,
		Match:    match,
		Round:    req.GetRound(),
	})
}

// rejectHint returns the index at which the leader should compare the logs next. It skips all entries with the same
// conflicting term, but goes back no further than the commit index, up to which the logs are equal.
func (cor *core) rejectHint(prev Position) uint64 {
	last := cor.log.last().Index
	if prev.Index > last {
		return last
	}
	conflict, _ := cor.log.term(prev.Index)
	hint := prev.Index - 1
	for hint > cor.commit {
		if term, ok := cor.log.term(hint); !ok || term != conflict {
			break
		}
		hint--
	}
	return hint
}
