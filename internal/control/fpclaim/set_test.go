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

const startMS = 1_700_000_000_000

func key(ms int64, number uint64) string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(ms)<<16|0x7000)
	binary.BigEndian.PutUint64(id[8:], 1<<63|number)
	return id.String()
}

func command(id string, holder string, attempt uint64, now int64) *fpwire.Claim {
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

func settlement(cmd *fpwire.Claim, out fpwire.Outcome, body string) *fpwire.Settle {
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

// run is one attempt of a VM to run a request.
type run struct {
	cmd     *fpwire.Claim
	started bool
	settled bool
}

// TestAtMostOnce guards against a second run of a request under resends through any VM, lost answers and repeated
// commands, restarts of holders, expiry, and a restore from a snapshot at any moment. It also guards against a caller
// that is told that a request will not run again before it runs.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		set := New(Config{
			Limit: 3,
		})
		now := int64(startMS)
		incarnations := map[string]uint64{}
		ran, final := map[string]int{}, map[string]bool{}
		var runs []*run
		var log []*fpwire.Settle
		attempts := uint64(0)
		claim := func(cmd *fpwire.Claim) fpwire.ClaimState {
			res, err := set.Claim(cmd)
			if err != nil {
				return fpwire.ClaimState_CLAIM_STATE_UNSPECIFIED
			}
			if res.GetState() == fpwire.ClaimState_CLAIM_STATE_UNKNOWN {
				final[cmd.GetIdempotencyKey()] = true
			}
			return res.GetState()
		}
		rt.Repeat(map[string]func(*rapid.T){
			"resend": func(rt *rapid.T) {
				attempts++
				vm := rapid.SampledFrom([]string{"v", "w"}).Draw(rt, "vm")
				cmd := command(key(startMS, rapid.Uint64Range(1, 4).Draw(rt, "key")), vm, attempts, now)
				cmd.HolderIncarnation = incarnations[vm]
				if claim(cmd) == fpwire.ClaimState_CLAIM_STATE_GRANTED && rapid.Bool().Draw(rt, "answer arrives") {
					runs = append(runs, &run{cmd: cmd})
				}
			},
			"claim again": func(rt *rapid.T) {
				if len(runs) > 0 {
					claim(proto.Clone(rapid.SampledFrom(runs).Draw(rt, "run").cmd).(*fpwire.Claim))
				}
			},
			"run": func(rt *rapid.T) {
				if len(runs) == 0 {
					return
				}
				one := rapid.SampledFrom(runs).Draw(rt, "run")
				alive := one.cmd.GetHolderIncarnation() == incarnations[one.cmd.GetHolder()]
				if one.started || one.settled || !alive || now > one.cmd.GetDeadlineMs() {
					return
				}
				id := one.cmd.GetIdempotencyKey()
				one.started = true
				ran[id]++
				if ran[id] > 1 || final[id] {
					rt.Fatalf("key %s ran %d times, was reported as unknown before: %v", id, ran[id], final[id])
				}
			},
			"settle": func(rt *rapid.T) {
				if len(runs) == 0 {
					return
				}
				one := rapid.SampledFrom(runs).Draw(rt, "run")
				out := fpwire.Outcome_OUTCOME_NOT_RUN
				if one.started {
					out = rapid.SampledFrom([]fpwire.Outcome{
						fpwire.Outcome_OUTCOME_RAN, fpwire.Outcome_OUTCOME_UNKNOWN,
					}).Draw(rt, "outcome")
				}
				if !one.settled {
					one.settled = true
					log = append(log, settlement(one.cmd, out, "answer"))
					_ = set.Settle(log[len(log)-1])
				}
			},
			"settle again": func(rt *rapid.T) {
				if len(log) > 0 {
					_ = set.Settle(rapid.SampledFrom(log).Draw(rt, "settle"))
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

// TestConfiguredLimit guards against a limit of the configuration that is not enforced.
func TestConfiguredLimit(t *testing.T) {
	set := New(Config{
		Limit: 3,
	})
	for num, want := range []bool{true, false} {
		cmd := command(key(startMS, uint64(num)), "v", uint64(num+1), startMS)
		cmd.Limit = 1
		if _, err := set.Claim(cmd); (err == nil) != want || !want && !fperror.Is(err, fperror.ClaimSetFull) {
			t.Errorf("claim %d with a limit of 1: %v", num, err)
		}
	}
}

// TestResults guards the answer to each kind of resend.
func TestResults(t *testing.T) {
	set := New(Config{
		Limit:       3,
		AnswerBytes: 30,
	})
	id := key(startMS, 1)
	one := command(id, "v", 1, startMS)
	other := command(id, "w", 2, startMS+6001)
	check := func(name string, cmd *fpwire.Claim, want fpwire.ClaimState, kind fperror.Kind) *fpwire.ClaimResult {
		t.Helper()
		res, err := set.Claim(cmd)
		if res.GetState() != want || (err != nil) != (want == 0) || err != nil && !fperror.Is(err, kind) {
			t.Errorf("%s: %v, %v; want %v, %v", name, res, err, want, kind)
		}
		return res
	}
	check("first", one, fpwire.ClaimState_CLAIM_STATE_GRANTED, 0)
	check("same attempt", one, fpwire.ClaimState_CLAIM_STATE_GRANTED, 0)
	second := command(id, "v", 2, startMS)
	check("other attempt of the holder", second, fpwire.ClaimState_CLAIM_STATE_PENDING, 0)
	if err := set.Settle(settlement(second, fpwire.Outcome_OUTCOME_NOT_RUN, "")); !fperror.Is(err, fperror.VersionConflict) {
		t.Errorf("another attempt settled: %v", err)
	}
	restarted := command(id, "v", 1, startMS)
	restarted.HolderIncarnation = 1
	check("same attempt of a restarted holder", restarted, fpwire.ClaimState_CLAIM_STATE_PENDING, 0)
	if err := set.Settle(settlement(restarted, fpwire.Outcome_OUTCOME_NOT_RUN, "")); !fperror.Is(err, fperror.VersionConflict) {
		t.Errorf("a restarted holder settled: %v", err)
	}
	check("other attempt", command(id, "w", 2, startMS+6000), fpwire.ClaimState_CLAIM_STATE_PENDING, 0)
	check("after deadline and grace", other, fpwire.ClaimState_CLAIM_STATE_UNKNOWN, 0)
	_ = set.Settle(settlement(one, fpwire.Outcome_OUTCOME_NOT_RUN, ""))
	check("not run, after a caller was told unknown", other, fpwire.ClaimState_CLAIM_STATE_UNKNOWN, 0)
	check("clock behind", command(id, "w", 2, startMS), fpwire.ClaimState_CLAIM_STATE_UNKNOWN, 0)
	if err := set.Settle(settlement(one, fpwire.Outcome_OUTCOME_RAN, "answer")); err != nil {
		t.Error(err)
	}
	if res := check("settled", other, fpwire.ClaimState_CLAIM_STATE_SETTLED, 0); string(res.GetAnswer().GetBody()) != "answer" {
		t.Errorf("answer %v", res.GetAnswer())
	}
	_ = set.Settle(settlement(one, fpwire.Outcome_OUTCOME_NOT_RUN, ""))
	check("first outcome stays", other, fpwire.ClaimState_CLAIM_STATE_SETTLED, 0)
	changed := command(id, "w", 2, startMS)
	changed.Digest = []byte("other body")
	check("other body", changed, 0, fperror.IdempotencyConflict)
	changed.Digest, changed.Method = one.GetDigest(), "Remove"
	check("other method", changed, 0, fperror.IdempotencyConflict)
	check("not version 7", command("8d9f6f4e-9c0a-4c53-9c7d-2f0f5f0a0b0c", "v", 1, startMS), 0, fperror.InvalidIdempotencyKey)
	check("from the future", command(key(startMS+60001, 5), "v", 1, startMS), 0, fperror.InvalidIdempotencyKey)
	next := command(key(startMS+10, 2), "v", 3, startMS)
	check("second", next, fpwire.ClaimState_CLAIM_STATE_GRANTED, 0)
	_ = set.Settle(settlement(next, fpwire.Outcome_OUTCOME_RAN, "twenty bytes are kept"))
	if res := check("oldest answer dropped", other, fpwire.ClaimState_CLAIM_STATE_SETTLED, 0); !res.GetAnswer().GetOmitted() {
		t.Errorf("answer %v, want it omitted beyond the bound of 30 bytes", res.GetAnswer())
	}
	check("third", command(key(startMS, 3), "v", 4, startMS), fpwire.ClaimState_CLAIM_STATE_GRANTED, 0)
	check("full", command(key(startMS, 4), "v", 5, startMS), 0, fperror.ClaimSetFull)
	set.ExpireClaims(&fpwire.ExpireClaims{BeforeMs: startMS + 1})
	check("expired", other, 0, fperror.ExpiredIdempotencyKey)
	check("kept", command(next.GetIdempotencyKey(), "w", 9, startMS), fpwire.ClaimState_CLAIM_STATE_SETTLED, 0)
}

// BenchmarkClaim measures the memory of a claim without an answer.
func BenchmarkClaim(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		set := New(Config{})
		for num := range uint64(DefaultLimit) {
			if _, err := set.Claim(command(key(startMS, num), fmt.Sprint("vm", num%11), num, startMS)); err != nil {
				b.Fatal(err)
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/DefaultLimit, "B/claim")
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N+1)/DefaultLimit, "ns/claim")
		data, _ := set.Snapshot()
		b.ReportMetric(float64(len(data))/DefaultLimit, "snapshot-B/claim")
	}
}
