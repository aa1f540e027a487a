// Package quarantine keeps requests that end the upstreams that run them from being run
// again.
package quarantine
