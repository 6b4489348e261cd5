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
	"github.com/foxtailpulley/foxtailpulley/internal/upstream/fpconn"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// relayPeriod is how long grants to an upstream are relayed by another VM after a direct grant failed.
const relayPeriod = 2 * time.Second

// granter sends grants to upstreams, directly or relayed by a VM in the data centre of the upstream.
type granter struct {
	client *http.Client
	peers  *fppeer.Peers
	// relayVMs returns the names of the VMs of a data centre, without this VM.
	relayVMs func(dataCentre string) []string

	mutex sync.Mutex
	// clients holds a client for each upstream by address.
	clients map[string]fpcontractconnect.UpstreamServiceClient
	// relayUntil holds, for each upstream by name, the time until which its grants are relayed.
	relayUntil map[string]time.Time
	// relayCount counts the relayed grants. Modulo the number of VMs that can relay a grant, it selects one of them.
	relayCount int
}

// send sends a grant to an upstream. After a failed relay it tries the direct connection. After a failed direct grant it
// returns the error, and the following grants to this upstream are relayed for relayPeriod.
func (gra *granter) send(ctx context.Context, ups *fpcontract.Upstream, req *fpcontract.GrantRequest) (*fpcontract.GrantResponse, error) {
	if gra.usesRelay(ups.GetName()) {
		if res, err := gra.sendRelayed(ctx, ups, req); err == nil {
			return res, nil
		}
		gra.setRelayUntil(ups.GetName(), time.Time{})
	}
	res, err := gra.sendDirect(ctx, ups.GetAddress(), req)
	if err != nil {
		gra.setRelayUntil(ups.GetName(), time.Now().Add(relayPeriod))
	}
	return res, err
}

// usesRelay reports whether the grants of the upstream with the given name are currently relayed.
func (gra *granter) usesRelay(name string) bool {
	gra.mutex.Lock()
	defer gra.mutex.Unlock()
	return time.Now().Before(gra.relayUntil[name])
}

// setRelayUntil makes the grants of an upstream relayed until the given time; the zero time ends this at once.
func (gra *granter) setRelayUntil(name string, until time.Time) {
	gra.mutex.Lock()
	defer gra.mutex.Unlock()
	if until.IsZero() {
		delete(gra.relayUntil, name)
		return
	}
	gra.relayUntil[name] = until
}

// sendDirect sends a grant to the upstream at address.
func (gra *granter) sendDirect(ctx context.Context, address string, req *fpcontract.GrantRequest) (*fpcontract.GrantResponse, error) {
	res, err := gra.upstreamClient(address).Grant(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return res.Msg, nil
}

// upstreamClient returns the client for an address, which is created at the first call.
func (gra *granter) upstreamClient(address string) fpcontractconnect.UpstreamServiceClient {
	gra.mutex.Lock()
	defer gra.mutex.Unlock()
	cli := gra.clients[address]
	if cli == nil {
		cli = fpcontractconnect.NewUpstreamServiceClient(gra.client, "http://"+address, connect.WithReadMaxBytes(fpconn.MaxContractAnswer))
		gra.clients[address] = cli
	}
	return cli
}

// sendRelayed sends a grant through one of the VMs in the data centre of the upstream, choosing them in turn.
func (gra *granter) sendRelayed(ctx context.Context, ups *fpcontract.Upstream, req *fpcontract.GrantRequest) (*fpcontract.GrantResponse, error) {
	vms := gra.relayVMs(ups.GetDataCentre())
	if len(vms) == 0 {
		return nil, fperror.New(fperror.ConnectFailed, "there is no other VM in data centre %s", ups.GetDataCentre())
	}
	gra.mutex.Lock()
	gra.relayCount++
	vm := vms[gra.relayCount%len(vms)]
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
