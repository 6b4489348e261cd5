package fpgroup

import (
	"github.com/foxtailpulley/foxtailpulley/internal/control/fplog"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// incoming is a snapshot of which this VM has received a part.
type incoming struct {
	// from is the sender; snapshots of the same position may differ between VMs.
	from    peerID
	last    Position
	members *fpwire.Membership
	data    []byte
}

// startSnapshot begins to send the newest snapshot to a peer, as soon as the driver has loaded it.
func (cor *core) startSnapshot(pee *peer) {
	pee.sending = true
	pee.flights = nil
	pee.offset = 0
	pee.chunkIndex = 0
	if cor.lead.outgoing == nil {
		cor.lead.wantSnapshot = true
		return
	}
	cor.sendChunk(pee)
}

// handleLoaded takes the snapshot that the driver has loaded, which is empty when that failed.
func (cor *core) handleLoaded(snp fplog.Snapshot) {
	if cor.role != Leader {
		return
	}
	cor.lead.wantSnapshot = false
	cor.lead.loading = false
	if snp.Index == 0 {
		return
	}
	cor.lead.outgoing = &snp
	for _, pee := range cor.lead.peers {
		if pee.sending {
			cor.sendChunk(pee)
		}
	}
}

func (cor *core) sendChunk(pee *peer) {
	snp := cor.lead.outgoing
	if pee.chunkIndex != snp.Index {
		pee.chunkIndex = snp.Index
		pee.offset = 0
	}
	size := uint64(len(snp.Data))
	start := min(pee.offset, size)
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
	pee.chunkAt = cor.now.mono
	cor.messages = append(cor.messages, msg)
}

// resendChunks repeats chunks without an answer. It gives up on peers that are silent, and frees the snapshot when no peer
// needs it, because it holds up the compaction of the log.
func (cor *core) resendChunks() {
	busy := false
	for _, pee := range cor.lead.peers {
		if !pee.sending {
			continue
		}
		if cor.now.mono-pee.ackAt > cor.cfg.MaxElection {
			pee.sending = false
			pee.probing = true
			pee.next = cor.log.last().Index + 1
			continue
		}
		busy = true
		if cor.lead.outgoing != nil && cor.now.mono-pee.chunkAt > cor.cfg.Lease {
			cor.sendChunk(pee)
		}
	}
	if !busy {
		cor.lead.outgoing = nil
		cor.lead.wantSnapshot = false
	} else if cor.lead.outgoing == nil {
		cor.lead.wantSnapshot = true
	}
}

// handleSnapshotResponse sends the next chunk, or goes on with entries after the snapshot.
func (cor *core) handleSnapshotResponse(pee *peer, res *fpwire.SnapshotResponse) {
	pee.ackAt = cor.now.mono
	pee.acked = true
	if res.GetInstalled() {
		pee.sending = false
		pee.next = max(pee.match, res.GetLastIndex()) + 1
		cor.handleAccepted(pee, res.GetLastIndex())
		return
	}
	snp := cor.lead.outgoing
	if !pee.sending || snp == nil || res.GetLastIndex() != snp.Index || res.GetNextOffset() == pee.offset {
		return
	}
	pee.offset = res.GetNextOffset()
	if pee.offset < uint64(len(snp.Data)) {
		cor.sendChunk(pee)
	}
}

// handleSnapshot collects a chunk and installs the snapshot when it is complete.
func (cor *core) handleSnapshot(msg *fpwire.GroupMessage, req *fpwire.SnapshotRequest) {
	last := Position{
		Term:  req.GetLastTerm(),
		Index: req.GetLastIndex(),
	}
	if last.Index <= cor.commit || cor.log.holds(last) {
		cor.commit = max(cor.commit, last.Index)
		cor.incoming = nil
		cor.answerInstalled(msg, last)
		return
	}
	if cor.incoming == nil || cor.incoming.last != last || cor.incoming.from != cor.leader {
		cor.incoming = &incoming{
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
	cor.install(inc)
	cor.answerInstalled(msg, last)
}

// install replaces the log by a snapshot.
func (cor *core) install(inc *incoming) {
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
	cor.pending = snp
}

// answerInstalled confirms a snapshot once the log up to it is synced.
func (cor *core) answerInstalled(msg *fpwire.GroupMessage, last Position) {
	res := cor.snapshotResponse(msg, last, 0, true)
	if cor.stable >= last.Index {
		cor.respond(res)
		return
	}
	cor.afterSync(res)
}

func (cor *core) snapshotResponse(msg *fpwire.GroupMessage, last Position, offset uint64, installed bool) *fpwire.GroupMessage {
	res := cor.reply(msg)
	res.Body = &fpwire.GroupMessage_SnapshotResponse{
		SnapshotResponse: &fpwire.SnapshotResponse{
			LastIndex:  last.Index,
			NextOffset: offset,
			Installed:  installed,
		},
	}
	return res
}
