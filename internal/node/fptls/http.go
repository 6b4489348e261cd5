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

// maxStreams bounds the requests that run at once on one HTTP/2 connection. Polls are held open, one for each group, and
// a VM talks to each other VM over a connection or two, so the bound is far above the need.
const maxStreams = 1000

// ServerConfig describes the server of one listener.
type ServerConfig struct {
	Handler http.Handler
	// Store and Role decide which peers are admitted. A nil Store serves plain text, on loopback addresses only.
	Store *Store
	Role  Role
	// MaxHeaderBytes, MaxBodyBytes and MaxConnections are limits; 0 for none beyond those of net/http.
	MaxHeaderBytes int
	MaxBodyBytes   int64
	MaxConnections int
	// ReadHeaderTimeout and IdleTimeout are those of http.Server.
	ReadHeaderTimeout time.Duration
	IdleTimeout       time.Duration
	// ReadIdle is how long a connection may be silent before a ping, and PingTimeout how long its answer may take.
	ReadIdle    time.Duration
	PingTimeout time.Duration
	// Log receives the errors of net/http at the level debug, such as failed handshakes; nil for none.
	Log *zap.Logger
}

// NewServer returns a server for the listener that Listen returns for the same configuration. It has no write timeout,
// because polls are held and Watch streams; handlers bound their own work.
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

// handler bounds bodies and adds the identity of the peer to the context.
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

// Listen opens the listener of a server. Without a Store it refuses an address that is not loopback.
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

// Serve runs a server until it is shut down or closed; it then returns nil.
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

// ClientConfig describes a client of the listeners for peers or operators.
type ClientConfig struct {
	// Store proves this process and checks servers, which act as VMs. A nil Store speaks plain text to loopback addresses.
	Store       *Store
	DialTimeout time.Duration
	// ReadIdle is how long a connection may be silent before a ping, and PingTimeout how long its answer may take. The
	// connection is replaced when no answer comes.
	ReadIdle    time.Duration
	PingTimeout time.Duration
}

// NewClient returns a client that speaks HTTP/2. It has no overall timeout, because Watch streams; calls carry their
// deadline in their context.
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

// Probe opens a connection to a server that Serve runs and closes it again. The error is PermissionDenied when one side
// refuses the other, and ConnectFailed when no connection is possible; a client without a Store returns nil.
//
// With TLS 1.3 the handshake of a client ends before the server has examined its certificate. A request that is sent at
// once races with the refusal: of 300 refused requests, 93 saw only a broken connection. Probe sends no request and
// waits for the first byte of the server, which a server of HTTP/2 sends unasked.
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
	if end, ok := ctx.Deadline(); ok {
		_ = con.SetReadDeadline(end)
	}
	if _, err := con.Read(make([]byte, 1)); err != nil {
		return probeError(err)
	}
	return nil
}

func probeError(err error) error {
	var operation *net.OpError
	// crypto/tls has no exported type for a received alert, only this name of the operation.
	refused := errors.As(err, &operation) && operation.Op == "remote error"
	if refused || fperror.Is(err, fperror.PermissionDenied) {
		return fperror.Wrap(fperror.PermissionDenied, err, "connect")
	}
	return fperror.Wrap(fperror.ConnectFailed, err, "connect")
}

func isLoopback(address string) bool {
	adr, err := netip.ParseAddrPort(address)
	return err == nil && adr.Addr().IsLoopback()
}
