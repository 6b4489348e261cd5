package fpserve

import (
	"net/http"
	"strings"
)

// ownPrefix is the prefix of the router's own headers. They are set at each hop and never passed on.
const ownPrefix = "Foxtailpulley-"

// hopHeaders concern one connection only. Content-Length is set anew from the body.
var hopHeaders = map[string]bool{
	"Connection":          true,
	"Content-Length":      true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// forwardedHeader returns the headers of a caller's request that go to the upstream.
func forwardedHeader(from http.Header) http.Header {
	into := make(http.Header, len(from)+4)
	copyHeader(into, from)
	return into
}

// copyHeader copies all headers but the router's own and those of one connection.
func copyHeader(into, from http.Header) {
	named := from["Connection"]
	for name, values := range from {
		if hopHeaders[name] || strings.HasPrefix(name, ownPrefix) || isNamedIn(named, name) {
			continue
		}
		into[name] = values
	}
}

// isNamedIn reports whether a Connection header names another header as one of the connection.
func isNamedIn(connection []string, name string) bool {
	for _, value := range connection {
		for part := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.TrimSpace(part), name) {
				return true
			}
		}
	}
	return false
}
