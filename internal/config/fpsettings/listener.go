package fpsettings

import (
	"net/netip"
	"time"
)

// Listener is an address at which a process accepts connections, and the limits of those connections. The zero value stands for
// no listener.
type Listener struct {
	address           netip.AddrPort
	maxHeaderBytes    int64
	maxBodyBytes      int64
	maxConnections    int64
	readHeaderTimeout time.Duration
	idleTimeout       time.Duration
}

// Address returns the IP number and port.
func (lis Listener) Address() netip.AddrPort { return lis.address }

// MaxHeaderBytes returns the maximum size of the header of a request.
func (lis Listener) MaxHeaderBytes() int { return int(lis.maxHeaderBytes) }

// MaxBodyBytes returns the maximum size of the body of a request.
func (lis Listener) MaxBodyBytes() int64 { return lis.maxBodyBytes }

// MaxConnections returns the maximum number of open connections.
func (lis Listener) MaxConnections() int { return int(lis.maxConnections) }

// ReadHeaderTimeout returns the maximum time until the header of a request has arrived.
func (lis Listener) ReadHeaderTimeout() time.Duration { return lis.readHeaderTimeout }

// IdleTimeout returns the maximum time for which a connection stays open without a request.
func (lis Listener) IdleTimeout() time.Duration { return lis.idleTimeout }

// listenerLimits holds the defaults that differ between listeners.
type listenerLimits struct {
	maxBodyBytes   int64
	maxConnections int64
}

var (
	// callerLimits allows for bundles, which may have hundreds of megabytes.
	callerLimits = listenerLimits{
		maxBodyBytes:   1 << 30,
		maxConnections: 20_000,
	}
	// peerLimits allows for a batch of log entries or a chunk of a snapshot, and for a few connections from every other VM.
	peerLimits = listenerLimits{
		maxBodyBytes:   16 << 20,
		maxConnections: 1_000,
	}
	// operatorLimits allows for one configuration with its schema.
	operatorLimits = listenerLimits{
		maxBodyBytes:   maxFileBytes,
		maxConnections: 100,
	}
)

func readListener(obj *object, lim listenerLimits) Listener {
	defer obj.close()
	return Listener{
		address: obj.address("address"),
		maxHeaderBytes: obj.count("maxHeaderBytes", countRange{
			fallback: 32 << 10,
			low:      4 << 10,
			high:     1 << 20,
		}),
		maxBodyBytes: obj.count("maxBodyBytes", countRange{
			fallback: lim.maxBodyBytes,
			low:      64 << 10,
			high:     16 << 30,
		}),
		maxConnections: obj.count("maxConnections", countRange{
			fallback: lim.maxConnections,
			low:      1,
			high:     1_000_000,
		}),
		readHeaderTimeout: obj.duration("readHeaderTimeout", durationRange{
			fallback: 5 * time.Second,
			low:      100 * time.Millisecond,
			high:     time.Minute,
		}),
		idleTimeout: obj.duration("idleTimeout", durationRange{
			fallback: 2 * time.Minute,
			low:      time.Second,
			high:     time.Hour,
		}),
	}
}
