package fleet

// Service returns the entry of a service in a configuration.
func Service(name string, keyed bool) map[string]any {
	return map[string]any{
		"name": name, "health_path": "/health", "max_conns": 130, "protocol": "h1", "tls": false, "sharded": keyed, "warmup": "5s", "grants": "invoke",
	}
}

// Route returns the entry of a route in a configuration.
func Route(name, host, prefix, kind, service, timeout string) map[string]any {
	return map[string]any{
		"name": name, "hostname": host, "path_prefix": prefix, "kind": kind, "timeout": timeout, "slo": "400ms", "priority": 1,
		"service": service, "max_attempts": 2,
	}
}

// Configuration returns a configuration.
func Configuration(version int, routes, services []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms",
		},
	}
}
