// Package fproute validates configurations of HTTP routes and finds the route of a request.
package fproute

import (
	"math"
	"strings"
	"time"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// DefaultTimeout is the timeout of a route that names none.
const DefaultTimeout = 30 * time.Second

// Timeout returns the maximum time until the answer to a request of a route.
func Timeout(rou *fpstate.Route) time.Duration {
	if timeout := rou.GetTimeout().AsDuration(); timeout > 0 {
		return timeout
	}
	return DefaultTimeout
}

// Check validates a configuration. It returns nil, or an error of kind InvalidConfiguration with the first fault.
func Check(cfg *fpstate.Configuration) error {
	services := map[string]bool{}
	for _, ser := range cfg.GetServices() {
		if ser.GetName() == "" || services[ser.GetName()] {
			return invalid("the service name %q is empty or used twice", ser.GetName())
		}
		services[ser.GetName()] = true
		if rate := ser.GetColdPerSecond(); !(rate >= 0) || math.IsInf(rate, 0) {
			return invalid("the rate %g of cold upstreams of service %q is below 0 or not finite", rate, ser.GetName())
		}
		if length := ser.GetColdStart(); length != nil && (length.CheckValid() != nil || length.AsDuration() < 0) {
			return invalid("the cold start %v of service %q is below 0", length.AsDuration(), ser.GetName())
		}
	}
	names, patterns := map[string]bool{}, map[string]bool{}
	for _, rou := range cfg.GetRoutes() {
		if err := checkRoute(rou, services); err != nil {
			return err
		}
		if rou.GetName() != "" && names[rou.GetName()] {
			return invalid("two routes have the name %q", rou.GetName())
		}
		pattern := strings.ToLower(rou.GetHost()) + rou.GetPathPrefix()
		if patterns[pattern] {
			return invalid("two routes have the host %q and the path prefix %q", rou.GetHost(), rou.GetPathPrefix())
		}
		names[rou.GetName()], patterns[pattern] = true, true
	}
	return nil
}

func checkRoute(rou *fpstate.Route, services map[string]bool) error {
	switch {
	case rou.GetHost() == "":
		return invalid("the route %q has no host", rou.GetName())
	case !strings.HasPrefix(rou.GetPathPrefix(), "/"):
		return invalid("the path prefix %q of route %q does not begin with a slash", rou.GetPathPrefix(), rou.GetName())
	case rou.GetKind() == fpstate.Kind_KIND_UNSPECIFIED:
		return invalid("the kind of route %q is unknown", rou.GetName())
	case rou.GetTimeout() != nil && rou.GetTimeout().AsDuration() <= 0:
		return invalid("the timeout %v of route %q is not above 0", rou.GetTimeout().AsDuration(), rou.GetName())
	case len(rou.GetTargets()) == 0:
		return invalid("the route %q names no service", rou.GetName())
	}
	sum := 0.0
	for _, tar := range rou.GetTargets() {
		if !services[tar.GetService()] {
			return invalid("the route %q names the unknown service %q", rou.GetName(), tar.GetService())
		}
		if tar.GetWeight() < 0 {
			return invalid("the weight %g of service %q in route %q is below 0", tar.GetWeight(), tar.GetService(), rou.GetName())
		}
		sum += tar.GetWeight()
	}
	if sum <= 0 {
		return invalid("the weights of route %q add up to 0", rou.GetName())
	}
	return nil
}

func invalid(format string, args ...any) error {
	return fperror.New(fperror.InvalidConfiguration, format, args...)
}

// Table finds the route of a request. Use NewTable to create one. It is immutable.
type Table struct {
	config *fpstate.Configuration
	// hosts holds the routes by host in lower case, then by path prefix.
	hosts map[string]map[string]*fpstate.Route
	// longestPrefix is the length of the longest path prefix of each host, in bytes.
	longestPrefix map[string]int
	services      map[string]*fpstate.Service
}

// NewTable returns the table of a configuration that Check accepted.
func NewTable(cfg *fpstate.Configuration) *Table {
	tab := &Table{
		config:        cfg,
		hosts:         map[string]map[string]*fpstate.Route{},
		longestPrefix: map[string]int{},
		services:      map[string]*fpstate.Service{},
	}
	for _, rou := range cfg.GetRoutes() {
		host := strings.ToLower(rou.GetHost())
		if tab.hosts[host] == nil {
			tab.hosts[host] = map[string]*fpstate.Route{}
		}
		tab.hosts[host][rou.GetPathPrefix()] = rou
		tab.longestPrefix[host] = max(tab.longestPrefix[host], len(rou.GetPathPrefix()))
	}
	for _, ser := range cfg.GetServices() {
		tab.services[ser.GetName()] = ser
	}
	return tab
}

// Find returns the route of the host whose prefix of the path is the longest, or nil if there is none. A port in host is
// ignored. Only prefixes that end with a slash match.
func (tab *Table) Find(host, path string) *fpstate.Route {
	host = strings.ToLower(host)
	if pos := strings.LastIndexByte(host, ':'); pos >= 0 {
		host = host[:pos]
	}
	prefixes := tab.hosts[host]
	if prefixes == nil {
		return nil
	}
	// Try only the beginnings of the path that end with a slash, from the longest possible one on.
	for end := min(len(path), tab.longestPrefix[host]); end > 0; end-- {
		if path[end-1] != '/' {
			continue
		}
		if rou := prefixes[path[:end]]; rou != nil {
			return rou
		}
	}
	return nil
}

// Service returns the service with the given name, or nil if the configuration has none.
func (tab *Table) Service(name string) *fpstate.Service { return tab.services[name] }

// Configuration returns the configuration of the table. The caller must not modify it.
func (tab *Table) Configuration() *fpstate.Configuration { return tab.config }
