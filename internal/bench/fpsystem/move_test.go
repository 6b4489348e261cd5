package fpsystem_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"connectrpc.com/connect"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
)

// moveSlots asks a VM to move slots of the keyed service to an upstream. It returns how many slots move, or 0 on an error.
func (sys *system) moveSlots(vm, upstream string, numbers ...uint32) int {
	ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
	defer cancel()
	res, err := sys.operatorClient(vm).MoveSlots(ctx, connect.NewRequest(&fpoperator.MoveSlotsRequest{
		Service:  planService,
		Slots:    numbers,
		Upstream: upstream,
	}))
	if err != nil {
		return 0
	}
	return int(res.Msg.GetMoving())
}

// TestMoveWithoutFenceChecks guards against two owners of a key while slots move between upstreams that do not check the
// fence, so that the router alone has to ensure exclusive ownership. During every fourth move a VM is cut off from the others.
func TestMoveWithoutFenceChecks(t *testing.T) {
	t.Parallel()
	const rounds = 12
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	rnd := rand.New(rand.NewPCG(seed, 0))
	sys := newSystem(t, oneRegion())
	sys.addKeyedUpstreams(3, "--ignore-fence", "--concurrency", "32")
	vms := sys.vmNames()
	loa := sys.startLoad(4*time.Millisecond, func(num int) request {
		return request{
			vm:    vms[num%len(vms)],
			path:  planGet,
			key:   fmt.Sprintf("key-%d", num%16),
			sleep: 40 * time.Millisecond,
		}
	})
	moved := 0
	for round := range rounds {
		var numbers []uint32
		for num := range uint32(slots) {
			if rnd.IntN(2) == 0 {
				numbers = append(numbers, num)
			}
		}
		cut := round%4 == 3
		if cut {
			vm := vms[rnd.IntN(len(vms))]
			sys.network.cut([]string{vm}, sys.otherVMs(vm))
		}
		moved += sys.moveSlots(vms[rnd.IntN(len(vms))], fmt.Sprintf("plan-%d", 1+rnd.IntN(3)), numbers...)
		time.Sleep(500 * time.Millisecond)
		if cut {
			time.Sleep(time.Second)
			sys.network.heal()
		}
	}
	samples := loa.stopAndCollect()
	answered := 0
	for _, sam := range samples {
		if sam.reply.ok() {
			answered++
		}
	}
	t.Logf("%d slots moved, %d of %d requests answered", moved, answered, len(samples))
	if moved == 0 {
		t.Error("no slot moved")
	}
	sys.checkExclusiveOwnership()
}
