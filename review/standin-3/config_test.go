package standin

// configuration returns a configuration with routes that each lead to one service.
func configuration(version int, routes []map[string]any, services ...string) map[string]any {
	var described []map[string]any
	for _, name := range services {
		described = append(described, map[string]any{
			"name": name, "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false,
		})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": described,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "huka270", "apiKeys": []string{key}, "priority": 1}},
	}
}

func route(prefix, kind, service string, attempts int) map[string]any {
	return map[string]any{
		"name": "r-" + service + prefix, "host": host, "prefix": prefix, "kind": kind, "timeoutMs": 3000, "targetLatencyMs": 400, "priority": 2,
		"service": service, "maxAttempts": attempts, "authExempt": false, "sticky": false, "resumable": false,
	}
}
