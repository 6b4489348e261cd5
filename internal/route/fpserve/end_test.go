package fpserve_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fpserve"
)

// newRaw returns a stand-in that answers every call with the given handler.
func newRaw(t *testing.T, handler http.HandlerFunc) *standin {
	ser := httptest.NewUnstartedServer(http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		if req.Method != http.MethodGet {
			handler(wri, req)
		}
	}))
	ser.Config.Protocols = bothProtocols()
	ser.Start()
	t.Cleanup(ser.Close)
	return &standin{
		Server:   ser,
		upstream: &fpcontract.Upstream{Name: "raw", Address: ser.Listener.Addr().String()},
	}
}

// message returns an enveloped message of a stream.
func message(flag byte, value string) []byte {
	raw, _ := proto.Marshal(&text{RequestId: value})
	return append([]byte{flag, 0, 0, 0, byte(len(raw))}, raw...)
}

// TestEndOfAnswer guards against an answer whose transport ends in order but whose protocol does not, taken for a whole one.
func TestEndOfAnswer(t *testing.T) {
	long := message(0, "abc")
	for name, one := range map[string]struct {
		path, contentType string
		body              []byte
		status            string
		opts              []connect.ClientOption
	}{
		"grpc without status":        {"/demo.Test/Idem", "application/grpc", long, "", protocols["grpc"]},
		"grpc within a message":      {"/demo.Test/Idem", "application/grpc", long[:7], "0", protocols["grpc"]},
		"grpc stream without status": {"/demo.Test/Stream", "application/grpc", long, "", protocols["grpc"]},
		"connect stream without end": {"/demo.Test/Stream", "application/connect+proto", long, "", nil},
		"connect stream within one":  {"/demo.Test/Stream", "application/connect+proto", long[:7], "", nil},
		"not the protocol":           {"/demo.Test/Idem", "text/html", long, "", protocols["grpc"]},
	} {
		raw := newRaw(t, func(wri http.ResponseWriter, _ *http.Request) {
			wri.Header().Set("Content-Type", one.contentType)
			_, _ = wri.Write(one.body)
			if one.status != "" {
				wri.Header().Set(http.TrailerPrefix+"Grpc-Status", one.status)
			}
		})
		rou := newRouter(t, nil, raw)
		cli := connect.NewClient[text, text](newCaller(t, true), rou.URL+one.path, one.opts...)
		str, err := cli.CallServerStream(t.Context(), connect.NewRequest(&text{}))
		if err == nil {
			for str.Receive() {
			}
			err = str.Err()
		}
		if err == nil {
			t.Errorf("%s: the answer was taken for a whole one", name)
		}
		if name == "grpc stream without status" && connect.CodeOf(err) != connect.CodeDataLoss {
			t.Errorf("%s: the caller got %v", name, err)
		}
		if num, ok := rou.counts.Load("answerTruncated"); (!ok || num == nil) && name != "not the protocol" {
			t.Errorf("%s: the router did not notice, the caller got %v", name, err)
		}
	}
}

// TestAnswerWithoutLength guards against an answer of HTTP/1.1 that ends with its connection, so that its truncation
// cannot be seen.
func TestAnswerWithoutLength(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	go func() {
		for {
			con, err := lis.Accept()
			if err != nil {
				return
			}
			go answerWithoutLength(con)
		}
	}()
	raw := &standin{upstream: &fpcontract.Upstream{Name: "raw", Address: lis.Addr().String()}}
	rou := newRouter(t, nil, raw)
	_, err = call(rou, newCaller(t, true), "/demo.Test/Idem", "x", "")
	if connect.CodeOf(err) != connect.CodeDataLoss {
		t.Errorf("got %v", err)
	}
}

// answerWithoutLength answers a health check with a length, and any other request without.
func answerWithoutLength(con net.Conn) {
	defer con.Close()
	buf := make([]byte, 4096)
	for {
		num, err := con.Read(buf)
		if err != nil || num < 4 || string(buf[:3]) == "PRI" {
			return
		}
		if string(buf[:3]) == "GET" {
			_, _ = con.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
			continue
		}
		_, _ = con.Write([]byte("HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n\r\n\x0a\x01x"))
		return
	}
}

// TestQuarantine guards against a quarantined request that reaches an upstream, also as a second attempt.
func TestQuarantine(t *testing.T) {
	sta := newStandin(t, "one")
	sta.fault = func(*http.Request) fault { return runCut }
	suspects := map[string]bool{}
	rou := newRouter(t, func(cfg *fpserve.Config) {
		cfg.IsQuarantined = func(cal *fpserve.Call) bool { return suspects[cal.Suspect()] }
		cfg.ReportCrash = func(_ context.Context, cal *fpserve.Call, _ *fpserve.Target) (bool, error) {
			suspects[cal.Suspect()] = true
			return false, nil
		}
	}, sta)
	for range 2 {
		_, err := call(rou, newCaller(t, true), "/demo.Test/Idem", "x", "")
		if err == nil {
			t.Error("a crashing request got an answer")
		}
	}
	if runs, _ := sta.total("", ""); runs != 1 {
		t.Errorf("the request ran %d times", runs)
	}
}

// TestLostConnectionMovesOn guards against an idempotent call that is lost with its connection though there is another
// upstream and time left.
func TestLostConnectionMovesOn(t *testing.T) {
	one, two := newStandin(t, "one"), newStandin(t, "two")
	one.fault = func(*http.Request) fault { return runCut }
	rou := newRouter(t, nil, one, two)
	start := time.Now()
	for range 4 {
		if _, err := call(rou, newCaller(t, true), "/demo.Test/Idem", "x", ""); err != nil {
			t.Error(err)
		}
	}
	if took := time.Since(start); took > 5*time.Second {
		t.Errorf("took %v", took)
	}
}
