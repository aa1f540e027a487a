//go:build review

package main

import "time"

// routes returns the configuration of the small Greek deployment, with its plain service alone: the uploads,
// which may run once at most, and the fetches.
func (d *deployment) plainConfig() config {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "hostname": "ficu95.example", "prefix": prefix, "kind": kind, "timeout_ms": 1200,
			"target_latency_ms": 400, "priority": 2, "service": "sleeplog-api", "max_attempts": attempts, "allowed_regions": []string{},
		}
	}
	return config{
		"version": 7,
		"routes":  []any{route("log-upload", "/lohu930/", "unsafe", 1), route("export-fetch", "/pufi791/", "safe", 2)},
		"services": []any{map[string]any{
			"name": "sleeplog-api", "health_path": "/healthz", "max_connections": 100, "protocol": "h1", "tls": false,
			"warmup_s": 0.0, "cold_per_s": 0.0,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// bringUp starts one server of the plain service in each zone, and all instances.
func (d *deployment) bringUp(work time.Duration) error {
	d.config = d.plainConfig()
	if err := d.put(); err != nil {
		return err
	}
	for _, zone := range zones {
		if _, err := d.addServer(zone.name, "sleeplog-api", work); err != nil {
			return err
		}
	}
	return d.startAll()
}

const uploadPath = "/lohu930/2f"

// upload returns an upload of a night's log.
func upload(id string) request {
	return request{id: id, method: "POST", path: uploadPath, deadline: 2500 * time.Millisecond, body: "a night's log of 600 bytes, or so"}
}
