package fpnode

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract/fpcontractconnect"
	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/node/fppeer"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// detour is how long grants to an upstream go through another VM after the direct way failed.
const detour = 2 * time.Second

// granter sends grants to upstreams, directly or through a VM in the upstream's data centre.
type granter struct {
	client *http.Client
	peers  *fppeer.Peers
	// relays returns the VMs of a data centre, without this one.
	relays func(dataCentre string) []string

	mutex   sync.Mutex
	clients map[string]fpcontractconnect.UpstreamServiceClient
	detours map[string]time.Time
	turn    int
}

func (gra *granter) send(ctx context.Context, ups *fpcontract.Upstream, req *fpcontract.GrantRequest) (*fpcontract.GrantResponse, error) {
	if gra.onDetour(ups.GetName()) {
		if res, err := gra.relayed(ctx, ups, req); err == nil {
			return res, nil
		}
		gra.setDetour(ups.GetName(), time.Time{})
	}
	res, err := gra.direct(ctx, ups.GetAddress(), req)
	if err != nil {
		gra.setDetour(ups.GetName(), time.Now().Add(detour))
	}
	return res, err
}

func (gra *granter) onDetour(name string) bool {
	gra.mutex.Lock()
	defer gra.mutex.Unlock()
	return time.Now().Before(gra.detours[name])
}

func (gra *granter) setDetour(name string, until time.Time) {
	gra.mutex.Lock()
	defer gra.mutex.Unlock()
	if until.IsZero() {
		delete(gra.detours, name)
		return
	}
	gra.detours[name] = until
}

func (gra *granter) direct(ctx context.Context, address string, req *fpcontract.GrantRequest) (*fpcontract.GrantResponse, error) {
	res, err := gra.upstream(address).Grant(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return res.Msg, nil
}

func (gra *granter) upstream(address string) fpcontractconnect.UpstreamServiceClient {
	gra.mutex.Lock()
	defer gra.mutex.Unlock()
	cli := gra.clients[address]
	if cli == nil {
		cli = fpcontractconnect.NewUpstreamServiceClient(gra.client, "http://"+address)
		gra.clients[address] = cli
	}
	return cli
}

// relayed sends a grant through one of the VMs in the upstream's data centre, another one each time.
func (gra *granter) relayed(ctx context.Context, ups *fpcontract.Upstream, req *fpcontract.GrantRequest) (*fpcontract.GrantResponse, error) {
	vms := gra.relays(ups.GetDataCentre())
	if len(vms) == 0 {
		return nil, fperror.New(fperror.ConnectFailed, "no other VM in the data centre %s", ups.GetDataCentre())
	}
	gra.mutex.Lock()
	gra.turn++
	vm := vms[gra.turn%len(vms)]
	gra.mutex.Unlock()
	res, err := gra.peers.Peer(vm).PassGrant(ctx, connect.NewRequest(&fpwire.PassGrantRequest{
		Address: ups.GetAddress(),
		Grant:   req,
	}))
	if err != nil {
		return nil, err
	}
	return res.Msg.GetAnswer(), nil
}
