package fptls

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/net/netutil"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

// maxStreams bounds the concurrent requests on one HTTP/2 connection. Polls are held open, one for each group, and a VM has
// one or two connections to each other VM, so regular traffic stays far below this limit.
const maxStreams = 1000

// ServerConfig configures the server of one listener.
type ServerConfig struct {
	Handler http.Handler
	// Store and Role determine which peers are accepted. With a nil Store the server uses plain text, on loopback addresses
	// only.
	Store *Store
	Role  Role
	// MaxHeaderBytes, MaxBodyBytes and MaxConnections are limits. 0 means the limit of net/http, if it has one.
	MaxHeaderBytes int
	MaxBodyBytes   int64
	MaxConnections int
	// ReadHeaderTimeout and IdleTimeout are the timeouts of http.Server with these names.
	ReadHeaderTimeout time.Duration
	IdleTimeout       time.Duration
	// ReadIdle is how long nothing is received on a connection before a ping is sent. PingTimeout is how long the answer to
	// the ping may take before the connection is closed.
	ReadIdle    time.Duration
	PingTimeout time.Duration
	// Log receives the errors of net/http, such as failed handshakes, at the level debug; nil disables logging.
	Log *zap.Logger
}

// NewServer returns a server for the listener that Listen returns for the same configuration. It has no write timeout,
// because polls are held open and Watch streams for an unlimited time; handlers limit their own duration.
func NewServer(cfg ServerConfig) *http.Server {
	srv := &http.Server{
		Handler:           handler(cfg),
		MaxHeaderBytes:    cfg.MaxHeaderBytes,
		ReadHeaderTimeout: cfg.ReadHeaderTimeout,
		IdleTimeout:       cfg.IdleTimeout,
		Protocols:         &http.Protocols{},
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams,
			SendPingTimeout:      cfg.ReadIdle,
			PingTimeout:          cfg.PingTimeout,
		},
	}
	if cfg.Store != nil {
		srv.TLSConfig = cfg.Store.ServerTLS(cfg.Role)
		srv.Protocols.SetHTTP2(true)
	} else {
		srv.Protocols.SetUnencryptedHTTP2(true)
		srv.Protocols.SetHTTP1(true)
	}
	log := cfg.Log
	if log == nil {
		log = zap.NewNop()
	}
	srv.ErrorLog, _ = zap.NewStdLogAt(log, zap.DebugLevel)
	return srv
}

// handler wraps the handler of cfg. It limits the size of request bodies and adds the identity of the peer to the context.
func handler(cfg ServerConfig) http.Handler {
	next := cfg.Handler
	if cfg.MaxBodyBytes > 0 {
		next = http.MaxBytesHandler(next, cfg.MaxBodyBytes)
	}
	if cfg.Store == nil {
		return next
	}
	return http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		if req.TLS == nil {
			http.Error(wri, "TLS is required", http.StatusForbidden)
			return
		}
		name, ok := cfg.Store.identity(*req.TLS, cfg.Role)
		if !ok {
			http.Error(wri, "no listed identity", http.StatusForbidden)
			return
		}
		ctx := context.WithValue(req.Context(), identityKey{}, name)
		next.ServeHTTP(wri, req.WithContext(ctx))
	})
}

// Listen opens the listener of a server. The error is of kind InvalidSettings, also for an address that is not loopback if
// cfg.Store is nil.
func Listen(ctx context.Context, cfg ServerConfig, adr netip.AddrPort) (net.Listener, error) {
	if cfg.Store == nil && !adr.Addr().IsLoopback() {
		return nil, fperror.New(fperror.InvalidSettings, "listen on %s: plain text is allowed on loopback addresses only", adr)
	}
	lis, err := (&net.ListenConfig{}).Listen(ctx, "tcp", adr.String())
	if err != nil {
		return nil, fperror.Wrap(fperror.InvalidSettings, err, "listen on %s", adr)
	}
	if cfg.MaxConnections > 0 {
		lis = netutil.LimitListener(lis, cfg.MaxConnections)
	}
	return lis, nil
}

