package server

import (
	"context"
	"strings"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// requestMetrics count requests by route and status and measure how long they take.
type requestMetrics struct {
	total metric.Int64Counter
	took  metric.Float64Histogram
}

func newRequestMetrics() *requestMetrics {
	meter := otel.Meter("server")
	total, _ := meter.Int64Counter("dogwoodledge.requests", metric.WithDescription("Requests of callers by route and status"))
	took, _ := meter.Float64Histogram("dogwoodledge.request.duration",
		metric.WithUnit("s"), metric.WithDescription("Time from a request's arrival to the end of its answer"))
	return &requestMetrics{total: total, took: took}
}

func (m *requestMetrics) observe(ctx context.Context, path string, status int, took time.Duration) {
	attrs := metric.WithAttributes(attribute.String("route", routeOf(path)), attribute.Int("status", status))
	m.total.Add(ctx, 1, attrs)
	m.took.Record(ctx, took.Seconds(), attrs)
}

// routeNames are the routes that the metrics distinguish; all other paths count as "other".
var routeNames = []string{"/v1/chat", "/v1/models", "/v1/files", "/v1/batches", "/services", "/healthz", "/readyz"}

// routeOf returns the route of a path. Paths themselves are no metric attributes, because ids and paths chosen by callers
// would make the number of time series unbounded.
func routeOf(path string) string {
	for _, name := range routeNames {
		if strings.HasPrefix(path, name) {
			return name
		}
	}
	return "other"
}
