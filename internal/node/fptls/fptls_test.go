package fptls_test

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/node/fptls"
)

// authority signs certificates for a test.
type authority struct {
	crt *x509.Certificate
	key *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	tpl := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "test authority"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, tpl, tpl, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	crt, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &authority{
		crt: crt,
		key: key,
	}
}

// issue writes a certificate for an identity, its key and the authority's certificate into a folder, and returns a
// configuration that names these files.
func (aut *authority) issue(t *testing.T, folder, identity string) fptls.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	tpl := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	if uri, err := url.Parse(identity); err == nil && uri.Scheme != "" {
		tpl.URIs = []*url.URL{uri}
	} else {
		tpl.DNSNames = []string{identity}
	}
	der, err := x509.CreateCertificate(rand.Reader, tpl, aut.crt, key.Public(), aut.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	cfg := fptls.Config{
		Certificate: filepath.Join(folder, "certificate.pem"),
		Key:         filepath.Join(folder, "key.pem"),
		Authority:   filepath.Join(folder, "authority.pem"),
		VMs:         []string{"bergen-a-1.test"},
		Operators:   []string{"spiffe://test/operator"},
	}
	writePEM(t, cfg.Certificate, "CERTIFICATE", der)
	writePEM(t, cfg.Key, "PRIVATE KEY", keyDER)
	writePEM(t, cfg.Authority, "CERTIFICATE", aut.crt.Raw)
	return cfg
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	t.Helper()
	text := pem.EncodeToMemory(&pem.Block{
		Type:  kind,
		Bytes: der,
	})
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
}

func open(t *testing.T, cfg fptls.Config) *fptls.Store {
	t.Helper()
	sto, err := fptls.Open(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return sto
}

// serve starts a server on loopback and returns its address. The server answers with the identity of the peer and the
// protocol of the request.
func serve(t *testing.T, cfg fptls.ServerConfig) (address string) {
	t.Helper()
	cfg.Handler = http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			http.Error(wri, "too large", http.StatusRequestEntityTooLarge)
			return
		}
		name, _ := fptls.Identity(req.Context())
		_, _ = io.WriteString(wri, name+" "+req.Proto)
	})
	lis, err := fptls.Listen(t.Context(), cfg, netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	srv := fptls.NewServer(cfg)
	done := make(chan error, 1)
	go func() { done <- fptls.Serve(srv, lis) }()
	t.Cleanup(func() {
		_ = srv.Close()
		if err := <-done; err != nil {
			t.Errorf("server ended with %v", err)
		}
	})
	return lis.Addr().String()
}

// get sends a request over a new connection and returns the body of the response.
func get(cli *http.Client, target string) (string, error) {
	defer cli.CloseIdleConnections()
	res, err := cli.Get(target)
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return string(text), err
}

func newClient(sto *fptls.Store) *http.Client {
	return fptls.NewClient(fptls.ClientConfig{
		Store:       sto,
		DialTimeout: 5 * time.Second,
	})
}

// TestServerRequiresListedIdentity guards both listeners against peers without a certificate, with a certificate of another
// authority, with an identity that is not listed, or with an identity of the other role.
func TestServerRequiresListedIdentity(t *testing.T) {
	aut := newAuthority(t)
	vm := open(t, aut.issue(t, t.TempDir(), "bergen-a-1.test"))
	operator := open(t, aut.issue(t, t.TempDir(), "spiffe://test/operator"))
	unlisted := open(t, aut.issue(t, t.TempDir(), "unlisted.test"))
	otherAuthority := open(t, newAuthority(t).issue(t, t.TempDir(), "bergen-a-1.test"))

	anonymous := newClient(vm)
	tlsConfig := anonymous.Transport.(*http.Transport).TLSClientConfig
	tlsConfig.GetClientCertificate = nil

	check := func(name string, rol fptls.Role, cli *http.Client, want string) {
		t.Run(name, func(t *testing.T) {
			address := serve(t, fptls.ServerConfig{
				Store: vm,
				Role:  rol,
			})
			got, err := get(cli, "https://"+address)
			if want == "" && err == nil {
				t.Errorf("accepted with answer %q", got)
			}
			if want != "" && (err != nil || got != want) {
				t.Errorf("got %q, %v; want %q", got, err, want)
			}
		})
	}
	check("VM to peers", fptls.RoleVM, newClient(vm), "bergen-a-1.test HTTP/2.0")
	check("operator to operators", fptls.RoleOperator, newClient(operator), "spiffe://test/operator HTTP/2.0")
	check("VM to operators", fptls.RoleOperator, newClient(vm), "")
	check("operator to peers", fptls.RoleVM, newClient(operator), "")
	check("unlisted identity to peers", fptls.RoleVM, newClient(unlisted), "")
	check("no certificate", fptls.RoleVM, anonymous, "")
	check("other authority", fptls.RoleVM, newClient(otherAuthority), "")
	if vm.Refused() == 0 {
		t.Error("refused peers are not counted")
	}
}

