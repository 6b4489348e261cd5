package fpsystem_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"connectrpc.com/connect"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator/fpoperatorconnect"
	"github.com/foxtailpulley/foxtailpulley/internal/node/fptls"
)

// authority is a certificate authority with a folder for its certificates and keys.
type authority struct {
	t      *testing.T
	folder string
	crt    *x509.Certificate
	key    *ecdsa.PrivateKey
}

// newAuthority returns an authority with a self-signed certificate for the given common name.
func newAuthority(t *testing.T, name string) *authority {
	t.Helper()
	aut := &authority{
		t:      t,
		folder: t.TempDir(),
	}
	aut.crt = &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	aut.key = aut.sign("authority", aut.crt, nil)
	return aut
}

// sign makes a key, signs a certificate for it by a template, and writes both as NAME.crt and NAME.key. The certificate is
// signed with signer, or with its own key if signer is nil. It returns the new key.
func (aut *authority) sign(name string, tpl *x509.Certificate, signer *ecdsa.PrivateKey) *ecdsa.PrivateKey {
	aut.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		aut.t.Fatal(err)
	}
	if signer == nil {
		signer = key
	}
	der, err := x509.CreateCertificate(rand.Reader, tpl, aut.crt, key.Public(), signer)
	if err != nil {
		aut.t.Fatal(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		aut.t.Fatal(err)
	}
	aut.write(name+".crt", "CERTIFICATE", der)
	aut.write(name+".key", "PRIVATE KEY", private)
	return key
}

// write writes a PEM file with one block.
func (aut *authority) write(name, kind string, der []byte) {
	aut.t.Helper()
	block := pem.EncodeToMemory(&pem.Block{
		Type:  kind,
		Bytes: der,
	})
	if err := os.WriteFile(aut.path(name), block, 0o600); err != nil {
		aut.t.Fatal(err)
	}
}

// path returns the path of a file in the folder of the authority.
func (aut *authority) path(name string) string { return filepath.Join(aut.folder, name) }

// issue writes a certificate for an identity, its DNS name, and the key. Clients and servers can use it.
func (aut *authority) issue(identity string) {
	aut.t.Helper()
	aut.sign(identity, &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
		DNSNames:     []string{identity},
	}, aut.key)
}

// client returns an HTTP client that uses the certificate of an identity and accepts servers with the identities in vms.
func (aut *authority) client(identity string, vms []string) *http.Client {
	aut.t.Helper()
	sto, err := fptls.Open(fptls.Config{
		Certificate: aut.path(identity + ".crt"),
		Key:         aut.path(identity + ".key"),
		Authority:   aut.path("authority.crt"),
		VMs:         vms,
	})
	if err != nil {
		aut.t.Fatal(err)
	}
	return fptls.NewClient(fptls.ClientConfig{
		Store:       sto,
		DialTimeout: time.Second,
	})
}

// TestMutualTLS guards against a system that does not work with mutual TLS, and against an operators' listener that admits a
// VM, a client whose certificate is from another authority, or a client without a certificate.
func TestMutualTLS(t *testing.T) {
	t.Parallel()
	aut := newAuthority(t, "trusted")
	vms := []string{"a1", "a2", "b1"}
	for _, identity := range append([]string{"alice"}, vms...) {
		aut.issue(identity)
	}
	lay := oneRegion()
	lay.operatorHTTP = aut.client("alice", vms)
	lay.tls = func(vm string) map[string]any {
		return map[string]any{
			"certificate":        aut.path(vm + ".crt"),
			"key":                aut.path(vm + ".key"),
			"authority":          aut.path("authority.crt"),
			"vmIdentities":       vms,
			"operatorIdentities": []string{"alice"},
		}
	}
	sys := newSystem(t, lay)
	sys.addKeyedUpstreams(2)
	for _, vm := range vms {
		sys.awaitServed(request{
			vm:   vm,
			path: planSet,
			key:  "harbour",
			id:   newRequestID(t),
		})
	}
	untrusted := newAuthority(t, "untrusted")
	untrusted.issue("alice")
	for name, client := range map[string]*http.Client{
		"a VM": aut.client("b1", vms),
		"a client with the same name from another authority": untrusted.client("alice", vms),
		"a client without a certificate":                     http.DefaultClient,
	} {
		cli := fpoperatorconnect.NewOperatorServiceClient(client, "https://"+sys.machines["a1"].operatorAddress)
		if _, err := cli.Status(t.Context(), connect.NewRequest(&fpoperator.StatusRequest{})); err == nil {
			t.Errorf("the operators' listener admitted %s", name)
		}
	}
	sys.checkExclusiveOwnership()
}
