package fpserve

import (
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/config/fpschema"
)

// accept turns a request into a Call. An error means that nothing was forwarded.
func (ser *Server) accept(wri http.ResponseWriter, req *http.Request) (*Call, error) {
	pro, err := protocolOf(req)
	if err != nil {
		return nil, err
	}
	met := ser.cfg.Schema().Method(req.URL.Path)
	if met == nil {
		return nil, fperror.New(fperror.UnknownMethod, "the schema has no method %s", req.URL.Path)
	}
	cal := &Call{
		method:         met,
		protocol:       pro,
		idempotencyKey: req.Header.Get("Idempotency-Key"),
		caller:         callerOf(req),
	}
	if err := cal.checkForm(); err != nil {
		return nil, err
	}
	if err := cal.checkIdempotencyKey(); err != nil {
		return nil, err
	}
	if err := ser.setDeadline(cal, req.Header); err != nil {
		return nil, err
	}
	return cal, cal.read(wri, req)
}

// checkForm refuses a stream in a body that holds one message.
func (cal *Call) checkForm() error {
	stream := cal.method.ClientStream() || cal.method.ServerStream()
	if stream && cal.protocol.form == connectUnary {
		return fperror.New(fperror.InvalidRequest, "%s is a stream, which needs application/connect+proto or gRPC", cal.method.Path())
	}
	if !stream && cal.protocol.form == connectStream {
		return fperror.New(fperror.InvalidRequest, "%s is no stream", cal.method.Path())
	}
	return nil
}

// checkIdempotencyKey checks the form of the key only. Its age is judged by the leader that commits the claim.
func (cal *Call) checkIdempotencyKey() error {
	if cal.idempotencyKey == "" {
		if cal.method.Idempotent() {
			return nil
		}
		return fperror.New(fperror.MissingIdempotencyKey, "%s needs the header Idempotency-Key", cal.method.Path())
	}
	key, err := uuid.Parse(cal.idempotencyKey)
	if err != nil || key.Version() != 7 {
		if cal.method.Idempotent() {
			return nil
		}
		return fperror.New(fperror.InvalidIdempotencyKey, "the header Idempotency-Key is no UUIDv7")
	}
	cal.idempotencyKey = key.String()
	return nil
}

// setDeadline takes the caller's deadline or the method's default, bounded by the service's largest.
func (ser *Server) setDeadline(cal *Call, hea http.Header) error {
	rest, err := cal.protocol.timeout(hea)
	if err != nil {
		return err
	}
	if rest == 0 {
		rest = cal.method.Deadline()
	}
	rest = min(rest, ser.cfg.MaxDeadline(cal.method.Service().Name()))
	cal.deadline = time.Now().Add(rest)
	return nil
}

// read reads the body, or its beginning, and extracts the key. A caller that sends slowly has until its deadline.
func (cal *Call) read(wri http.ResponseWriter, req *http.Request) error {
	con := http.NewResponseController(wri)
	_ = con.SetReadDeadline(cal.deadline)
	bod, err := readBody(req, cal.method)
	if err != nil {
		return err
	}
	if bod.rest != nil {
		// An upstream may answer before it has read the whole body.
		_ = con.EnableFullDuplex()
		_ = con.SetReadDeadline(time.Time{})
	}
	cal.body = bod
	encoding := req.Header.Get(cal.protocol.encoding())
	if cal.method.Keyed() && encoding != "" && encoding != "identity" && encoding != "gzip" {
		return fperror.New(fperror.InvalidRequest, "the encoding %q hides the key, gzip and identity do not", encoding)
	}
	cal.fields, err = cal.method.Extract(fpschema.Body{
		Data:      bod.ahead,
		Partial:   bod.rest != nil,
		Format:    cal.protocol.format,
		Enveloped: cal.protocol.enveloped(),
		Gzip:      encoding == "gzip",
	})
	return err
}

// callerOf returns the name for fair sharing.
func callerOf(req *http.Request) string {
	if name := req.Header.Get("Foxtailpulley-Caller"); name != "" {
		return name
	}
	host, _, err := net.SplitHostPort(req.RemoteAddr)
	if err != nil {
		return req.RemoteAddr
	}
	return host
}