// TestClientRequiresListedServerIdentity guards clients against a server whose certificate is valid but belongs to another
// role or is not listed, and against one that has a listed identity in a certificate of another authority.
func TestClientRequiresListedServerIdentity(t *testing.T) {
	aut := newAuthority(t)
	vm := open(t, aut.issue(t, t.TempDir(), "bergen-a-1.test"))
	expectRefusal := func(name string, cfg fptls.Config) {
		address := serve(t, fptls.ServerConfig{
			Store: open(t, cfg),
			Role:  fptls.RoleVM,
		})
		_, err := get(newClient(vm), "https://"+address)
		if !fperror.Is(err, fperror.PermissionDenied) {
			t.Errorf("%s: %v", name, err)
		}
	}
	expectRefusal("operator", aut.issue(t, t.TempDir(), "spiffe://test/operator"))
	expectRefusal("unlisted identity", aut.issue(t, t.TempDir(), "unlisted.test"))
	expectRefusal("other authority", newAuthority(t).issue(t, t.TempDir(), "bergen-a-1.test"))
}

// TestReloadTLSFiles guards against a process that needs a restart to use new certificates, and against one that stops
// serving while only some of the files have been replaced.
func TestReloadTLSFiles(t *testing.T) {
	folder := t.TempDir()
	old := newAuthority(t)
	sto := open(t, old.issue(t, folder, "bergen-a-1.test"))
	address := serve(t, fptls.ServerConfig{
		Store: sto,
		Role:  fptls.RoleVM,
	})
	oldPeer := open(t, old.issue(t, t.TempDir(), "bergen-a-1.test"))
	next := newAuthority(t)
	nextPeer := open(t, next.issue(t, t.TempDir(), "bergen-a-1.test"))

	truncated := []byte("-----BEGIN CERTIFICATE-----\n")
	complete, err := os.ReadFile(filepath.Join(folder, "certificate.pem"))
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(folder, "certificate.pem"), truncated, 0o600); err != nil {
		t.Fatal(err)
	}
	eventually(t, "a failed reload is counted", func() bool {
		if _, err := get(newClient(oldPeer), "https://"+address); err != nil {
			t.Fatalf("not served while a file is incomplete: %v", err)
		}
		return sto.ReloadsFailed() > 0
	})
	if err := os.WriteFile(filepath.Join(folder, "certificate.pem"), complete, 0o600); err != nil {
		t.Fatal(err)
	}
	next.issue(t, folder, "bergen-a-1.test")
	eventually(t, "a peer with a certificate of the new authority is accepted", func() bool {
		_, err := get(newClient(nextPeer), "https://"+address)
		return err == nil
	})
	if _, err := get(newClient(oldPeer), "https://"+address); err == nil {
		t.Error("a peer with a certificate of the replaced authority is accepted")
	}
}

// eventually fails the test unless check returns true within 10 seconds.
func eventually(t *testing.T, condition string, check func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if check() {
			return
		}
	}
	t.Fatalf("not within 10 s: %s", condition)
}

// TestPlainTextOnLoopbackOnly guards against plain text on addresses that other machines can reach.
func TestPlainTextOnLoopbackOnly(t *testing.T) {
	address := serve(t, fptls.ServerConfig{})
	if got, err := get(newClient(nil), "http://"+address); err != nil || got != " HTTP/2.0" {
		t.Errorf("got %q, %v", got, err)
	}
	_, err := fptls.Listen(t.Context(), fptls.ServerConfig{}, netip.MustParseAddrPort("0.0.0.0:0"))
	if !fperror.Is(err, fperror.InvalidSettings) {
		t.Errorf("plain text on all interfaces: %v", err)
	}
	if _, err := get(newClient(nil), "http://192.0.2.1:7000"); err == nil || !strings.Contains(err.Error(), "loopback") {
		t.Errorf("plain text to another machine: %v", err)
	}
}

// TestLimits checks the limits of the body size and of the number of connections.
func TestLimits(t *testing.T) {
	address := serve(t, fptls.ServerConfig{
		MaxBodyBytes:   8,
		MaxConnections: 1,
	})
	cli := newClient(nil)
	res, err := cli.Post("http://"+address, "text/plain", bytes.NewReader(make([]byte, 9)))
	if err != nil {
		t.Fatal(err)
	}
	_ = res.Body.Close()
	if res.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("status %d for a body above the limit", res.StatusCode)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address, nil)
	if err != nil {
		t.Fatal(err)
	}
	if res, err := newClient(nil).Do(req); err == nil {
		_ = res.Body.Close()
		t.Error("a second connection is served beyond the limit")
	}
	cli.CloseIdleConnections()
}

// TestClientDetectsSilentServer guards against a client that keeps using a connection on which the server no longer
// answers.
func TestClientDetectsSilentServer(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	cli := fptls.NewClient(fptls.ClientConfig{
		DialTimeout: time.Second,
		ReadIdle:    100 * time.Millisecond,
		PingTimeout: 100 * time.Millisecond,
	})
	start := time.Now()
	if _, err := get(cli, "http://"+lis.Addr().String()); err == nil {
		t.Error("a listener that never answers gave an answer")
	}
	if took := time.Since(start); took > 2*time.Second {
		t.Errorf("the silent connection was detected after %v", took)
	}
}
