package fpmodel

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/bench/fpload"
	"github.com/foxtailpulley/foxtailpulley/internal/bench/fpstandin"
	"github.com/foxtailpulley/foxtailpulley/internal/upstream/fphealth"
)

// loopback connects one VM to the stand-ins of a cluster.
type loopback struct {
	cluster *Cluster
	client  *http.Client
	prober  *fphealth.Prober
}

// newLoopback returns the connections of one VM. The connections that a worker accepts are shared evenly among the VMs; one
// of each share is left for probes.
func newLoopback(clu *Cluster) *loopback {
	dep := clu.cfg.Deployment
	share := max(1, dep.MaxConnections/dep.VMs-1)
	return &loopback{
		cluster: clu,
		client: &http.Client{
			Transport: &http.Transport{
				MaxConnsPerHost:     share,
				MaxIdleConnsPerHost: share,
			},
		},
		prober: fphealth.NewProber(fphealth.ProberConfig{}),
	}
}

// readLoad reads the load of an upstream from its load endpoint.
func (lop *loopback) readLoad(ctx context.Context, upstream string) (*fpcontract.Load, error) {
	return lop.prober.Load(ctx, lop.cluster.standins[upstream].Address())
}

// attempt sends a request to an upstream. The error has the kind of the failure.
func (lop *loopback) attempt(ctx context.Context, upstream string, req fpload.Request) error {
	lop.cluster.attempts.Add(1)
	target := "http://" + lop.cluster.standins[upstream].Address() + "/model.Service/Call"
	out, err := http.NewRequestWithContext(ctx, http.MethodPost, target, strings.NewReader("{}"))
	if err != nil {
		return fperror.Wrap(fperror.Internal, err, "request to %s", upstream)
	}
	out.Header.Set("Content-Type", "application/json")
	out.Header.Set("Idempotency-Key", strconv.Itoa(req.Number))
	out.Header.Set("Connect-Timeout-Ms", strconv.FormatInt(max(1, time.Until(req.Deadline).Milliseconds()), 10))
	if req.Bundle {
		out.Header.Set(fpstandin.BundleHeader, "1")
	}
	resp, err := lop.client.Do(out)
	if err != nil {
		return clientError(ctx, err, upstream)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return fperror.Wrap(fperror.AnswerTruncated, err, "answer of %s", upstream)
	}
	return statusError(resp, upstream)
}

// clientError wraps an error of the HTTP client with its kind.
func clientError(ctx context.Context, err error, upstream string) error {
	var opErr *net.OpError
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return fperror.Wrap(fperror.DeadlineExceeded, err, "request to %s", upstream)
	case ctx.Err() != nil:
		return fperror.Wrap(fperror.CallerCanceled, err, "request to %s", upstream)
	case errors.As(err, &opErr) && opErr.Op == "dial":
		return fperror.Wrap(fperror.ConnectFailed, err, "connect to %s", upstream)
	default:
		return fperror.Wrap(fperror.UpstreamLost, err, "request to %s", upstream)
	}
}

// statusError returns the error of an answer with its kind, or nil for status 200.
func statusError(resp *http.Response, upstream string) error {
	switch {
	case resp.StatusCode == http.StatusOK:
		return nil
	case resp.Header.Get(fpstandin.RefusedHeader) == "shed":
		return fperror.New(fperror.UpstreamShed, "%s shed the request", upstream)
	case resp.StatusCode == http.StatusGatewayTimeout:
		return fperror.New(fperror.DeadlineExceeded, "%s ended the request at its deadline", upstream)
	default:
		return fperror.New(fperror.Internal, "%s answered with status %d", upstream, resp.StatusCode)
	}
}
