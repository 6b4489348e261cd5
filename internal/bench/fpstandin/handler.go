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
	// RefusedHeader on an answer states that the request did not run; its value is shed, fence or draining.
	RefusedHeader = "Foxtailpulley-Refused"
	// BundleHeader on a request asks the stand-in for a bundle.
	BundleHeader = "Standin-Bundle"
	// PushBackHeader on a refusal carries the time in milliseconds to wait before a retry, as in gRPC.
	PushBackHeader = "Grpc-Retry-Pushback-Ms"
	// LeavingHeader on an answer states with the value 1 that the stand-in leaves.
	LeavingHeader = "Foxtailpulley-Leaving"
	// maxSmallBodyBytes bounds the request body of a small call.
	maxSmallBodyBytes = 1 << 20
	// bundleChunkBytes is the number of bytes that one write of a bundle has at most.
	bundleChunkBytes = 64 << 10
)

// registerHandlers adds the handlers of the stand-in to its mux.
func (sta *Standin) registerHandlers() {
	sta.mux.HandleFunc("GET /foxtailpulley/health", sta.serveHealth)
	sta.mux.HandleFunc("GET /foxtailpulley/load", sta.serveLoad)
	sta.mux.HandleFunc("POST /{service}/{method}", sta.serveCall)
}

// serveHealth answers with the health of the stand-in.
func (sta *Standin) serveHealth(out http.ResponseWriter, _ *http.Request) {
	sta.mut.Lock()
	health := &fpcontract.Health{
		Ready:    !sta.unhealthy && !sta.draining,
		Draining: sta.draining,
	}
	sta.mut.Unlock()
	writeMessage(out, health)
}

// serveLoad answers with the load that the worker reports.
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

// serveCall runs a request. It answers a small call with the body of the request and a bundle with BundleBytes zeros.
func (sta *Standin) serveCall(out http.ResponseWriter, req *http.Request) {
	sta.mut.Lock()
	leaving := sta.leaving
	sta.mut.Unlock()
	if leaving != "" {
		out.Header().Set(LeavingHeader, leaving)
	}
	if reason := sta.refusalReason(req); reason != "" {
		sta.refuse(out, reason)
		return
	}
	job := Job{
		Bundle: req.Header.Get(BundleHeader) != "",
	}
	body, err := readBody(req, job.Bundle)
	if err != nil {
		writeError(out, http.StatusBadRequest, "invalid_argument", err.Error())
		return
	}
	job.ID = Identity(req, body)
	ctx, cancel := callContext(req)
	defer cancel()
	if sta.cfg.CrashOn != "" && job.ID == sta.cfg.CrashOn {
		sta.crashDuringRun(job)
		<-req.Context().Done()
		return
	}
	if err := sta.worker.Serve(ctx, job); err != nil {
		sta.writeRunError(out, err)
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

// refusalReason returns the value of RefusedHeader for a request that must not run, or an empty string.
func (sta *Standin) refusalReason(req *http.Request) string {
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

// refuse answers that a request did not run, for the given value of RefusedHeader.
func (sta *Standin) refuse(out http.ResponseWriter, reason string) {
	out.Header().Set(RefusedHeader, reason)
	if sta.cfg.PushBack > 0 {
		out.Header().Set(PushBackHeader, strconv.FormatInt(sta.cfg.PushBack.Milliseconds(), 10))
	}
	status, code := http.StatusServiceUnavailable, "unavailable"
	if reason == "shed" {
		status, code = http.StatusTooManyRequests, "resource_exhausted"
	}
	writeError(out, status, code, reason)
}

// writeRunError answers a request whose run ended with an error.
func (sta *Standin) writeRunError(out http.ResponseWriter, err error) {
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

// crashDuringRun counts a run of the request and crashes the stand-in, which restarts after RestartAfter. Both happen on
// another goroutine, so that the handler of the request can return while the server closes.
func (sta *Standin) crashDuringRun(job Job) {
	sta.worker.start(job)
	sta.worker.addCounts(-1, 0)
	go func() {
		sta.Crash()
		if sta.cfg.RestartAfter > 0 {
			time.Sleep(sta.cfg.RestartAfter)
			// Start fails if another crash has already restarted the stand-in.
			_ = sta.Start(context.Background())
		}
	}()
}

// Identity returns the ID under which the runs of a request are counted: its idempotency key, or a digest of its path and
// body if it has none.
func Identity(req *http.Request, body []byte) string {
	if key := req.Header.Get("Idempotency-Key"); key != "" {
		return key
	}
	sum := sha256.Sum256(append([]byte(req.URL.Path+"\x00"), body...))
	return hex.EncodeToString(sum[:16])
}

// readBody returns the body of a small call. It discards the body of a bundle and returns nil.
func readBody(req *http.Request, bundle bool) ([]byte, error) {
	if bundle {
		_, err := io.Copy(io.Discard, req.Body)
		return nil, err
	}
	return io.ReadAll(http.MaxBytesReader(nil, req.Body, maxSmallBodyBytes))
}

// callContext returns the context of a request with the timeout of its Connect-Timeout-Ms header, if it has one.
func callContext(req *http.Request) (context.Context, context.CancelFunc) {
	millis, err := strconv.ParseInt(req.Header.Get("Connect-Timeout-Ms"), 10, 64)
	if err != nil {
		return context.WithCancel(req.Context())
	}
	return context.WithTimeout(req.Context(), time.Duration(millis)*time.Millisecond)
}

// writeBundle writes a number of zeros as the body of the answer.
func writeBundle(out http.ResponseWriter, remaining int64) {
	out.Header().Set("Content-Type", "application/octet-stream")
	chunk := make([]byte, bundleChunkBytes)
	for remaining > 0 {
		num := min(remaining, bundleChunkBytes)
		if _, err := out.Write(chunk[:num]); err != nil {
			return
		}
		remaining -= num
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
