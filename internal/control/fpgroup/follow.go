package fpgroup

import (
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// follow takes note of a message from the leader of the current term, and reports whether it may be handled. It renews
// this VM's promise to elect no other leader.
func (cor *core) follow(msg *fpwire.GroupMessage) bool {
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
	cor.resetElection()
	cor.finishTransfer()
	return !cor.stalled
}

func appendResponse(msg *fpwire.GroupMessage, res *fpwire.AppendResponse) *fpwire.GroupMessage {
	msg.Body = &fpwire.GroupMessage_AppendResponse{
		AppendResponse: res,
	}
	return msg
}

// handleAppend compares the leader's entries with the log and stores those that are missing.
func (cor *core) handleAppend(msg *fpwire.GroupMessage, req *fpwire.AppendRequest) {
	prev := Position{
		Term:  req.GetPrevTerm(),
		Index: req.GetPrevIndex(),
	}
	entries := req.GetEntries()
	if !continuous(prev, entries) {
		cor.counters.ForeignMessages++
		return
	}
	// Entries up to base are committed, so they are equal on the leader.
	for len(entries) > 0 && prev.Index < cor.log.base.Index {
		prev = Position{
			Term:  entries[0].GetTerm(),
			Index: entries[0].GetIndex(),
		}
		entries = entries[1:]
	}
	if prev.Index < cor.log.base.Index {
		cor.accept(msg, req, prev.Index)
		return
	}
	if !cor.log.holds(prev) {
		cor.respond(appendResponse(cor.reply(msg), &fpwire.AppendResponse{
			Match: cor.rejectHint(prev),
			Round: req.GetRound(),
		}))
		return
	}
	if cor.next.size > cor.cfg.maxBatch {
		// The disk is behind. The leader sends the entries again after its next heartbeat.
		return
	}
	match := prev.Index + uint64(len(entries))
	if !cor.store(entries) {
		return
	}
	cor.commit = max(cor.commit, min(req.GetCommit(), match))
	cor.accept(msg, req, match)
}

// continuous reports whether the entries follow prev without a gap.
func continuous(prev Position, entries []*fpwire.Entry) bool {
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

// store appends the entries that the log lacks, after removing those that conflict with them.
func (cor *core) store(entries []*fpwire.Entry) bool {
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
		rest := entries[pos:]
		cor.log.append(rest)
		cor.next.entries = append(cor.next.entries, rest...)
		for _, one := range rest {
			cor.next.size += entrySize(one)
		}
		return true
	}
	return true
}

// truncate removes the entries from the given index on, also from the batch that is not yet being written.
func (cor *core) truncate(from uint64) {
	cor.log.truncate(from)
	cor.stable = min(cor.stable, from-1)
	waiting := cor.next.entries
	for len(waiting) > 0 && waiting[len(waiting)-1].GetIndex() >= from {
		waiting = waiting[:len(waiting)-1]
	}
	cor.next.entries = waiting
}

// accept acknowledges the entries up to match. The part that is synced is acknowledged at once, so that a slow disk does
// not hold up the answers to heartbeats, and the rest after the sync.
func (cor *core) accept(msg *fpwire.GroupMessage, req *fpwire.AppendRequest, match uint64) {
	synced := min(match, cor.stable)
	if synced == match || len(req.GetEntries()) == 0 {
		cor.respond(cor.acceptance(msg, req, synced))
	}
	if synced < match {
		cor.afterSync(cor.acceptance(msg, req, match))
	}
}

func (cor *core) acceptance(msg *fpwire.GroupMessage, req *fpwire.AppendRequest, match uint64) *fpwire.GroupMessage {
	return appendResponse(cor.reply(msg), &fpwire.AppendResponse{
		Accepted: true,
		Match:    match,
		Round:    req.GetRound(),
	})
}

// rejectHint returns the index at which the leader should look next: the entry before the run of entries whose term
// conflicts, but never one before the commit index, up to which the logs agree.
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
