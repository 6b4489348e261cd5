package fpsettings

import (
	"net/netip"
	"time"
)

// Listener is where a process accepts connections, and the limits of those connections.
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

// MaxHeaderBytes bounds the header of a request.
func (lis Listener) MaxHeaderBytes() int { return int(lis.maxHeaderBytes) }

// MaxBodyBytes bounds the body of a request.
func (lis Listener) MaxBodyBytes() int64 { return lis.maxBodyBytes }

// MaxConnections bounds the open connections of the listener.
func (lis Listener) MaxConnections() int { return int(lis.maxConnections) }

// ReadHeaderTimeout bounds the time until the header of a request has arrived.
func (lis Listener) ReadHeaderTimeout() time.Duration { return lis.readHeaderTimeout }

// IdleTimeout bounds the time that a connection stays open without a request.
func (lis Listener) IdleTimeout() time.Duration { return lis.idleTimeout }

// listenerLimits holds the defaults that differ between listeners.
type listenerLimits struct {
	maxBodyBytes   int64
	maxConnections int64
}

var (
	// callerLimits admits bundles, which may take hundreds of megabytes.
	callerLimits = listenerLimits{
		maxBodyBytes:   1 << 30,
		maxConnections: 20_000,
	}
	// peerLimits admits a batch of log entries or a snapshot chunk, and a few connections from every other VM.
	peerLimits = listenerLimits{
		maxBodyBytes:   16 << 20,
		maxConnections: 1_000,
	}
	// operatorLimits admits one configuration with its schema.
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
