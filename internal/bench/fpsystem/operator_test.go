package fpsystem_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
)

// errorHeader names the kind of an operator error.
const errorHeader = "Foxtailpulley-Error"

// change is a request to replace the configuration.
type change struct {
	vm       string
	id       string
	expected *fpoperator.Version
	next     *fpoperator.Configuration
	wait     time.Duration
}

// apply sends a change once.
func (sys *system) apply(cha change) (*fpoperator.ApplyConfigurationResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), cha.wait+10*time.Second)
	defer cancel()
	res, err := sys.operators(cha.vm).ApplyConfiguration(ctx, connect.NewRequest(&fpoperator.ApplyConfigurationRequest{
		RequestId:     cha.id,
		Expected:      cha.expected,
		Configuration: cha.next,
		Wait:          durationpb.New(cha.wait),
	}))
	if err != nil {
		return nil, err
	}
	return res.Msg, nil
}

// kindOf returns the error kind of an operator's answer.
func kindOf(err error) string {
	if err == nil {
		return ""
	}
	if known, ok := err.(*connect.Error); ok { //nolint:errorlint // the client returns exactly this type
		return known.Meta().Get(errorHeader)
	}
	return err.Error()
}

// isUnsettled reports whether an answer leaves open whether the change was accepted, or says only that no leader was
// reached, so that the operator sends the same request again.
func isUnsettled(err error) bool {
	return err != nil && kindOf(err) != "versionConflict" && kindOf(err) != "invalidConfiguration"
}

// settle sends a change again until its outcome is known, through the VMs in turn.
func (sys *system) settle(cha change) (*fpoperator.ApplyConfigurationResponse, error) {
	sys.t.Helper()
	vms := sys.vms()
	end := time.Now().Add(patience)
	for num := 0; ; num++ {
		res, err := sys.apply(cha)
		if !isUnsettled(err) || time.Now().After(end) {
			return res, err
		}
		cha.vm = vms[num%len(vms)]
		time.Sleep(20 * time.Millisecond)
	}
}

// configuration returns the configuration in force on a VM, or an empty answer.
func (sys *system) configuration(vm string) *fpoperator.GetConfigurationResponse {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	res, err := sys.operators(vm).GetConfiguration(ctx, connect.NewRequest(&fpoperator.GetConfigurationRequest{}))
	if err != nil {
		return &fpoperator.GetConfigurationResponse{}
	}
	return res.Msg
}

// numbered returns a copy of a configuration that carries a number in its claim retention.
func numbered(cfg *fpoperator.Configuration, num int) *fpoperator.Configuration {
	next := proto.CloneOf(cfg)
	next.ClaimRetention = durationpb.New(15*time.Minute + time.Duration(num)*time.Millisecond)
	return next
}

// numberOf returns the number of a numbered configuration.
func numberOf(cfg *fpoperator.Configuration) int {
	if cfg.GetClaimRetention() == nil {
		return 0
	}
	return int((cfg.GetClaimRetention().AsDuration() - 15*time.Minute) / time.Millisecond)
}

func older(one, two *fpoperator.Version) bool {
	if one.GetTerm() != two.GetTerm() {
		return one.GetTerm() < two.GetTerm()
	}
	return one.GetIndex() < two.GetIndex()
}

// TestOperatorsRace guards against two accepted changes of one version, a conflict that hides the winner, and a resent
// request that is decided twice.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	const rounds = 100
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	rnd := rand.New(rand.NewPCG(seed, 0))
	sys := newSystem(t, oneRegion())
	vms := sys.vms()
	for round := range rounds {
		now := sys.configuration(vms[0])
		changes := make([]change, 2)
		answers := make([]*fpoperator.ApplyConfigurationResponse, 2)
		errs := make([]error, 2)
		done := make(chan struct{})
		for num := range changes {
			changes[num] = change{
				vm:       vms[rnd.IntN(len(vms))],
				id:       fmt.Sprintf("race-%d-%d", round, num),
				expected: now.GetVersion(),
				next:     numbered(now.GetConfiguration(), 2*round+num+1),
				wait:     patience,
			}
			go func() {
				answers[num], errs[num] = sys.settle(changes[num])
				done <- struct{}{}
			}()
		}
		<-done
		<-done
		sys.checkRace(round, changes, answers, errs)
		// Both requests are sent again through other VMs.
		for num, cha := range changes {
			cha.vm = vms[rnd.IntN(len(vms))]
			again, err := sys.settle(cha)
			if kindOf(err) != kindOf(errs[num]) || !proto.Equal(again.GetAccepted(), answers[num].GetAccepted()) {
				t.Fatalf("round %d: request %s was answered %v, %v and then %v, %v", round, cha.id, answers[num], errs[num], again, err)
			}
			if err != nil && err.Error() != errs[num].Error() {
				t.Errorf("round %d: request %s was refused with %q and then with %q", round, cha.id, errs[num], err)
			}
		}
		sys.eventually("the accepted configuration is in force where the next round reads it", func() bool {
			return older(now.GetVersion(), sys.configuration(vms[0]).GetVersion())
		})
	}
}

func (sys *system) checkRace(round int, changes []change, answers []*fpoperator.ApplyConfigurationResponse, errs []error) {
	sys.t.Helper()
	winner := 0
	if errs[0] != nil {
		winner = 1
	}
	loser := 1 - winner
	if errs[winner] != nil || kindOf(errs[loser]) != "versionConflict" {
		sys.t.Fatalf("round %d: answers %v and %v, errors %v and %v", round, answers[0], answers[1], errs[0], errs[1])
	}
	if !strings.Contains(errs[loser].Error(), changes[winner].id) {
		sys.t.Errorf("round %d: the conflict does not name the winner %s: %v", round, changes[winner].id, errs[loser])
	}
}
