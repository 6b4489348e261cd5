package fpctl_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"flag"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator/fpoperatorconnect"
	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/node/fpctl"
)

var update = flag.Bool("update", false, "write the golden files")

// fake is an OperatorService that records requests and gives fixed answers.
type fake struct {
	fpoperatorconnect.UnimplementedOperatorServiceHandler
	mut      sync.Mutex
	requests []string
	// fail is returned for every request if set.
	fail error
	// unconfirmed is part of the answer to ApplyConfiguration.
	unconfirmed []string
}

func (fak *fake) note(msg proto.Message) error {
	fak.mut.Lock()
	defer fak.mut.Unlock()
	data, err := protojson.Marshal(msg)
	if err != nil {
		return err
	}
	name := string(msg.ProtoReflect().Descriptor().Name())
	fak.requests = append(fak.requests, name+" "+strings.ReplaceAll(string(data), " ", ""))
	return fak.fail
}

func ver(index uint64) *fpoperator.Version {
	return &fpoperator.Version{
		Term:  3,
		Index: index,
	}
}

func (fak *fake) ApplyConfiguration(_ context.Context, req *connect.Request[fpoperator.ApplyConfigurationRequest]) (*connect.Response[fpoperator.ApplyConfigurationResponse], error) {
	return connect.NewResponse(&fpoperator.ApplyConfigurationResponse{
		Accepted:    ver(42),
		InForce:     len(fak.unconfirmed) == 0,
		Unconfirmed: fak.unconfirmed,
	}), fak.note(req.Msg)
}

func (fak *fake) GetConfiguration(_ context.Context, req *connect.Request[fpoperator.GetConfigurationRequest]) (*connect.Response[fpoperator.GetConfigurationResponse], error) {
	return connect.NewResponse(&fpoperator.GetConfigurationResponse{
		Version: ver(41),
		Configuration: &fpoperator.Configuration{
			Schema: "syntax = \"proto3\";\n",
			Services: []*fpoperator.Service{{
				Name: "local.v1.CounterService",
				Homes: []*fpoperator.Home{{
					Group:    "local",
					LastSlot: 4095,
				}},
			}},
			DrainedVms: []string{"two"},
		},
	}), fak.note(req.Msg)
}

func (fak *fake) Drain(_ context.Context, req *connect.Request[fpoperator.DrainRequest]) (*connect.Response[fpoperator.DrainResponse], error) {
	return connect.NewResponse(&fpoperator.DrainResponse{
		Accepted: ver(43),
	}), fak.note(req.Msg)
}

func (fak *fake) MoveSlots(_ context.Context, req *connect.Request[fpoperator.MoveSlotsRequest]) (*connect.Response[fpoperator.MoveSlotsResponse], error) {
	return connect.NewResponse(&fpoperator.MoveSlotsResponse{
		Moving: 2,
	}), fak.note(req.Msg)
}

func (fak *fake) ChangeVoter(_ context.Context, req *connect.Request[fpoperator.ChangeVoterRequest]) (*connect.Response[fpoperator.ChangeVoterResponse], error) {
	return connect.NewResponse(&fpoperator.ChangeVoterResponse{
		Committed: ver(44),
	}), fak.note(req.Msg)
}

func (fak *fake) ReleaseQuarantine(_ context.Context, req *connect.Request[fpoperator.ReleaseQuarantineRequest]) (*connect.Response[fpoperator.ReleaseQuarantineResponse], error) {
	return connect.NewResponse(&fpoperator.ReleaseQuarantineResponse{}), fak.note(req.Msg)
}

func (fak *fake) Dump(_ context.Context, req *connect.Request[fpoperator.DumpRequest]) (*connect.Response[fpoperator.DumpResponse], error) {
	return connect.NewResponse(&fpoperator.DumpResponse{
		State: `{"vm":"one","groups":[]}`,
	}), fak.note(req.Msg)
}

func (fak *fake) Status(_ context.Context, req *connect.Request[fpoperator.StatusRequest]) (*connect.Response[fpoperator.StatusResponse], error) {
	return connect.NewResponse(status()), fak.note(req.Msg)
}

