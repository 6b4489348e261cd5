package fpgroup

import (
	"github.com/foxtailpulley/foxtailpulley/internal/control/fplog"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// incomingSnapshot is a snapshot of which this VM has received the first chunks.
type incomingSnapshot struct {
	// from is the sender. Snapshots of two VMs may differ, even at the same position.
	from peerID
	// last is the position of the last entry that the snapshot includes.
	last    Position
	members *fpwire.Membership
	// data holds the chunks received so far.
	data []byte
}

// startSendingSnapshot starts to send the newest snapshot to a peer. If the snapshot is not in memory, it is first loaded by
// the snapshot goroutine.
func (cor *core) startSendingSnapshot(pee *peer) {
	pee.sendingSnapshot = true
	pee.inflight = nil
	pee.snapshotOffset = 0
	pee.snapshotIndex = 0
	if cor.lead.outgoing == nil {
		cor.lead.needsSnapshot = true
		return
	}
	cor.sendChunk(pee)
}

// handleSnapshotLoaded starts to send the snapshot that the snapshot goroutine has loaded. A zero snapshot means that loading
// failed.
func (cor *core) handleSnapshotLoaded(snp fplog.Snapshot) {
	if cor.role != Leader {
		return
	}
	cor.lead.needsSnapshot = false
	cor.lead.loadingSnapshot = false
	if snp.Index == 0 {
		return
	}
	cor.lead.outgoing = &snp
	for _, pee := range cor.lead.peers {
		if pee.sendingSnapshot {
			cor.sendChunk(pee)
		}
	}
}

// sendChunk sends the chunk at the peer's offset. If the snapshot is another one than before, it starts from the beginning.
func (cor *core) sendChunk(pee *peer) {
	snp := cor.lead.outgoing
	if pee.snapshotIndex != snp.Index {
		pee.snapshotIndex = snp.Index
		pee.snapshotOffset = 0
	}
	size := uint64(len(snp.Data))
	start := min(pee.snapshotOffset, size)
	end := min(start+uint64(cor.cfg.ChunkSize), size)
	msg := cor.message(pee.vm)
	msg.Body = &fpwire.GroupMessage_SnapshotRequest{
		SnapshotRequest: &fpwire.SnapshotRequest{
			LastTerm:  snp.Term,
			LastIndex: snp.Index,
			Members:   snp.Members,
			Offset:    start,
			Data:      snp.Data[start:end],
			Done:      end == size,
		},
	}
	pee.chunkSentAt = cor.now.mono
	cor.messages = append(cor.messages, msg)
}

// resendChunks sends chunks again that were not acknowledged for Lease. It stops sending to peers that have not responded for
// MaxElectionTimeout, and frees the snapshot when no peer needs it, because it prevents the compaction of the log.
func (cor *core) resendChunks() {
	needed := false
	for _, pee := range cor.lead.peers {
		if !pee.sendingSnapshot {
			continue
		}
		if cor.now.mono-pee.ackAt > cor.cfg.MaxElectionTimeout {
			pee.sendingSnapshot = false
			pee.probing = true
			pee.next = cor.log.last().Index + 1
			continue
		}
		needed = true
		if cor.lead.outgoing != nil && cor.now.mono-pee.chunkSentAt > cor.cfg.Lease {
			cor.sendChunk(pee)
		}
	}
	if !needed {
		cor.lead.outgoing = nil
		cor.lead.needsSnapshot = false
	} else if cor.lead.outgoing == nil {
		cor.lead.needsSnapshot = true
	}
}

// handleSnapshotResponse sends the next chunk, or the entries after the snapshot once the peer has installed it.
func (cor *core) handleSnapshotResponse(pee *peer, res *fpwire.SnapshotResponse) {
	pee.ackAt = cor.now.mono
	pee.acked = true
	if res.GetInstalled() {
		pee.sendingSnapshot = false
		pee.next = max(pee.match, res.GetLastIndex()) + 1
		cor.handleAccepted(pee, res.GetLastIndex())
		return
	}
	snp := cor.lead.outgoing
	if !pee.sendingSnapshot || snp == nil || res.GetLastIndex() != snp.Index || res.GetNextOffset() == pee.snapshotOffset {
		return
	}
	pee.snapshotOffset = res.GetNextOffset()
	if pee.snapshotOffset < uint64(len(snp.Data)) {
		cor.sendChunk(pee)
	}
}

// handleSnapshot appends a chunk to the incoming snapshot and installs the snapshot when it is complete. If the log already
// contains the last entry of the snapshot, it confirms the snapshot without the data.
func (cor *core) handleSnapshot(msg *fpwire.GroupMessage, req *fpwire.SnapshotRequest) {
	last := Position{
		Term:  req.GetLastTerm(),
		Index: req.GetLastIndex(),
	}
	if last.Index <= cor.commit || cor.log.contains(last) {
		cor.commit = max(cor.commit, last.Index)
		cor.incoming = nil
		cor.confirmInstalled(msg, last)
		return
	}
	if cor.incoming == nil || cor.incoming.last != last || cor.incoming.from != cor.leader {
		cor.incoming = &incomingSnapshot{
			from:    cor.leader,
			last:    last,
			members: req.GetMembers(),
		}
	}
	inc := cor.incoming
	if req.GetOffset() != uint64(len(inc.data)) {
		cor.respond(cor.snapshotResponse(msg, last, uint64(len(inc.data)), false))
		return
	}
	inc.data = append(inc.data, req.GetData()...)
	if !req.GetDone() {
		cor.respond(cor.snapshotResponse(msg, last, uint64(len(inc.data)), false))
		return
	}
	cor.installSnapshot(inc)
	cor.confirmInstalled(msg, last)
}

// installSnapshot replaces the log by a complete snapshot, which the next batch writes to disk.
func (cor *core) installSnapshot(inc *incomingSnapshot) {
	cor.incoming = nil
	cor.counters.Installs++
	snp := &fplog.Snapshot{
		Term:    inc.last.Term,
		Index:   inc.last.Index,
		Members: inc.members,
		Data:    inc.data,
	}
	cor.log = newEntryLog(inc.last, inc.members, nil)
	cor.commit = inc.last.Index
	cor.stable = 0
	cor.next.entries = nil
	cor.next.snapshot = snp
	cor.pendingRestore = snp
}

// confirmInstalled tells the leader that this VM has the state up to last, once it is synced.
func (cor *core) confirmInstalled(msg *fpwire.GroupMessage, last Position) {
	res := cor.snapshotResponse(msg, last, 0, true)
	if cor.stable >= last.Index {
		cor.respond(res)
		return
	}
	cor.sendAfterSync(res)
}

// snapshotResponse returns a response that names the next offset, or that the snapshot is installed.
func (cor *core) snapshotResponse(msg *fpwire.GroupMessage, last Position, offset uint64, installed bool) *fpwire.GroupMessage {
	res := cor.replyTo(msg)
	res.Body = &fpwire.GroupMessage_SnapshotResponse{
		SnapshotResponse: &fpwire.SnapshotResponse{
			LastIndex:  last.Index,
			NextOffset: offset,
			Installed:  installed,
		},
	}
	return res
}
