package fleet

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/bench/fpworker"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// announceInterval is the time between two heartbeats of a worker.
const announceInterval = 870 * time.Millisecond

// StartWorker starts a worker of a service: the project's own stand-in. It announces itself to the control VMs until ctx ends.
func (fle *Fleet) StartWorker(ctx context.Context, service string, keyed bool, num int, controls []*VM) (*fpworker.Worker, error) {
	return fle.StartWorkerIn(ctx, service, keyed, num, DataCentres[num%len(DataCentres)], controls, &http.Client{})
}

// StartWorkerIn is StartWorker with a data centre and the client for the calls of the worker.
func (fle *Fleet) StartWorkerIn(ctx context.Context, service string, keyed bool, num int, dataCentre string, controls []*VM, client *http.Client) (*fpworker.Worker, error) {
	wor := fpworker.New(fpworker.Config{
		Upstream: &fpstate.Upstream{
			Id:          fmt.Sprintf("i-%s-%d", service, num),
			Born:        uint64(time.Now().UnixMilli()),
			Service:     service,
			DataCentre:  dataCentre,
			Version:     "v1",
			Concurrency: 3,
		},
		Keyed:       keyed,
		ServiceTime: 10 * time.Millisecond,
		Queue:       16,
	})
	if err := wor.Listen(); err != nil {
		return nil, err
	}
	var addresses []string
	for _, vm := range controls {
		addresses = append(addresses, vm.Control)
	}
	go wor.Announce(ctx, client, addresses, announceInterval)
	return wor, nil
}