func (fak *fake) Watch(_ context.Context, req *connect.Request[fpoperator.WatchRequest], str *connect.ServerStream[fpoperator.WatchResponse]) error {
	if err := fak.note(req.Msg); err != nil {
		return err
	}
	return str.Send(&fpoperator.WatchResponse{
		Status: status(),
	})
}

func status() *fpoperator.StatusResponse {
	return &fpoperator.StatusResponse{
		Vm:            "one",
		Configuration: ver(41),
		Groups: []*fpoperator.GroupStatus{{
			Name:     "root",
			Leader:   "one",
			Term:     3,
			Commit:   41,
			Applied:  41,
			Voters:   []string{"one", "two"},
			Table:    ver(40),
			ValidFor: durationpb.New(812345 * time.Microsecond),
		}, {
			Name: "local",
		}},
		Upstreams: []*fpoperator.UpstreamStatus{{
			Name:       "counter-1",
			Service:    "local.v1.CounterService",
			DataCentre: "east",
			Slots:      64,
			Lease:      durationpb.New(time.Second),
			Draining:   true,
		}},
		Vms: []*fpoperator.VmStatus{{
			Name:          "two",
			Configuration: ver(41),
			LastSeen:      durationpb.New(90 * time.Millisecond),
		}},
		Refusals: map[string]uint64{
			"overloaded": 7,
			"noOwner":    2,
		},
		Quarantined: []string{"9f86d081"},
	}
}

