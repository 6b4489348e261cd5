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

// authority signs the certificates of one test.
type authority struct {
	t      *testing.T
	folder string
	crt    *x509.Certificate
	key    *ecdsa.PrivateKey
}

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

// sign writes a certificate and its key; without a signer the certificate signs itself.
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

func (aut *authority) path(name string) string { return filepath.Join(aut.folder, name) }

// issue writes the certificate of an identity.
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

// client returns a client that proves an identity to VMs.
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

// TestMutualTLS guards against a system that does not run with mutual TLS between its processes, and against operators'
// listeners that admit a VM or a stranger.
func TestMutualTLS(t *testing.T) {
	t.Parallel()
	aut := newAuthority(t, "ours")
	vms := []string{"a1", "a2", "b1"}
	for _, identity := range append([]string{"alice"}, vms...) {
		aut.issue(identity)
	}
	lay := oneRegion()
	lay.operator = aut.client("alice", vms)
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
	sys.addPlans(2)
	for _, vm := range vms {
		sys.awaitServed(request{
			vm:   vm,
			path: planSet,
			key:  "harbour",
			id:   newID(t),
		})
	}
	strangers := newAuthority(t, "theirs")
	strangers.issue("alice")
	for name, client := range map[string]*http.Client{
		"a VM":                        aut.client("b1", vms),
		"a stranger of the same name": strangers.client("alice", vms),
		"plain text":                  http.DefaultClient,
	} {
		ops := fpoperatorconnect.NewOperatorServiceClient(client, "https://"+sys.machines["a1"].operator)
		if _, err := ops.Status(t.Context(), connect.NewRequest(&fpoperator.StatusRequest{})); err == nil {
			t.Errorf("the operators' listener admitted %s", name)
		}
	}
	sys.checkOwners()
}
