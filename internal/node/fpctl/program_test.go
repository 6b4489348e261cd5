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

// fakeService is an OperatorService that records requests and returns fixed responses.
type fakeService struct {
	fpoperatorconnect.UnimplementedOperatorServiceHandler
	mut      sync.Mutex
	requests []string
	// fail is the error of every request; nil means that requests succeed.
	fail error
	// unconfirmed is the field of this name in the response to ApplyConfiguration.
	unconfirmed []string
}

// record appends a request to requests and returns the error of the service.
func (fak *fakeService) record(msg proto.Message) error {
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

// ver returns a version in term 3.
func ver(index uint64) *fpoperator.Version {
	return &fpoperator.Version{
		Term:  3,
		Index: index,
	}
}

func (fak *fakeService) ApplyConfiguration(_ context.Context, req *connect.Request[fpoperator.ApplyConfigurationRequest]) (*connect.Response[fpoperator.ApplyConfigurationResponse], error) {
	return connect.NewResponse(&fpoperator.ApplyConfigurationResponse{
		Accepted:    ver(42),
		InForce:     len(fak.unconfirmed) == 0,
		Unconfirmed: fak.unconfirmed,
	}), fak.record(req.Msg)
}

func (fak *fakeService) GetConfiguration(_ context.Context, req *connect.Request[fpoperator.GetConfigurationRequest]) (*connect.Response[fpoperator.GetConfigurationResponse], error) {
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
	}), fak.record(req.Msg)
}

func (fak *fakeService) Drain(_ context.Context, req *connect.Request[fpoperator.DrainRequest]) (*connect.Response[fpoperator.DrainResponse], error) {
	return connect.NewResponse(&fpoperator.DrainResponse{
		Accepted: ver(43),
	}), fak.record(req.Msg)
}

func (fak *fakeService) MoveSlots(_ context.Context, req *connect.Request[fpoperator.MoveSlotsRequest]) (*connect.Response[fpoperator.MoveSlotsResponse], error) {
	return connect.NewResponse(&fpoperator.MoveSlotsResponse{
		Moving: 2,
	}), fak.record(req.Msg)
}

func (fak *fakeService) ChangeVoter(_ context.Context, req *connect.Request[fpoperator.ChangeVoterRequest]) (*connect.Response[fpoperator.ChangeVoterResponse], error) {
	return connect.NewResponse(&fpoperator.ChangeVoterResponse{
		Committed: ver(44),
	}), fak.record(req.Msg)
}

func (fak *fakeService) ReleaseQuarantine(_ context.Context, req *connect.Request[fpoperator.ReleaseQuarantineRequest]) (*connect.Response[fpoperator.ReleaseQuarantineResponse], error) {
	return connect.NewResponse(&fpoperator.ReleaseQuarantineResponse{}), fak.record(req.Msg)
}

func (fak *fakeService) Dump(_ context.Context, req *connect.Request[fpoperator.DumpRequest]) (*connect.Response[fpoperator.DumpResponse], error) {
	return connect.NewResponse(&fpoperator.DumpResponse{
		State: `{"vm":"one","groups":[]}`,
	}), fak.record(req.Msg)
}

func (fak *fakeService) Status(_ context.Context, req *connect.Request[fpoperator.StatusRequest]) (*connect.Response[fpoperator.StatusResponse], error) {
	return connect.NewResponse(status()), fak.record(req.Msg)
}

