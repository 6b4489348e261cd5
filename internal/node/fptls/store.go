// Package fptls authenticates VMs and operators by mutual TLS and builds the HTTP servers and clients of the listeners for
// peers and operators. It reloads certificates when their files change.
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

// Role is the role in which a peer is authenticated.
type Role string

// The roles of a peer. An identity has at most one role, so an operator's certificate is not accepted in the protocol
// between VMs.
const (
	RoleVM       Role = "vm"
	RoleOperator Role = "operator"
)

// reloadInterval is the minimum time between two checks of the files for changes. A new certificate is therefore used after
// this time at the latest, when the next connection is opened.
const reloadInterval = time.Second

// refusalLogInterval is the minimum time between two log lines about refused peers, which limits the log lines that clients
// without a listed identity can cause. The counter Refused includes all of them.
const refusalLogInterval = 10 * time.Second

// Config names the TLS files of this process and the identities of its peers. An identity is a DNS name or a URI in a
// certificate.
type Config struct {
	// Certificate, Key and Authority are the paths of PEM files. Authority holds the certificates of the authorities that
	// sign the certificates of peers.
	Certificate string
	Key         string
	Authority   string
	// VMs and Operators are the identities that may act as a VM and as an operator.
	VMs       []string
	Operators []string
	// Log receives reloads of the files and refused peers; nil disables logging.
	Log *zap.Logger
}

// Store holds the certificates read from the files of a Config and reads them again when a file has changed. Use Open to
// create one. Its methods may be called from any goroutine.
type Store struct {
	cfg     Config
	mut     sync.Mutex // guards the fields down to lastRefusalLog
	current *credentials
	// lastCheck is when the files were last checked for changes.
	lastCheck time.Time
	// reloadFailing reports whether the last reload failed.
	reloadFailing bool
	// lastRefusalLog is when a refused peer was last logged; zero if never.
	lastRefusalLog time.Time

	refused       atomic.Uint64
	reloads       atomic.Uint64
	reloadsFailed atomic.Uint64
}

// credentials are the contents of the TLS files, with the file attributes at the time when they were read.
type credentials struct {
	certificate tls.Certificate
	authority   *x509.CertPool
	stamps      [3]fileStamp
}

// fileStamp identifies a version of a file.
type fileStamp struct {
	modified time.Time
	size     int64
}

// Open returns a Store with the credentials read from the files. The error is of kind InvalidSettings.
func Open(cfg Config) (*Store, error) {
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	crd, err := load(cfg)
	if err != nil {
		return nil, err
	}
	return &Store{
		cfg:       cfg,
		current:   crd,
		lastCheck: time.Now(),
	}, nil
}

// load reads the files. It reads their attributes first, so that a change in between is detected by the next check.
func load(cfg Config) (*credentials, error) {
	stamps, err := readStamps(cfg)
	if err != nil {
		return nil, fperror.Wrap(fperror.InvalidSettings, err, "read TLS files")
	}
	certificate, err := tls.LoadX509KeyPair(cfg.Certificate, cfg.Key)
	if err != nil {
		return nil, fperror.Wrap(fperror.InvalidSettings, err, "read TLS certificate and key")
	}
	authorityPEM, err := os.ReadFile(cfg.Authority)
	if err != nil {
		return nil, fperror.Wrap(fperror.InvalidSettings, err, "read TLS authority")
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(authorityPEM) {
		return nil, fperror.New(fperror.InvalidSettings, "read TLS authority: no certificate in %s", cfg.Authority)
	}
	return &credentials{
		certificate: certificate,
		authority:   authority,
		stamps:      stamps,
	}, nil
}

func readStamps(cfg Config) (stamps [3]fileStamp, err error) {
	for at, path := range []string{cfg.Certificate, cfg.Key, cfg.Authority} {
		info, err := os.Stat(path)
		if err != nil {
			return stamps, err
		}
		stamps[at] = fileStamp{
			modified: info.ModTime(),
			size:     info.Size(),
		}
	}
	return stamps, nil
}

// credentials returns the latest version of the files that could be loaded, after reloading changed files. If a reload
// fails, for example because the certificate has been replaced but not yet the key, the previous version stays in use.
func (sto *Store) credentials() *credentials {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	if time.Since(sto.lastCheck) < reloadInterval {
		return sto.current
	}
	sto.lastCheck = time.Now()
	stamps, err := readStamps(sto.cfg)
	if err == nil && stamps == sto.current.stamps {
		return sto.current
	}
	crd, err := load(sto.cfg)
	if err != nil {
		sto.recordReloadFailure(err)
		return sto.current
	}
	sto.current = crd
	sto.reloadFailing = false
	sto.reloads.Add(1)
	sto.cfg.Log.Info("TLS files reloaded", zap.String("certificate", sto.cfg.Certificate))
	return crd
}

// recordReloadFailure counts a failed reload. Of consecutive failures it logs only the first.
func (sto *Store) recordReloadFailure(err error) {
	sto.reloadsFailed.Add(1)
	if !sto.reloadFailing {
		sto.cfg.Log.Error("failed to reload the TLS files; the previous version stays in use", zap.Error(err))
	}
	sto.reloadFailing = true
}

// Refused returns the number of refused peers: those without an identity listed for the role, and servers whose certificate
// could not be verified.
func (sto *Store) Refused() uint64 { return sto.refused.Load() }

// Reloads returns the number of successful reloads of changed files.
func (sto *Store) Reloads() uint64 { return sto.reloads.Load() }

// ReloadsFailed returns the number of failed reloads of changed files.
func (sto *Store) ReloadsFailed() uint64 { return sto.reloadsFailed.Load() }

// ServerTLS returns the TLS configuration of a listener that accepts only peers with the given role. Each connection uses
// the current version of the files.
func (sto *Store) ServerTLS(rol Role) *tls.Config {
	base := sto.serverTLS(rol)
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		return sto.serverTLS(rol), nil
	}
	return base
}

