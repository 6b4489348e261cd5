package fpstandin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpcontract"
	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

const (
	// RefusedHeader proves that a request did not run; its value is shed, fence or draining.
	RefusedHeader = "Foxtailpulley-Refused"
	// BundleHeader on a request asks the stand-in for a bundle.
	BundleHeader = "Standin-Bundle"
	// PushBackHeader carries the time in milliseconds for which the upstream asks to be left alone, as in gRPC.
	PushBackHeader = "Grpc-Retry-Pushback-Ms"
	// maxSmallBody bounds the request body of a small call.
	maxSmallBody = 1 << 20
	// bundleChunk is the number of bytes written at once.
	bundleChunk = 64 << 10
)

// routes adds the handlers of the stand-in.
func (sta *Standin) routes() {
	sta.mux.HandleFunc("GET /foxtailpulley/health", sta.serveHealth)
	sta.mux.HandleFunc("GET /foxtailpulley/load", sta.serveLoad)
	sta.mux.HandleFunc("POST /{service}/{method}", sta.serveCall)
}

// serveHealth answers with Health.
func (sta *Standin) serveHealth(out http.ResponseWriter, _ *http.Request) {
	sta.mut.Lock()
	health := &fpcontract.Health{
		Ready:    !sta.unhealthy && !sta.draining,
		Draining: sta.draining,
	}
	sta.mut.Unlock()
	writeMessage(out, health)
}

// serveLoad answers with Load.
func (sta *Standin) serveLoad(out http.ResponseWriter, _ *http.Request) {
	writeMessage(out, sta.worker.Load())
}

// writeMessage writes the JSON form of a message.
func writeMessage(out http.ResponseWriter, msg proto.Message) {
	body, err := protojson.Marshal(msg)
	if err != nil {
		http.Error(out, err.Error(), http.StatusInternalServerError)
		return
	}
	out.Header().Set("Content-Type", "application/json")
	out.Write(body)
}

// serveCall runs a request and answers a small call with its own body, or a bundle with BundleBytes of zeros.
func (sta *Standin) serveCall(out http.ResponseWriter, req *http.Request) {
	if refused := sta.refusal(req); refused != "" {
		sta.refuse(out, refused)
		return
	}
	job := Work{
		Bundle: req.Header.Get(BundleHeader) != "",
	}
	body, err := readBody(req, job.Bundle)
	if err != nil {
		writeError(out, http.StatusBadRequest, "invalid_argument", err.Error())
		return
	}
	job.Key = Identity(req, body)
	ctx, cancel := callContext(req)
	defer cancel()
	if sta.cfg.CrashOn != "" && job.Key == sta.cfg.CrashOn {
		sta.crashIn(job)
		<-req.Context().Done()
		return
	}
	if err := sta.worker.Serve(ctx, job); err != nil {
		sta.answerError(out, err)
		return
	}
	if !sta.waitThawed(req.Context()) {
		return
	}
	if job.Bundle {
		writeBundle(out, sta.cfg.BundleBytes)
		return
	}
	out.Header().Set("Content-Type", req.Header.Get("Content-Type"))
	out.Write(body)
}

// refusal returns the value of RefusedHeader for a request that must not run, or nothing.
func (sta *Standin) refusal(req *http.Request) string {
	sta.mut.Lock()
	draining := sta.draining
	sta.mut.Unlock()
	if draining {
		return "draining"
	}
	if sta.cfg.CheckFence != nil && sta.cfg.CheckFence(req) != nil {
		return "fence"
	}
	return ""
}

// refuse answers that a request did not run.
func (sta *Standin) refuse(out http.ResponseWriter, refused string) {
	out.Header().Set(RefusedHeader, refused)
	if sta.cfg.PushBack > 0 {
		out.Header().Set(PushBackHeader, strconv.FormatInt(sta.cfg.PushBack.Milliseconds(), 10))
	}
	status, code := http.StatusServiceUnavailable, "unavailable"
	if refused == "shed" {
		status, code = http.StatusTooManyRequests, "resource_exhausted"
	}
	writeError(out, status, code, refused)
}

// answerError answers a request that the worker did not complete.
func (sta *Standin) answerError(out http.ResponseWriter, err error) {
	switch fperror.KindOf(err) {
	case fperror.UpstreamShed:
		sta.refuse(out, "shed")
	case fperror.DeadlineExceeded:
		writeError(out, http.StatusGatewayTimeout, "deadline_exceeded", err.Error())
	case fperror.CallerCanceled:
		writeError(out, http.StatusRequestTimeout, "canceled", err.Error())
	default:
		writeError(out, http.StatusInternalServerError, "internal", err.Error())
	}
}

// crashIn counts the run of a request that crashes the stand-in, and crashes it. The crash waits for handlers to notice,
// so it happens on a goroutine of its own, as does the restart.
func (sta *Standin) crashIn(job Work) {
	sta.worker.begin(job)
	sta.worker.change(-1, 0)
	go func() {
		sta.Crash()
		if sta.cfg.RestartAfter > 0 {
			time.Sleep(sta.cfg.RestartAfter)
			// A second crash meanwhile has its own restart, and then this one finds the stand-in running.
			_ = sta.Start(context.Background())
		}
	}()
}

// Identity returns the idempotency key of a request, or else a digest of its path and body, under which its runs are
// counted.
func Identity(req *http.Request, body []byte) string {
	if key := req.Header.Get("Idempotency-Key"); key != "" {
		return key
	}
	sum := sha256.Sum256(append([]byte(req.URL.Path+"\x00"), body...))
	return hex.EncodeToString(sum[:16])
}

// readBody returns the body of a small call, or reads and drops that of a bundle.
func readBody(req *http.Request, bundle bool) ([]byte, error) {
	if bundle {
		_, err := io.Copy(io.Discard, req.Body)
		return nil, err
	}
	return io.ReadAll(http.MaxBytesReader(nil, req.Body, maxSmallBody))
}

// callContext returns the context of a call with the deadline that the caller sent.
func callContext(req *http.Request) (context.Context, context.CancelFunc) {
	millis, err := strconv.ParseInt(req.Header.Get("Connect-Timeout-Ms"), 10, 64)
	if err != nil {
		return context.WithCancel(req.Context())
	}
	return context.WithTimeout(req.Context(), time.Duration(millis)*time.Millisecond)
}

// writeBundle streams zeros.
func writeBundle(out http.ResponseWriter, bytes int64) {
	out.Header().Set("Content-Type", "application/octet-stream")
	chunk := make([]byte, bundleChunk)
	for bytes > 0 {
		part := min(bytes, bundleChunk)
		if _, err := out.Write(chunk[:part]); err != nil {
			return
		}
		bytes -= part
	}
}

// writeError writes a Connect JSON error.
func writeError(out http.ResponseWriter, status int, code, message string) {
	body, err := json.Marshal(map[string]string{
		"code":    code,
		"message": message,
	})
	if err != nil {
		http.Error(out, err.Error(), http.StatusInternalServerError)
		return
	}
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	out.Write(body)
}
