package fpclaim

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// startMS is the time at which the tests start, in Unix milliseconds.
const startMS = 1_700_000_000_000

// key returns a UUIDv7 with the given time in Unix milliseconds; number makes it unique.
func key(ms int64, number uint64) string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(ms)<<16|0x7000)
	binary.BigEndian.PutUint64(id[8:], 1<<63|number)
	return id.String()
}

// claimCommand returns a claim by an attempt of holder, whose caller's deadline is 5 s after now.
func claimCommand(id string, holder string, attempt uint64, now int64) *fpwire.Claim {
	return &fpwire.Claim{
		IdempotencyKey: id,
		Service:        "svc",
		Method:         "Add",
		Digest:         []byte("body"),
		Holder:         holder,
		Attempt:        attempt,
		NowMs:          now,
		DeadlineMs:     now + 5000,
	}
}

// settleCommand returns the command by which the holder of a claim reports its outcome.
func settleCommand(cmd *fpwire.Claim, out fpwire.Outcome, body string) *fpwire.Settle {
	return &fpwire.Settle{
		IdempotencyKey:    cmd.GetIdempotencyKey(),
		Service:           cmd.GetService(),
		Method:            cmd.GetMethod(),
		Holder:            cmd.GetHolder(),
		HolderIncarnation: cmd.GetHolderIncarnation(),
		Attempt:           cmd.GetAttempt(),
		Outcome:           out,
		Answer: &fpwire.Answer{
			Status: 200,
			Body:   []byte(body),
		},
	}
}

// attempt is one attempt of a VM to run a request, for which it holds the claim.
type attempt struct {
	cmd     *fpwire.Claim
	started bool
	settled bool
}

// TestAtMostOnce guards against a request that runs twice, and against one that runs after a caller was told that its
// outcome is unknown. The sequences mix resends through two VMs, lost answers, repeated commands, restarts of VMs, expiry
// and restores from a snapshot.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		set := New(Config{
			MaxClaims: 3,
		})
		now := int64(startMS)
		incarnations := map[string]uint64{}
		ran, reportedUnknown := map[string]int{}, map[string]bool{}
		var attempts []*attempt
		var settles []*fpwire.Settle
		lastAttempt := uint64(0)
		claim := func(cmd *fpwire.Claim) fpwire.ClaimState {
			res, err := set.Claim(cmd)
			if err != nil {
				return fpwire.ClaimState_CLAIM_STATE_UNSPECIFIED
			}
			if res.GetState() == fpwire.ClaimState_CLAIM_STATE_UNKNOWN {
				reportedUnknown[cmd.GetIdempotencyKey()] = true
			}
			return res.GetState()
		}
		rt.Repeat(map[string]func(*rapid.T){
			"resend": func(rt *rapid.T) {
				lastAttempt++
				vm := rapid.SampledFrom([]string{"v", "w"}).Draw(rt, "vm")
				cmd := claimCommand(key(startMS, rapid.Uint64Range(1, 4).Draw(rt, "key")), vm, lastAttempt, now)
				cmd.HolderIncarnation = incarnations[vm]
				if claim(cmd) == fpwire.ClaimState_CLAIM_STATE_GRANTED && rapid.Bool().Draw(rt, "answer arrives") {
					attempts = append(attempts, &attempt{cmd: cmd})
				}
			},
			"claim again": func(rt *rapid.T) {
				if len(attempts) > 0 {
					claim(proto.Clone(rapid.SampledFrom(attempts).Draw(rt, "run").cmd).(*fpwire.Claim))
				}
			},
			"run": func(rt *rapid.T) {
				if len(attempts) == 0 {
					return
				}
				att := rapid.SampledFrom(attempts).Draw(rt, "run")
				alive := att.cmd.GetHolderIncarnation() == incarnations[att.cmd.GetHolder()]
				if att.started || att.settled || !alive || now > att.cmd.GetDeadlineMs() {
					return
				}
				id := att.cmd.GetIdempotencyKey()
				att.started = true
				ran[id]++
				if ran[id] > 1 || reportedUnknown[id] {
					rt.Fatalf("key %s ran %d times, was reported as unknown before: %v", id, ran[id], reportedUnknown[id])
				}
			},
			"settle": func(rt *rapid.T) {
				if len(attempts) == 0 {
					return
				}
				att := rapid.SampledFrom(attempts).Draw(rt, "run")
				out := fpwire.Outcome_OUTCOME_NOT_RUN
				if att.started {
					out = rapid.SampledFrom([]fpwire.Outcome{
						fpwire.Outcome_OUTCOME_RAN, fpwire.Outcome_OUTCOME_UNKNOWN,
					}).Draw(rt, "outcome")
				}
				if !att.settled {
					att.settled = true
					settles = append(settles, settleCommand(att.cmd, out, "answer"))
					_ = set.Settle(settles[len(settles)-1])
				}
			},
			"settle again": func(rt *rapid.T) {
				if len(settles) > 0 {
					_ = set.Settle(rapid.SampledFrom(settles).Draw(rt, "settle"))
				}
			},
			"restart": func(rt *rapid.T) {
				incarnations[rapid.SampledFrom([]string{"v", "w"}).Draw(rt, "vm")]++
			},
			"wait":   func(rt *rapid.T) { now += rapid.Int64Range(0, 4000).Draw(rt, "ms") },
			"expire": func(*rapid.T) { set.ExpireClaims(&fpwire.ExpireClaims{BeforeMs: now - 20000}) },
			"restore": func(rt *rapid.T) {
				data, err := set.Snapshot()
				if err != nil {
					rt.Fatal(err)
				}
				fresh := New(set.cfg)
				if err := fresh.Restore(data); err != nil {
					rt.Fatal(err)
				}
				if again, _ := fresh.Snapshot(); !bytes.Equal(again, data) {
					rt.Fatal("a restored set has another snapshot")
				}
				set = fresh
			},
			"": func(rt *rapid.T) {
				if set.Len() > 3 {
					rt.Fatalf("%d claims, at most 3", set.Len())
				}
			},
		})
	})
}

