//go:build review

package main

import "time"

// modelService is the service of the model servers.
const modelService = "lilac-nurse"

// declareModels declares the model servers and the route of the app's questions, as on the sheet.
func (d *deployment) declareModels() error {
	d.config["version"] = 8
	d.config["routes"] = append(d.config["routes"].([]any), map[string]any{
		"name": "app-question", "hostname": "ficu95.example", "prefix": "/pule252/", "kind": "streaming", "timeout_ms": 4000,
		"target_latency_ms": 1200, "priority": 0, "service": modelService, "max_attempts": 1, "sticky": true,
		"resumable": false, "gap_aim_ms": 300, "allowed_regions": []string{"makedonia", "thessalia"},
	})
	d.config["services"] = append(d.config["services"].([]any), map[string]any{
		"name": modelService, "health_path": "/healthz", "max_connections": 360, "protocol": "h1", "tls": false,
		"warmup_s": 3.0, "cold_per_s": 9.7, "engine": map[string]any{
			"slots": 64, "kv_capacity_tokens": 354318, "kv_token_bytes": 163840, "link_mbps": 260000.0, "stride": 6,
			"most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}},
		},
	})
	return d.put()
}

// addModels declares the model servers and starts them with the given time for each answer. Their clients record the
// runs.
func (d *deployment) addModels(work time.Duration) error {
	if err := d.declareModels(); err != nil {
		return err
	}
	for n, zone := range zones {
		for range 5 - n {
			s, err := d.addServer(zone.name, modelService, work)
			if err != nil {
				return err
			}
			s.quiet = true
		}
	}
	time.Sleep(time.Second)
	return nil
}

// question returns a question of the residents' app.
func question(id string) request {
	return request{
		id: id, method: "POST", path: "/pule252/2f", deadline: 4 * time.Second, body: "how did I sleep last night?",
		header: []string{"X-Lilacweir-Model: m", "X-Lilacweir-Token-Usage: 383,48", "X-Lilacweir-Prompt-Prefix: 5c1e07a2:55,91bd3f06:37,e4402b7d:291"},
	}
}
