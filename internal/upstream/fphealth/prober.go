package fphealth

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/dghubble/sling"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/upstream/fpconn"
)

const (
	// HealthPath is the path of the endpoint that returns Health.
	HealthPath = "/foxtailpulley/health"
	// LoadPath is the path of the endpoint that returns Load.
	LoadPath = "/foxtailpulley/load"
	// DefaultProbeTimeout bounds one probe.
	DefaultProbeTimeout = 500 * time.Millisecond
	// maxProbeBody is the maximum number of bytes that are read of an answer's body.
	maxProbeBody = 4 << 10
)

// ProberConfig configures a Prober.
type ProberConfig struct {
	// Client sends the probes. Nil: a client with its own connection pool.
	Client *http.Client
	// Timeout bounds one probe. 0 or less: DefaultProbeTimeout.
	Timeout time.Duration
	// Scheme is http or https. Empty: http.
	Scheme string
}

// Prober reads the health and load endpoints of upstreams. It is safe for concurrent use.
type Prober struct {
	client  *http.Client
	timeout time.Duration
	scheme  string
	// probes is the number of probes, by which their requests are named.
	probes atomic.Uint64
}

// NewProber returns a Prober.
func NewProber(cfg ProberConfig) *Prober {
	pro := &Prober{
		client:  cfg.Client,
		timeout: cfg.Timeout,
		scheme:  cfg.Scheme,
	}
	if pro.client == nil {
		pro.client = &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost:    1,
				IdleConnTimeout:        30 * time.Second,
				DisableCompression:     true, // the answers are short
				MaxResponseHeaderBytes: fpconn.MaxAnswerHeader,
			},
		}
	}
	if pro.timeout <= 0 {
		pro.timeout = DefaultProbeTimeout
	}
	if pro.scheme == "" {
		pro.scheme = "http"
	}
	return pro
}

// Health reads the health endpoint at an address of the form IP:port. The error is of kind ConnectFailed if the address
// is invalid, and otherwise of kind UpstreamLost.
func (pro *Prober) Health(ctx context.Context, address string) (*fpcontract.Health, error) {
	out := &fpcontract.Health{}
	if err := pro.read(ctx, address, HealthPath, out); err != nil {
		return nil, err
	}
	return out, nil
}

// Load reads the load endpoint at an address of the form IP:port. The error is of kind ConnectFailed if the address is
// invalid, and otherwise of kind UpstreamLost.
func (pro *Prober) Load(ctx context.Context, address string) (*fpcontract.Load, error) {
	out := &fpcontract.Load{}
	if err := pro.read(ctx, address, LoadPath, out); err != nil {
		return nil, err
	}
	return out, nil
}

// read decodes the answer of one endpoint into out. An answer with a status other than 200 is an error.
func (pro *Prober) read(ctx context.Context, address, path string, out proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, pro.timeout)
	defer cancel()
	req, err := sling.New().Base(pro.scheme + "://" + address).Get(path).Request()
	if err != nil {
		return fperror.Wrap(fperror.ConnectFailed, err, "probe of %s%s", address, path)
	}
	req.Header.Set(fpconn.RequestHeader, strconv.FormatUint(pro.probes.Add(1), 36))
	req.Header["User-Agent"] = nil
	decoded := sling.New().Client(pro.client).ResponseDecoder(jsonDecoder{})
	resp, err := decoded.Do(req.WithContext(ctx), out, nil)
	if err != nil {
		return fperror.Wrap(fperror.UpstreamLost, err, "probe of %s%s", address, path)
	}
	if err := fpconn.CheckAnswer(req, resp); err != nil {
		return fperror.Wrap(fperror.UpstreamLost, err, "probe of %s%s", address, path)
	}
	if resp.StatusCode != http.StatusOK {
		return fperror.New(fperror.UpstreamLost, "probe of %s%s: status %d", address, path, resp.StatusCode)
	}
	return nil
}

// jsonDecoder decodes answers in protobuf's JSON format, which sling's own decoder does not support.
type jsonDecoder struct{}

// Decode implements sling.ResponseDecoder.
func (jsonDecoder) Decode(resp *http.Response, out any) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxProbeBody))
	if err != nil {
		return err
	}
	return protojson.UnmarshalOptions{
		DiscardUnknown: true,
	}.Unmarshal(body, out.(proto.Message))
}
