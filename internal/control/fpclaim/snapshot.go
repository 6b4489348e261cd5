package fpclaim

import (
	"bytes"
	"encoding/gob"
	"slices"

	"github.com/google/uuid"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

// setImage is the stored form of a Set. Claims are ordered by key; answered keeps its order.
type setImage struct {
	FloorMS  int64
	Holders  []holder
	Claims   []claimImage
	Answered []uuid.UUID
}

type claimImage struct {
	Key        uuid.UUID
	Request    fingerprint
	Attempt    uint64
	DeadlineMS int64
	Answer     []byte
	Holder     uint32
	State      uint8
}

// Snapshot returns the whole state.
func (set *Set) Snapshot() ([]byte, error) {
	img := setImage{
		FloorMS:  set.floorMS,
		Holders:  set.names,
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

// Restore replaces the whole state by a snapshot. The set is unchanged when it returns an error.
func (set *Set) Restore(snapshot []byte) error {
	var img setImage
	if err := gob.NewDecoder(bytes.NewReader(snapshot)).Decode(&img); err != nil {
		return fperror.Wrap(fperror.Internal, err, "decode the claims")
	}
	fresh := New(set.cfg)
	fresh.floorMS = img.FloorMS
	fresh.names = img.Holders
	fresh.answered = img.Answered
	for id, hol := range img.Holders {
		fresh.holders[hol] = uint32(id)
	}
	for _, one := range img.Claims {
		fresh.claims[one.Key] = &claim{
			request:    one.Request,
			attempt:    one.Attempt,
			deadlineMS: one.DeadlineMS,
			answer:     one.Answer,
			holder:     one.Holder,
			state:      one.State,
		}
		fresh.answerBytes += len(one.Answer)
	}
	*set = *fresh
	return nil
}
