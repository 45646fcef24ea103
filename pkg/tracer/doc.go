// Package tracer sets up the process's spans, metrics and logs.
package tracer
