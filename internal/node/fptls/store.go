// Package fptls proves the identities of VMs and operators by mutual TLS, and builds the HTTP servers and clients of the
// listeners for peers and operators.
package fptls

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

// Role is what a peer may act as.
type Role string

// The roles of a peer. No identity has both, so an operator's certificate cannot take part in the protocol between VMs.
const (
	RoleVM       Role = "vm"
	RoleOperator Role = "operator"
)

// reloadInterval bounds how often the files are examined. It is also the delay until a new certificate is in use.
const reloadInterval = time.Second

// refusalLogInterval bounds the log lines that peers without a listed identity can cause. The counter counts them all.
const refusalLogInterval = 10 * time.Second

// Config names the files of this process and the identities of its peers. An identity is a DNS name or a URI of a
// certificate.
type Config struct {
	Certificate string
	Key         string
	Authority   string
	VMs         []string
	Operators   []string
	// Log receives changes of the files and refused peers; nil for none.
	Log *zap.Logger
}

// Store holds the certificates read from the files of a Config and reads them again when a file has changed. Use Open to
// create one. Its methods may be called from any goroutine.
type Store struct {
	cfg     Config
	mut     sync.Mutex
	current *material
	checked time.Time
	failed  bool
	// refusalLogged is when a refused peer was last logged.
	refusalLogged time.Time

	refused       atomic.Uint64
	reloads       atomic.Uint64
	reloadsFailed atomic.Uint64
}

// material is what the files held when they were read.
type material struct {
	certificate tls.Certificate
	authority   *x509.CertPool
	stamps      [3]stamp
}

// stamp tells two versions of a file apart.
type stamp struct {
	modified time.Time
	size     int64
}

// Open reads the files. The error is of the kind InvalidSettings.
func Open(cfg Config) (*Store, error) {
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	mat, err := load(cfg)
	if err != nil {
		return nil, err
	}
	return &Store{
		cfg:     cfg,
		current: mat,
		checked: time.Now(),
	}, nil
}

// load takes the stamps before it reads the files, so that a change in between is noticed at the next check.
func load(cfg Config) (*material, error) {
	stamps, err := readStamps(cfg)
	if err != nil {
		return nil, fperror.Wrap(fperror.InvalidSettings, err, "read TLS files")
	}
	certificate, err := tls.LoadX509KeyPair(cfg.Certificate, cfg.Key)
	if err != nil {
		return nil, fperror.Wrap(fperror.InvalidSettings, err, "read TLS certificate and key")
	}
	text, err := os.ReadFile(cfg.Authority)
	if err != nil {
		return nil, fperror.Wrap(fperror.InvalidSettings, err, "read TLS authority")
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(text) {
		return nil, fperror.New(fperror.InvalidSettings, "read TLS authority: no certificate in %s", cfg.Authority)
	}
	return &material{
		certificate: certificate,
		authority:   authority,
		stamps:      stamps,
	}, nil
}

func readStamps(cfg Config) (stamps [3]stamp, err error) {
	for at, path := range []string{cfg.Certificate, cfg.Key, cfg.Authority} {
		info, err := os.Stat(path)
		if err != nil {
			return stamps, err
		}
		stamps[at] = stamp{
			modified: info.ModTime(),
			size:     info.Size(),
		}
	}
	return stamps, nil
}

// material returns the latest readable version of the files. While a reload fails, for example because the certificate
// has been replaced and the key has not yet, the previous version stays in use.
func (sto *Store) material() *material {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	if time.Since(sto.checked) < reloadInterval {
		return sto.current
	}
	sto.checked = time.Now()
	stamps, err := readStamps(sto.cfg)
	if err == nil && stamps == sto.current.stamps {
		return sto.current
	}
	mat, err := load(sto.cfg)
	if err != nil {
		sto.noteFailure(err)
		return sto.current
	}
	sto.current = mat
	sto.failed = false
	sto.reloads.Add(1)
	sto.cfg.Log.Info("TLS files reloaded", zap.String("certificate", sto.cfg.Certificate))
	return mat
}

// noteFailure logs the first of a series of failures only.
func (sto *Store) noteFailure(err error) {
	sto.reloadsFailed.Add(1)
	if !sto.failed {
		sto.cfg.Log.Error("TLS files not reloaded, previous version stays in use", zap.Error(err))
	}
	sto.failed = true
}

// Refused returns the number of peers refused for want of a listed identity.
func (sto *Store) Refused() uint64 { return sto.refused.Load() }

// Reloads returns the number of times that changed files were taken into use.
func (sto *Store) Reloads() uint64 { return sto.reloads.Load() }

// ReloadsFailed returns the number of times that changed files could not be read.
func (sto *Store) ReloadsFailed() uint64 { return sto.reloadsFailed.Load() }

// ServerTLS returns the configuration of a listener that admits only peers with the given role.
func (sto *Store) ServerTLS(rol Role) *tls.Config {
	base := sto.serverTLS(rol)
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		return sto.serverTLS(rol), nil
	}
	return base
}

