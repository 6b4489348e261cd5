package fpserve

import (
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/config/fpschema"
)

// accept validates a request, reads its body as far as it is kept in memory, and returns it as a Call. After an error,
// nothing was forwarded.
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
	if err := cal.checkFraming(); err != nil {
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

// checkFraming checks that the content type fits the method: streams need enveloped messages, and unary methods do not
// support the streaming types of Connect.
func (cal *Call) checkFraming() error {
	stream := cal.method.ClientStream() || cal.method.ServerStream()
	if stream && cal.protocol.framing == connectUnary {
		return fperror.New(fperror.InvalidRequest, "%s is a streaming method and needs the content type application/connect+proto, application/connect+json or application/grpc", cal.method.Path())
	}
	if !stream && cal.protocol.framing == connectStream {
		return fperror.New(fperror.InvalidRequest, "%s is not a streaming method and needs the content type application/proto, application/json or application/grpc", cal.method.Path())
	}
	return nil
}

// checkIdempotencyKey checks that the key is a UUIDv7 and normalizes it. An idempotent method needs no key and ignores
// an invalid one. The age of the key is checked by the leader that commits the claim.
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

// setDeadline sets the deadline to that of the caller, or the method's default if the caller sent none. The service's
// largest deadline bounds both.
func (ser *Server) setDeadline(cal *Call, hea http.Header) error {
	remaining, err := cal.protocol.timeout(hea)
	if err != nil {
		return err
	}
	if remaining == 0 {
		remaining = cal.method.Deadline()
	}
	remaining = min(remaining, ser.cfg.MaxDeadline(cal.method.Service().Name()))
	cal.deadline = time.Now().Add(remaining)
	return nil
}

// read reads the body as far as it is kept in memory, and extracts the key. The body must arrive before the deadline of
// the call.
func (cal *Call) read(wri http.ResponseWriter, req *http.Request) error {
	con := http.NewResponseController(wri)
	_ = con.SetReadDeadline(cal.deadline)
	bod, err := readBody(req, cal.method)
	if err != nil {
		return err
	}
	if bod.rest != nil {
		// The upstream may answer before the whole body has arrived, so the rest may be read during the answer.
		_ = con.EnableFullDuplex()
		_ = con.SetReadDeadline(time.Time{})
	}
	cal.body = bod
	encoding := req.Header.Get(cal.protocol.encodingHeader())
	if cal.method.Keyed() && encoding != "" && encoding != "identity" && encoding != "gzip" {
		return fperror.New(fperror.InvalidRequest, "the key cannot be read from a body with the encoding %q; gzip and identity are supported", encoding)
	}
	cal.fields, err = cal.method.Extract(fpschema.Body{
		Data:      bod.buffered,
		Partial:   bod.rest != nil,
		Format:    cal.protocol.format,
		Enveloped: cal.protocol.enveloped(),
		Gzip:      encoding == "gzip",
	})
	return err
}

// callerOf returns the name of the caller for fair sharing: the Foxtailpulley-Caller header, or the IP address of the
// connection.
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