// start serves the fake on loopback with HTTP/2 and without TLS.
func (fak *fake) start(t *testing.T) (address string) {
	t.Helper()
	_, handler := fpoperatorconnect.NewOperatorServiceHandler(fak)
	srv := httptest.NewUnstartedServer(handler)
	srv.Config.Protocols = &http.Protocols{}
	srv.Config.Protocols.SetUnencryptedHTTP2(true)
	srv.Start()
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

func refusal(kin fperror.Kind, text string) error {
	err := connect.NewError(kin.Answer().Code(), fperror.New(kin, "%s", text))
	err.Meta().Set("Foxtailpulley-Error", kin.String())
	return err
}

// run returns the exit code and the outputs, with the addresses replaced by their position.
func run(t *testing.T, addresses []string, args ...string) (code int, output string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	pro := &fpctl.Program{
		Stdout: &stdout,
		Stderr: &stderr,
		NewID:  func() string { return "0198c0de-0000-7000-8000-000000000001" },
	}
	args = append(args, "--plain-text", "--address", strings.Join(addresses, ","))
	code = pro.Main(t.Context(), args)
	output = fmt.Sprintf("exit code %d\n-- stdout\n%s-- stderr\n%s", code, &stdout, &stderr)
	for at, address := range addresses {
		output = strings.ReplaceAll(output, address, fmt.Sprintf("ADDRESS-%d", at))
	}
	return code, output
}

// closed returns an address on which nothing listens.
func closed(t *testing.T) string {
	t.Helper()
	srv := httptest.NewServer(nil)
	defer srv.Close()
	return srv.Listener.Addr().String()
}

// TestOutput guards requests, tables, JSON and exit codes of all commands.
func TestOutput(t *testing.T) {
	const configuration = "testdata/configuration.json"
	prints := func(name string, fak *fake, args ...string) {
		t.Run(name, func(t *testing.T) {
			_, got := run(t, []string{fak.start(t)}, args...)
			got += "-- requests\n" + strings.Join(fak.requests, "\n") + "\n"
			path := filepath.Join("testdata", name+".golden")
			if *update {
				if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if got != string(want) {
				t.Errorf("got\n%s\nwant\n%s", got, want)
			}
		})
	}
	prints("apply", &fake{}, "apply", configuration, "--expected", "3/41")
	prints("apply-first", &fake{}, "apply", configuration, "--expected", "none", "--request-id", "mine", "--wait", "1s")
	prints("apply-unconfirmed", &fake{
		unconfirmed: []string{"one", "two"},
	}, "apply", configuration, "--expected", "3/41", "--json")
	prints("apply-conflict", &fake{
		fail: refusal(fperror.VersionConflict, "version 3/42 by operator.test is in force"),
	}, "apply", configuration, "--expected", "3/41")
	prints("apply-conflict-json", &fake{
		fail: refusal(fperror.VersionConflict, "version 3/42 by operator.test is in force"),
	}, "apply", configuration, "--expected", "3/41", "--json")
	prints("apply-unknown", &fake{
		fail: refusal(fperror.CommitUnknown, "leadership was lost"),
	}, "apply", configuration, "--expected", "3/41")
	prints("apply-version", &fake{}, "apply", configuration, "--expected", "latest")
	prints("get", &fake{}, "get")
	prints("get-configuration", &fake{}, "get", "--configuration")
	prints("drain-vm", &fake{}, "drain", "vm", "two")
	prints("undrain-upstream", &fake{}, "undrain", "upstream", "counter-1", "--json")
	prints("move", &fake{}, "move", "local.v1.CounterService", "--slots", "1,5-6", "--to", "counter-2")
	prints("move-slots", &fake{}, "move", "local.v1.CounterService", "--slots", "6-5", "--to", "counter-2")
	prints("voter-add", &fake{}, "voter", "add", "root", "two")
	prints("voter-repair", &fake{}, "voter", "repair", "root", "two")
	prints("voter-remove", &fake{}, "voter", "remove", "root", "two")
	prints("release", &fake{}, "release", "local", "9f86d081")
	prints("status", &fake{}, "status")
	prints("status-json", &fake{}, "status", "--json")
	prints("status-denied", &fake{
		fail: refusal(fperror.PermissionDenied, "no operator"),
	}, "status")
	prints("dump", &fake{}, "dump", "one")
	prints("watch", &fake{}, "watch", "--count", "1")
}

// TestAddressesInTurn guards the choice of the next address: an address that cannot be reached is passed over, but a
// change without a request id is never sent twice after it may have run.
func TestAddressesInTurn(t *testing.T) {
	configuration := "testdata/configuration.json"
	ends := func(name string, first error, code int, sent int, args ...string) {
		t.Run(name, func(t *testing.T) {
			one, two := &fake{}, &fake{}
			one.fail = first
			got, output := run(t, []string{closed(t), one.start(t), two.start(t)}, args...)
			if got != code || len(two.requests) != sent {
				t.Errorf("%d requests to the last address\n%s", len(two.requests), output)
			}
		})
	}
	noQuorum := refusal(fperror.NoQuorum, "no majority")
	lost := connect.NewError(connect.CodeUnavailable, fmt.Errorf("connection lost"))
	invalid := refusal(fperror.InvalidConfiguration, "slot 3 has no home")

	ends("refused by the minority", noQuorum, fpctl.ExitOK, 1, "voter", "add", "root", "two")
	ends("lost change", lost, fpctl.ExitUnknown, 0, "voter", "add", "root", "two")
	ends("lost change with a request id", lost, fpctl.ExitOK, 1, "drain", "vm", "two")
	ends("lost question", lost, fpctl.ExitOK, 1, "status")
	ends("lost stream", lost, fpctl.ExitOK, 1, "watch", "--count", "1")
	ends("certificate of no operator", refusal(fperror.PermissionDenied, "no operator"), fpctl.ExitDenied, 0, "drain", "vm", "two")
	ends("refused for good", invalid, fpctl.ExitInvalid, 0, "apply", configuration, "--expected", "none")
}

// TestBrokenConnections guards against a client that stops at an address whose connections break.
func TestBrokenConnections(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			con, err := lis.Accept()
			if err != nil {
				return
			}
			_ = con.Close()
		}
	}()
	defer func() {
		_ = lis.Close()
		<-done
	}()
	for _, args := range [][]string{{"status"}, {"drain", "vm", "two"}} {
		fak := &fake{}
		if code, output := run(t, []string{lis.Addr().String(), fak.start(t)}, args...); code != fpctl.ExitOK {
			t.Errorf("%v: %s", args, output)
		}
	}
}

