package fptls

import (
	"net/http"

	"go.uber.org/zap"

	"github.com/foxtailpulley/foxtailpulley/internal/config/fpsettings"
)

// FromSettings opens the TLS files named in the settings. It returns nil, which means plain text, if the settings allow
// plain text on loopback addresses. The error is of kind InvalidSettings.
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

// PeerServerConfig returns the configuration of the server for the protocol between VMs. A nil Store means plain text.
func PeerServerConfig(set *fpsettings.Settings, sto *Store, han http.Handler, log *zap.Logger) ServerConfig {
	return serverConfig(set, set.Peers(), sto, RoleVM, han, log)
}

// OperatorServerConfig returns the configuration of the server for operators. A nil Store means plain text.
func OperatorServerConfig(set *fpsettings.Settings, sto *Store, han http.Handler, log *zap.Logger) ServerConfig {
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

// PeerClientConfig returns the configuration of the client that calls other VMs. A nil Store means plain text.
func PeerClientConfig(set *fpsettings.Settings, sto *Store) ClientConfig {
	return ClientConfig{
		Store:       sto,
		DialTimeout: set.Timings().DialTimeout(),
		ReadIdle:    set.Timings().ReadIdle(),
		PingTimeout: set.Timings().PingTimeout(),
	}
}
