package fptls

import (
	"net/http"

	"go.uber.org/zap"

	"github.com/foxtailpulley/foxtailpulley/internal/config/fpsettings"
)

// FromSettings opens the files named in the settings. It returns nil, which means plain text, with the loopback setting.
func FromSettings(set *fpsettings.Settings, log *zap.Logger) (*Store, error) {
	if set.PlainTextLoopback() {
		return nil, nil
	}
	return Open(Config{
		Certificate: set.TLS().Certificate(),
		Key:         set.TLS().Key(),
		Authority:   set.TLS().Authority(),
		VMs:         set.TLS().VMIdentities(),
		Operators:   set.TLS().OperatorIdentities(),
		Log:         log,
	})
}

// PeerServer returns the configuration of the listener for the protocol between VMs.
func PeerServer(set *fpsettings.Settings, sto *Store, han http.Handler, log *zap.Logger) ServerConfig {
	return serverConfig(set, set.Peers(), sto, RoleVM, han, log)
}

// OperatorServer returns the configuration of the listener for operators.
func OperatorServer(set *fpsettings.Settings, sto *Store, han http.Handler, log *zap.Logger) ServerConfig {
	return serverConfig(set, set.Operators(), sto, RoleOperator, han, log)
}

func serverConfig(set *fpsettings.Settings, lis fpsettings.Listener, sto *Store, rol Role, han http.Handler, log *zap.Logger) ServerConfig {
	return ServerConfig{
		Handler:           han,
		Store:             sto,
		Role:              rol,
		MaxHeaderBytes:    lis.MaxHeaderBytes(),
		MaxBodyBytes:      lis.MaxBodyBytes(),
		MaxConnections:    lis.MaxConnections(),
		ReadHeaderTimeout: lis.ReadHeaderTimeout(),
		IdleTimeout:       lis.IdleTimeout(),
		ReadIdle:          set.Timings().ReadIdle(),
		PingTimeout:       set.Timings().PingTimeout(),
		Log:               log,
	}
}

// PeerClient returns the configuration of the client that calls other VMs.
func PeerClient(set *fpsettings.Settings, sto *Store) ClientConfig {
	return ClientConfig{
		Store:       sto,
		DialTimeout: set.Timings().DialTimeout(),
		ReadIdle:    set.Timings().ReadIdle(),
		PingTimeout: set.Timings().PingTimeout(),
	}
}