func (fak *fakeService) Watch(_ context.Context, req *connect.Request[fpoperator.WatchRequest], str *connect.ServerStream[fpoperator.WatchResponse]) error {
	if err := fak.record(req.Msg); err != nil {
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

// start serves the fake on loopback with HTTP/2 without TLS, and returns its address.
func (fak *fakeService) start(t *testing.T) (address string) {
	t.Helper()
	_, handler := fpoperatorconnect.NewOperatorServiceHandler(fak)
	srv := httptest.NewUnstartedServer(handler)
	srv.Config.Protocols = &http.Protocols{}
	srv.Config.Protocols.SetUnencryptedHTTP2(true)
	srv.Start()
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

// refusal returns the error by which a VM refuses a request with an error kind.
func refusal(kin fperror.Kind, text string) error {
	err := connect.NewError(kin.Answer().Code(), fperror.New(kin, "%s", text))
	err.Meta().Set("Foxtailpulley-Error", kin.String())
	return err
}

// run runs a command and returns the exit code and the output, in which each address is replaced by its position in the
// list.
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

// unusedAddress returns a loopback address on which nothing listens.
func unusedAddress(t *testing.T) string {
	t.Helper()
	srv := httptest.NewServer(nil)
	defer srv.Close()
	return srv.Listener.Addr().String()
}

// TestCommandOutput compares the requests, the output and the exit code of each command with its golden file.
func TestCommandOutput(t *testing.T) {
	const configuration = "testdata/configuration.json"
	checkGolden := func(name string, fak *fakeService, args ...string) {
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
	checkGolden("apply", &fakeService{}, "apply", configuration, "--expected", "3/41")
	checkGolden("apply-first", &fakeService{}, "apply", configuration, "--expected", "none", "--request-id", "mine", "--wait", "1s")
	checkGolden("apply-unconfirmed", &fakeService{
		unconfirmed: []string{"one", "two"},
	}, "apply", configuration, "--expected", "3/41", "--json")
	checkGolden("apply-conflict", &fakeService{
		fail: refusal(fperror.VersionConflict, "version 3/42 by operator.test is in force"),
	}, "apply", configuration, "--expected", "3/41")
	checkGolden("apply-conflict-json", &fakeService{
		fail: refusal(fperror.VersionConflict, "version 3/42 by operator.test is in force"),
	}, "apply", configuration, "--expected", "3/41", "--json")
	checkGolden("apply-unknown", &fakeService{
		fail: refusal(fperror.CommitUnknown, "leadership was lost"),
	}, "apply", configuration, "--expected", "3/41")
	checkGolden("apply-version", &fakeService{}, "apply", configuration, "--expected", "latest")
	checkGolden("get", &fakeService{}, "get")
	checkGolden("get-configuration", &fakeService{}, "get", "--configuration")
	checkGolden("drain-vm", &fakeService{}, "drain", "vm", "two")
	checkGolden("undrain-upstream", &fakeService{}, "undrain", "upstream", "counter-1", "--json")
	checkGolden("move", &fakeService{}, "move", "local.v1.CounterService", "--slots", "1,5-6", "--to", "counter-2")
	checkGolden("move-slots", &fakeService{}, "move", "local.v1.CounterService", "--slots", "6-5", "--to", "counter-2")
	checkGolden("voter-add", &fakeService{}, "voter", "add", "root", "two")
	checkGolden("voter-repair", &fakeService{}, "voter", "repair", "root", "two")
	checkGolden("voter-remove", &fakeService{}, "voter", "remove", "root", "two")
	checkGolden("release", &fakeService{}, "release", "local", "9f86d081")
	checkGolden("status", &fakeService{}, "status")
	checkGolden("status-json", &fakeService{}, "status", "--json")
	checkGolden("status-denied", &fakeService{
		fail: refusal(fperror.PermissionDenied, "no operator"),
	}, "status")
	checkGolden("dump", &fakeService{}, "dump", "one")
	checkGolden("watch", &fakeService{}, "watch", "--count", "1")
}

// TestNextAddress checks when a request is sent to the next address. An unreachable address is skipped, but a change
// without a request id must not be sent again if it may have run.
func TestNextAddress(t *testing.T) {
	configuration := "testdata/configuration.json"
	checkExit := func(name string, first error, code int, requests int, args ...string) {
		t.Run(name, func(t *testing.T) {
			one, two := &fakeService{}, &fakeService{}
			one.fail = first
			got, output := run(t, []string{unusedAddress(t), one.start(t), two.start(t)}, args...)
			if got != code || len(two.requests) != requests {
				t.Errorf("%d requests to the last address\n%s", len(two.requests), output)
			}
		})
	}
	noQuorum := refusal(fperror.NoQuorum, "no majority")
	lost := connect.NewError(connect.CodeUnavailable, fmt.Errorf("connection lost"))
	invalid := refusal(fperror.InvalidConfiguration, "slot 3 has no home")

	checkExit("refused by the minority", noQuorum, fpctl.ExitOK, 1, "voter", "add", "root", "two")
	checkExit("lost change", lost, fpctl.ExitUnknown, 0, "voter", "add", "root", "two")
	checkExit("lost change with a request id", lost, fpctl.ExitOK, 1, "drain", "vm", "two")
	checkExit("lost read", lost, fpctl.ExitOK, 1, "status")
	checkExit("lost stream", lost, fpctl.ExitOK, 1, "watch", "--count", "1")
	checkExit("certificate of no operator", refusal(fperror.PermissionDenied, "no operator"), fpctl.ExitDenied, 0, "drain", "vm", "two")
	checkExit("permanent error", invalid, fpctl.ExitInvalid, 0, "apply", configuration, "--expected", "none")
}

// TestBrokenConnectionSkipsAddress guards against a client that does not try the next address if the connections to an
// address break.
func TestBrokenConnectionSkipsAddress(t *testing.T) {
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
		fak := &fakeService{}
		if code, output := run(t, []string{lis.Addr().String(), fak.start(t)}, args...); code != fpctl.ExitOK {
			t.Errorf("%v: %s", args, output)
		}
	}
}

// TestUnknownOutcomeIsKept guards against the exit code for "unavailable" if an earlier address may have accepted the
// change.
func TestUnknownOutcomeIsKept(t *testing.T) {
	fak := &fakeService{
		fail: refusal(fperror.CommitUnknown, "leadership was lost"),
	}
	code, output := run(t, []string{fak.start(t), unusedAddress(t)}, "drain", "vm", "two")
	if code != fpctl.ExitUnknown || !strings.Contains(output, "--request-id 0198c0de-0000-7000-8000-000000000001") {
		t.Error(output)
	}
}

// TestNoReachableAddress checks the exit code from which scripts learn that nothing was changed.
func TestNoReachableAddress(t *testing.T) {
	for _, args := range [][]string{{"status"}, {"voter", "add", "root", "two"}, {"drain", "vm", "two"}, {"watch"}} {
		if code, output := run(t, []string{unusedAddress(t), unusedAddress(t)}, args...); code != fpctl.ExitUnavailable {
			t.Errorf("%v: %s", args, output)
		}
	}
}

// TestUsageErrors guards against a client that uses plain text without being told to, and against commands without an
// address.
func TestUsageErrors(t *testing.T) {
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

// TestTLS guards against a client that accepts a server without a listed identity of a VM, and against a refused client
// certificate that is reported as a lost request.
func TestTLS(t *testing.T) {
	checkExit := func(name string, auth tls.ClientAuthType, identity string, code int) {
		t.Run(name, func(t *testing.T) {
			_, handler := fpoperatorconnect.NewOperatorServiceHandler(&fakeService{})
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
	checkExit("listed server", tls.NoClientCert, "example.com", fpctl.ExitOK)
	checkExit("server not listed", tls.NoClientCert, "one.test", fpctl.ExitDenied)
	checkExit("client refused", tls.RequireAndVerifyClientCert, "example.com", fpctl.ExitDenied)
}

// writeKeyPair writes a certificate and its key to PEM files and returns their paths.
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
