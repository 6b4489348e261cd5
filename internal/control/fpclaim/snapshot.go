package fpclaim

import (
	"bytes"
	"encoding/gob"
	"slices"

	"github.com/google/uuid"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

// setImage is the stored form of a Set, encoded by gob. Claims are ordered by key, so that equal sets have equal snapshots.
type setImage struct {
	FloorMS  int64
	Holders  []holder
	Claims   []claimImage
	Answered []uuid.UUID
}

// claimImage is the stored form of a claim.
type claimImage struct {
	Key        uuid.UUID
	Request    fingerprint
	Attempt    uint64
	DeadlineMS int64
	Answer     []byte
	Holder     uint32
	State      uint8
}

// Snapshot returns the encoded state of the set. Equal sets have equal snapshots. The error has the kind Internal.
func (set *Set) Snapshot() ([]byte, error) {
	img := setImage{
		FloorMS:  set.floorMS,
		Holders:  set.holderList,
		Claims:   make([]claimImage, 0, len(set.claims)),
		Answered: set.answered,
	}
	for id, cla := range set.claims {
		img.Claims = append(img.Claims, claimImage{
			Key:        id,
			Request:    cla.request,
			Attempt:    cla.attempt,
			DeadlineMS: cla.deadlineMS,
			Answer:     cla.answer,
			Holder:     cla.holder,
			State:      cla.state,
		})
	}
	slices.SortFunc(img.Claims, func(a, b claimImage) int { return bytes.Compare(a.Key[:], b.Key[:]) })
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(&img); err != nil {
		return nil, fperror.Wrap(fperror.Internal, err, "encode the claims")
	}
	return buf.Bytes(), nil
}

// Restore replaces the state of the set by a snapshot. If it returns an error, which has the kind Internal, the set is
// unchanged.
func (set *Set) Restore(snapshot []byte) error {
	var img setImage
	if err := gob.NewDecoder(bytes.NewReader(snapshot)).Decode(&img); err != nil {
		return fperror.Wrap(fperror.Internal, err, "decode the claims")
	}
	fresh := New(set.cfg)
	fresh.floorMS = img.FloorMS
	fresh.holderList = img.Holders
	fresh.answered = img.Answered
	for id, hol := range img.Holders {
		fresh.holderIDs[hol] = uint32(id)
	}
	for _, cim := range img.Claims {
		fresh.claims[cim.Key] = &claim{
			request:    cim.Request,
			attempt:    cim.Attempt,
			deadlineMS: cim.DeadlineMS,
			answer:     cim.Answer,
			holder:     cim.Holder,
			state:      cim.State,
		}
		fresh.answerBytes += len(cim.Answer)
	}
	*set = *fresh
	return nil
}