func (sto *Store) serverTLS(rol Role) *tls.Config {
	mat := sto.material()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{mat.certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    mat.authority,
		NextProtos:   []string{"h2"},
		// Every connection proves its identity by a full handshake, against the current authority.
		SessionTicketsDisabled: true,
		VerifyConnection: func(sta tls.ConnectionState) error {
			return sto.checkRole(sta, rol)
		},
	}
}

// ClientTLS returns the configuration of a client that talks only to servers with the given role.
func (sto *Store) ClientTLS(rol Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2"},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &sto.material().certificate, nil
		},
		// VMs are dialled by IP number, so there is no host name to verify. VerifyConnection replaces the check of the
		// standard library: it verifies the chain against the current authority and the identity against the list.
		InsecureSkipVerify: true,
		VerifyConnection: func(sta tls.ConnectionState) error {
			if err := sto.verifyServer(sta); err != nil {
				sto.refused.Add(1)
				return err
			}
			return sto.checkRole(sta, rol)
		},
	}
}

func (sto *Store) verifyServer(sta tls.ConnectionState) error {
	if len(sta.PeerCertificates) == 0 {
		return fperror.New(fperror.PermissionDenied, "server sent no certificate")
	}
	between := x509.NewCertPool()
	for _, crt := range sta.PeerCertificates[1:] {
		between.AddCert(crt)
	}
	_, err := sta.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         sto.material().authority,
		Intermediates: between,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return fperror.Wrap(fperror.PermissionDenied, err, "server certificate")
	}
	return nil
}

// checkRole expects a peer whose chain has been verified.
func (sto *Store) checkRole(sta tls.ConnectionState, rol Role) error {
	if _, ok := sto.identity(sta, rol); ok {
		return nil
	}
	names := identities(sta)
	sto.noteRefusal(rol, names)
	return fperror.New(fperror.PermissionDenied, "none of the identities %q may act as %s", names, rol)
}

func (sto *Store) noteRefusal(rol Role, names []string) {
	refused := sto.refused.Add(1)
	sto.mut.Lock()
	defer sto.mut.Unlock()
	if !sto.refusalLogged.IsZero() && time.Since(sto.refusalLogged) < refusalLogInterval {
		return
	}
	sto.refusalLogged = time.Now()
	sto.cfg.Log.Warn("peer refused",
		zap.String("role", string(rol)), zap.Strings("identities", names), zap.Uint64("refused", refused))
}

// identity returns the first listed identity of a peer.
func (sto *Store) identity(sta tls.ConnectionState, rol Role) (string, bool) {
	listed := sto.cfg.VMs
	if rol == RoleOperator {
		listed = sto.cfg.Operators
	}
	for _, name := range identities(sta) {
		if slices.Contains(listed, name) {
			return name, true
		}
	}
	return "", false
}

func identities(sta tls.ConnectionState) []string {
	if len(sta.PeerCertificates) == 0 {
		return nil
	}
	names := slices.Clone(sta.PeerCertificates[0].DNSNames)
	for _, uri := range sta.PeerCertificates[0].URIs {
		names = append(names, uri.String())
	}
	return names
}

type identityKey struct{}

// Identity returns the proven identity of the peer that sent a request, or false on a plain-text listener. The context is
// that of a request served by a server of NewServer.
func Identity(ctx context.Context) (string, bool) {
	name, ok := ctx.Value(identityKey{}).(string)
	return name, ok
}
