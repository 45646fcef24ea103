// Package tracer sets up spans, metrics and logs.
package tracer