// TestConfiguredLimit guards against a limit in the command that Claim ignores.
func TestConfiguredLimit(t *testing.T) {
	set := New(Config{
		MaxClaims: 3,
	})
	for num, want := range []bool{true, false} {
		cmd := claimCommand(key(startMS, uint64(num)), "v", uint64(num+1), startMS)
		cmd.Limit = 1
		if _, err := set.Claim(cmd); (err == nil) != want || !want && !fperror.Is(err, fperror.ClaimSetFull) {
			t.Errorf("claim %d with a limit of 1: %v", num, err)
		}
	}
}

// TestClaimResults checks the result of Claim for first claims and for each kind of resend.
func TestClaimResults(t *testing.T) {
	set := New(Config{
		MaxClaims:   3,
		AnswerBytes: 30,
	})
	id := key(startMS, 1)
	first := claimCommand(id, "v", 1, startMS)
	other := claimCommand(id, "w", 2, startMS+6001)
	check := func(name string, cmd *fpwire.Claim, want fpwire.ClaimState, kind fperror.Kind) *fpwire.ClaimResult {
		t.Helper()
		res, err := set.Claim(cmd)
		if res.GetState() != want || (err != nil) != (want == 0) || err != nil && !fperror.Is(err, kind) {
			t.Errorf("%s: %v, %v; want %v, %v", name, res, err, want, kind)
		}
		return res
	}
	check("first", first, fpwire.ClaimState_CLAIM_STATE_GRANTED, 0)
	check("same attempt", first, fpwire.ClaimState_CLAIM_STATE_GRANTED, 0)
	second := claimCommand(id, "v", 2, startMS)
	check("other attempt of the holder", second, fpwire.ClaimState_CLAIM_STATE_PENDING, 0)
	if err := set.Settle(settleCommand(second, fpwire.Outcome_OUTCOME_NOT_RUN, "")); !fperror.Is(err, fperror.VersionConflict) {
		t.Errorf("another attempt settled: %v", err)
	}
	restarted := claimCommand(id, "v", 1, startMS)
	restarted.HolderIncarnation = 1
	check("same attempt of a restarted holder", restarted, fpwire.ClaimState_CLAIM_STATE_PENDING, 0)
	if err := set.Settle(settleCommand(restarted, fpwire.Outcome_OUTCOME_NOT_RUN, "")); !fperror.Is(err, fperror.VersionConflict) {
		t.Errorf("a restarted holder settled: %v", err)
	}
	check("other attempt", claimCommand(id, "w", 2, startMS+6000), fpwire.ClaimState_CLAIM_STATE_PENDING, 0)
	check("after deadline and grace", other, fpwire.ClaimState_CLAIM_STATE_UNKNOWN, 0)
	_ = set.Settle(settleCommand(first, fpwire.Outcome_OUTCOME_NOT_RUN, ""))
	check("not run, after a caller was told unknown", other, fpwire.ClaimState_CLAIM_STATE_UNKNOWN, 0)
	check("clock behind", claimCommand(id, "w", 2, startMS), fpwire.ClaimState_CLAIM_STATE_UNKNOWN, 0)
	if err := set.Settle(settleCommand(first, fpwire.Outcome_OUTCOME_RAN, "answer")); err != nil {
		t.Error(err)
	}
	if res := check("settled", other, fpwire.ClaimState_CLAIM_STATE_SETTLED, 0); string(res.GetAnswer().GetBody()) != "answer" {
		t.Errorf("answer %v", res.GetAnswer())
	}
	_ = set.Settle(settleCommand(first, fpwire.Outcome_OUTCOME_NOT_RUN, ""))
	check("first outcome stays", other, fpwire.ClaimState_CLAIM_STATE_SETTLED, 0)
	changed := claimCommand(id, "w", 2, startMS)
	changed.Digest = []byte("other body")
	check("other body", changed, 0, fperror.IdempotencyConflict)
	changed.Digest, changed.Method = first.GetDigest(), "Remove"
	check("other method", changed, 0, fperror.IdempotencyConflict)
	check("not version 7", claimCommand("8d9f6f4e-9c0a-4c53-9c7d-2f0f5f0a0b0c", "v", 1, startMS), 0, fperror.InvalidIdempotencyKey)
	check("from the future", claimCommand(key(startMS+60001, 5), "v", 1, startMS), 0, fperror.InvalidIdempotencyKey)
	next := claimCommand(key(startMS+10, 2), "v", 3, startMS)
	check("second", next, fpwire.ClaimState_CLAIM_STATE_GRANTED, 0)
	_ = set.Settle(settleCommand(next, fpwire.Outcome_OUTCOME_RAN, "twenty bytes are kept"))
	if res := check("oldest answer dropped", other, fpwire.ClaimState_CLAIM_STATE_SETTLED, 0); !res.GetAnswer().GetOmitted() {
		t.Errorf("answer %v, want it omitted beyond the bound of 30 bytes", res.GetAnswer())
	}
	check("third", claimCommand(key(startMS, 3), "v", 4, startMS), fpwire.ClaimState_CLAIM_STATE_GRANTED, 0)
	check("full", claimCommand(key(startMS, 4), "v", 5, startMS), 0, fperror.ClaimSetFull)
	set.ExpireClaims(&fpwire.ExpireClaims{BeforeMs: startMS + 1})
	check("expired", other, 0, fperror.ExpiredIdempotencyKey)
	check("kept", claimCommand(next.GetIdempotencyKey(), "w", 9, startMS), fpwire.ClaimState_CLAIM_STATE_SETTLED, 0)
}

// BenchmarkClaim measures the memory, the time and the size in a snapshot of a claim without an answer.
func BenchmarkClaim(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		set := New(Config{})
		for num := range uint64(DefaultMaxClaims) {
			if _, err := set.Claim(claimCommand(key(startMS, num), fmt.Sprint("vm", num%11), num, startMS)); err != nil {
				b.Fatal(err)
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/DefaultMaxClaims, "B/claim")
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N+1)/DefaultMaxClaims, "ns/claim")
		data, _ := set.Snapshot()
		b.ReportMetric(float64(len(data))/DefaultMaxClaims, "snapshot-B/claim")
	}
}