// TestUnknownOutcomeIsKept guards against a report of "unavailable" when an earlier address may have accepted the change.
func TestUnknownOutcomeIsKept(t *testing.T) {
	fak := &fake{
		fail: refusal(fperror.CommitUnknown, "leadership was lost"),
	}
	code, output := run(t, []string{fak.start(t), closed(t)}, "drain", "vm", "two")
	if code != fpctl.ExitUnknown || !strings.Contains(output, "--request-id 0198c0de-0000-7000-8000-000000000001") {
		t.Error(output)
	}
}

// TestNoAddressAnswers guards the exit code that tells a script that nothing was changed.
func TestNoAddressAnswers(t *testing.T) {
	for _, args := range [][]string{{"status"}, {"voter", "add", "root", "two"}, {"drain", "vm", "two"}, {"watch"}} {
		if code, output := run(t, []string{closed(t), closed(t)}, args...); code != fpctl.ExitUnavailable {
			t.Errorf("%v: %s", args, output)
		}
	}
}

// TestUsage guards against a client that silently speaks plain text, and against requests without an address.
func TestUsage(t *testing.T) {
	for _, args := range [][]string{
		{"status", "--address", "127.0.0.1:9"},
		{"status", "--plain-text"},
		{"status", "--plain-text", "--address", "127.0.0.1:9", "--key", "key.pem"},
		{"stat", "--plain-text", "--address", "127.0.0.1:9"},
	} {
		var stdout, stderr bytes.Buffer
		pro := &fpctl.Program{
			Stdout: &stdout,
			Stderr: &stderr,
		}
		if code := pro.Main(t.Context(), slices.Clone(args)); code != fpctl.ExitUsage {
			t.Errorf("%v: exit code %d, %s", args, code, &stderr)
		}
	}
}

// TestTLS guards against a client that talks to a server without the identity of a VM, and against a refused certificate
// that is reported as a lost request.
func TestTLS(t *testing.T) {
	ends := func(name string, auth tls.ClientAuthType, identity string, code int) {
		t.Run(name, func(t *testing.T) {
			_, handler := fpoperatorconnect.NewOperatorServiceHandler(&fake{})
			srv := httptest.NewUnstartedServer(handler)
			srv.EnableHTTP2 = true
			srv.TLS = &tls.Config{
				ClientAuth: auth,
			}
			srv.Config.ErrorLog = log.New(io.Discard, "", 0)
			srv.StartTLS()
			t.Cleanup(srv.Close)
			// The certificate of httptest names example.com and is valid for servers only.
			certificate, key := writeKeyPair(t, srv.TLS.Certificates[0])
			var stdout, stderr bytes.Buffer
			pro := &fpctl.Program{
				Stdout: &stdout,
				Stderr: &stderr,
			}
			got := pro.Main(t.Context(), []string{
				"voter", "add", "root", "two", "--address", srv.Listener.Addr().String(),
				"--certificate", certificate, "--key", key, "--authority", certificate, "--vm-identity", identity,
			})
			if got != code {
				t.Errorf("exit code %d, want %d: %s", got, code, &stderr)
			}
		})
	}
	ends("listed server", tls.NoClientCert, "example.com", fpctl.ExitOK)
	ends("server not listed", tls.NoClientCert, "one.test", fpctl.ExitDenied)
	ends("client refused", tls.RequireAndVerifyClientCert, "example.com", fpctl.ExitDenied)
}

func writeKeyPair(t *testing.T, pair tls.Certificate) (certificate, key string) {
	t.Helper()
	der, err := x509.MarshalPKCS8PrivateKey(pair.PrivateKey)
	if err != nil {
		t.Fatal(err)
	}
	write := func(name, kind string, der []byte) string {
		path := filepath.Join(t.TempDir(), name)
		text := pem.EncodeToMemory(&pem.Block{
			Type:  kind,
			Bytes: der,
		})
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	return write("certificate.pem", "CERTIFICATE", pair.Certificate[0]), write("key.pem", "PRIVATE KEY", der)
}
