// Package fpport finds free ports for the listeners of tests and of the soak.
package fpport

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

// The ports lie below those that the system gives to outgoing connections, one of which could take a port before it is used.
const (
	firstPort = 12000
	portCount = 20000
)

// last is the last port that Free has tried, or 0.
var last atomic.Int32

// Free returns a loopback address with a port that is free now, another one at each call. Processes begin at different ports. The error
// is of kind Internal if no port is free.
func Free() (string, error) {
	last.CompareAndSwap(0, firstPort+int32(os.Getpid()*131%portCount))
	for range portCount {
		lis, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", firstPort+(last.Add(1)-firstPort)%portCount))
		if err == nil {
			_ = lis.Close() // the listener only showed that the port is free
			return lis.Addr().String(), nil
		}
	}
	return "", fperror.New(fperror.Internal, "none of %d ports is free", portCount)
}