func (sto *Store) serverTLS(rol Role) *tls.Config {
	crd := sto.credentials()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{crd.certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    crd.authority,
		NextProtos:   []string{"h2"},
		// Without session tickets, every connection does a full handshake and is verified against the current authority.
		SessionTicketsDisabled: true,
		VerifyConnection: func(sta tls.ConnectionState) error {
			return sto.checkRole(sta, rol)
		},
	}
}

// ClientTLS returns the TLS configuration of a client that accepts only servers with the given role. Each connection uses
// the current version of the files.
func (sto *Store) ClientTLS(rol Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2"},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &sto.credentials().certificate, nil
		},
		// VMs are dialled by IP number, so there is no host name to verify. VerifyConnection replaces the check of the
		// standard library. It verifies the chain against the current authority and looks the identity up in the list.
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

// verifyServer verifies the certificate chain of a server against the current authority.
func (sto *Store) verifyServer(sta tls.ConnectionState) error {
	if len(sta.PeerCertificates) == 0 {
		return fperror.New(fperror.PermissionDenied, "the server sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, crt := range sta.PeerCertificates[1:] {
		intermediates.AddCert(crt)
	}
	_, err := sta.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         sto.credentials().authority,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return fperror.Wrap(fperror.PermissionDenied, err, "verify the server certificate")
	}
	return nil
}

// checkRole returns an error unless an identity of the peer is listed for the role. The certificate chain must have been
// verified.
func (sto *Store) checkRole(sta tls.ConnectionState, rol Role) error {
	if _, ok := sto.identity(sta, rol); ok {
		return nil
	}
	names := identities(sta)
	sto.recordRefusal(rol, names)
	return fperror.New(fperror.PermissionDenied, "none of the identities %q may act as %s", names, rol)
}

// recordRefusal counts a refused peer and logs it, at most once in refusalLogInterval.
func (sto *Store) recordRefusal(rol Role, names []string) {
	refused := sto.refused.Add(1)
	sto.mut.Lock()
	defer sto.mut.Unlock()
	if !sto.lastRefusalLog.IsZero() && time.Since(sto.lastRefusalLog) < refusalLogInterval {
		return
	}
	sto.lastRefusalLog = time.Now()
	sto.cfg.Log.Warn("peer refused",
		zap.String("role", string(rol)), zap.Strings("identities", names), zap.Uint64("refused", refused))
}

// identity returns the first identity of a peer that is listed for the role, and whether there is one.
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

// identities returns the DNS names and URIs in the certificate of a peer.
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

// Identity returns the authenticated identity of the peer that sent a request, or false on a plain-text listener. The
// context must be that of a request to a server that NewServer returned.
func Identity(ctx context.Context) (string, bool) {
	name, ok := ctx.Value(identityKey{}).(string)
	return name, ok
}
