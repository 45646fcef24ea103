//go:build review2

package main

import (
	"time"

	"github.com/pkg/errors"
)

const batchHost = "ficu95.example"

// configOf returns a configuration with the routes of one service of model runners; tenants may be nil.
func configOf(version int, tenants any, routes ...map[string]any) map[string]any {
	c := map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{
			"name": "textverk", "healthPath": "/healthz", "maxConns": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 8, "kvCapacity": kvTotal},
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	if tenants != nil {
		c["tenants"] = tenants
	}
	return c
}

// batchRoute returns the route of the batch jobs.
func batchRoute() map[string]any {
	return map[string]any{
		"name": "r-batch", "host": batchHost, "pathPrefix": "/pule252/", "kind": "batch_job", "service": "textverk",
		"timeoutMs": 15000, "targetLatencyMs": 400, "priority": 2, "maxAttempts": 3, "dueMs": 18000, "maxWaitS": 60,
		"cap": 1100000, "resumable": true, "gapTargetMs": 250, "sessionAffinity": true,
	}
}

// startFleet starts n VMs and waits until they are ready.
func (r *rig) startFleet(n int) ([]*daemon, error) {
	var list []*daemon
	for i := range n {
		d := r.addDaemon(i)
		if err := d.start(); err != nil {
			return nil, err
		}
		list = append(list, d)
	}
	for _, d := range list {
		if !d.awaitReady(15 * time.Second) {
			return nil, errors.Errorf("%s is not ready", d.name)
		}
	}
	return list, nil
}
