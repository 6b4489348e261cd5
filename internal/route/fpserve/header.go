package fpserve

import (
	"net/http"
	"strings"
)

// routerHeaderPrefix is the prefix of the router's own headers. The router sets them itself and does not pass on those
// that it receives.
const routerHeaderPrefix = "Foxtailpulley-"

// rateHeader names the request rate that an upstream takes from all VMs together.
const rateHeader = "Foxtailpulley-Rate"

// hopByHopHeaders are the headers that concern one connection only. Content-Length is computed again from the body.
var hopByHopHeaders = map[string]bool{
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

// forwardedHeader returns the headers of a caller's request that are forwarded to the upstream.
func forwardedHeader(from http.Header) http.Header {
	into := make(http.Header, len(from)+4)
	copyHeader(into, from)
	return into
}

// copyHeader copies all headers except the router's own and hop-by-hop headers.
func copyHeader(into, from http.Header) {
	connection := from["Connection"]
	for name, values := range from {
		if hopByHopHeaders[name] || strings.HasPrefix(name, routerHeaderPrefix) || isConnectionOption(connection, name) {
			continue
		}
		into[name] = values
	}
}

// isConnectionOption reports whether the values of the Connection header list a header name.
func isConnectionOption(connection []string, name string) bool {
	for _, value := range connection {
		for option := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.TrimSpace(option), name) {
				return true
			}
		}
	}
	return false
}