// Serve runs a server on a listener. It returns nil after the server was shut down or closed.
func Serve(srv *http.Server, lis net.Listener) error {
	var err error
	if srv.TLSConfig != nil {
		err = srv.ServeTLS(lis, "", "")
	} else {
		err = srv.Serve(lis)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// ClientConfig configures a client of the listeners for peers or operators.
type ClientConfig struct {
	// Store authenticates this process and the servers, which must have the role VM. With a nil Store the client uses plain
	// text, to loopback addresses only.
	Store *Store
	// DialTimeout bounds the connect and, separately, the TLS handshake.
	DialTimeout time.Duration
	// ReadIdle is how long nothing is received on a connection before a ping is sent. PingTimeout is how long the answer to
	// the ping may take before the connection is closed and replaced.
	ReadIdle    time.Duration
	PingTimeout time.Duration
}

// NewClient returns a client for HTTP/2. It has no overall timeout, because Watch streams for an unlimited time; the
// context of a call sets its deadline.
func NewClient(cfg ClientConfig) *http.Client {
	dia := &net.Dialer{
		Timeout: cfg.DialTimeout,
	}
	tra := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			if cfg.Store == nil && !isLoopback(address) {
				return nil, fperror.New(fperror.ConnectFailed, "dial %s: plain text is allowed to loopback addresses only", address)
			}
			return dia.DialContext(ctx, network, address)
		},
		TLSHandshakeTimeout: cfg.DialTimeout,
		Protocols:           &http.Protocols{},
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: cfg.ReadIdle,
			PingTimeout:     cfg.PingTimeout,
		},
	}
	if cfg.Store != nil {
		tra.TLSClientConfig = cfg.Store.ClientTLS(RoleVM)
		tra.Protocols.SetHTTP2(true)
	} else {
		tra.Protocols.SetUnencryptedHTTP2(true)
	}
	return &http.Client{
		Transport: tra,
	}
}

// Probe opens a connection to a server that Serve runs and closes it again. The error is of kind PermissionDenied if either
// side refuses the other, and ConnectFailed if no connection can be established. With a nil Store, Probe does nothing and
// returns nil.
//
// With TLS 1.3, the handshake of the client ends before the server has verified the client's certificate. A request that is
// sent at once races with the refusal: of 300 refused requests, 93 failed with only a broken connection. Probe sends no
// request but waits for the first byte of the server, because an HTTP/2 server sends its settings without a request.
func Probe(ctx context.Context, cfg ClientConfig, address string) error {
	if cfg.Store == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, 2*cfg.DialTimeout)
	defer cancel()
	dia := &tls.Dialer{
		NetDialer: &net.Dialer{
			Timeout: cfg.DialTimeout,
		},
		Config: cfg.Store.ClientTLS(RoleVM),
	}
	con, err := dia.DialContext(ctx, "tcp", address)
	if err != nil {
		return probeError(err)
	}
	defer con.Close()
	if deadline, ok := ctx.Deadline(); ok {
		_ = con.SetReadDeadline(deadline)
	}
	if _, err := con.Read(make([]byte, 1)); err != nil {
		return probeError(err)
	}
	return nil
}

func probeError(err error) error {
	var ope *net.OpError
	// crypto/tls exports no type for a received alert. It can be identified only by this operation name.
	refused := errors.As(err, &ope) && ope.Op == "remote error"
	if refused || fperror.Is(err, fperror.PermissionDenied) {
		return fperror.Wrap(fperror.PermissionDenied, err, "connect")
	}
	return fperror.Wrap(fperror.ConnectFailed, err, "connect")
}

func isLoopback(address string) bool {
	adr, err := netip.ParseAddrPort(address)
	return err == nil && adr.Addr().IsLoopback()
}
