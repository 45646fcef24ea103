package tracer

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// latencyBounds are the bucket bounds of the latency histograms in seconds, dense around the objectives for the first event of
// a stream.
var latencyBounds = []float64{.01, .025, .05, .075, .1, .15, .2, .25, .3, .4, .5, .75, 1, 1.5, 2, 3, 5, 10}

// Meter records how online requests and runs of batch items end, and the latencies of requests.
type Meter struct {
	ended  metric.Int64Counter
	took   metric.Float64Histogram
	first  metric.Float64Histogram
	items  metric.Int64Counter
	panics metric.Int64Counter
	admits metric.Int64Counter
}

// NewMeter returns a meter that records to the process's meter provider; the Tracer parameter makes sure that it is set up.
func NewMeter(*Tracer) (*Meter, error) {
	m, errs := otel.Meter("dogwoodledge"), [6]error{}
	meter := &Meter{}
	meter.ended, errs[0] = m.Int64Counter("requests_ended",
		metric.WithDescription("online requests by route and outcome"))
	meter.took, errs[1] = m.Float64Histogram("request_seconds",
		metric.WithDescription("time from a request to the end of its answer"),
		metric.WithExplicitBucketBoundaries(latencyBounds...))
	meter.first, errs[2] = m.Float64Histogram("first_byte_seconds",
		metric.WithDescription("time from a request to the first byte of its answer"),
		metric.WithExplicitBucketBoundaries(latencyBounds...))
	meter.items, errs[3] = m.Int64Counter("item_runs",
		metric.WithDescription("runs of batch items by how they ended"))
	meter.panics, errs[4] = m.Int64Counter("panics",
		metric.WithDescription("panics that ended one part of the work alone, by kind of work"))
	meter.admits, errs[5] = m.Int64Counter("admissions",
		metric.WithDescription("requests that need a key, by account and by whether, or why not, they were admitted"))
	for _, err := range errs {
		if err != nil {
			return nil, errors.Wrap(err, "set up metrics")
		}
	}
	return meter, nil
}

// Count exports a counter with the value that the function returns when the metrics are read.
func (m *Meter) Count(name, description string, value func() int64) error {
	_, err := otel.Meter("dogwoodledge").Int64ObservableCounter(name, metric.WithDescription(description),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(value())
			return nil
		}))
	return errors.Wrap(err, "set up metric "+name)
}

// Gauge exports the value that the function returns when the metrics are read.
func (m *Meter) Gauge(name, description string, value func() int64) error {
	_, err := otel.Meter("dogwoodledge").Int64ObservableGauge(name, metric.WithDescription(description),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(value())
			return nil
		}))
	return errors.Wrap(err, "set up metric "+name)
}

// CountBy exports a counter with the values that the function returns, by the value of the label, when the metrics are read.
func (m *Meter) CountBy(name, description, label string, values func() map[string]int64) error {
	_, err := otel.Meter("dogwoodledge").Int64ObservableCounter(name, metric.WithDescription(description),
		metric.WithInt64Callback(observeBy(label, values)))
	return errors.Wrap(err, "set up metric "+name)
}

// GaugeBy exports a value, and the value of its label, that the function returns when the metrics are read.
func (m *Meter) GaugeBy(name, description, label string, value func() (int64, string)) error {
	_, err := otel.Meter("dogwoodledge").Int64ObservableGauge(name, metric.WithDescription(description),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			v, key := value()
			o.Observe(v, metric.WithAttributes(attribute.String(label, key)))
			return nil
		}))
	return errors.Wrap(err, "set up metric "+name)
}

// GaugesBy exports the values that the function returns, by the value of the label, when the metrics are read.
func (m *Meter) GaugesBy(name, description, label string, values func() map[string]int64) error {
	_, err := otel.Meter("dogwoodledge").Int64ObservableGauge(name, metric.WithDescription(description),
		metric.WithInt64Callback(observeBy(label, values)))
	return errors.Wrap(err, "set up metric "+name)
}

func observeBy(label string, values func() map[string]int64) metric.Int64Callback {
	return func(_ context.Context, o metric.Int64Observer) error {
		for key, v := range values() {
			o.Observe(v, metric.WithAttributes(attribute.String(label, key)))
		}
		return nil
	}
}

// RequestEnded counts an online request by route and outcome, and records how long it took.
func (m *Meter) RequestEnded(route, outcome string, took time.Duration) {
	m.ended.Add(context.Background(), 1,
		metric.WithAttributes(attribute.String("route", route), attribute.String("outcome", outcome)))
	m.took.Record(context.Background(), took.Seconds(), metric.WithAttributes(attribute.String("route", route)))
}

// FirstByte records the time from a request to the first byte of its answer.
func (m *Meter) FirstByte(route string, took time.Duration) {
	m.first.Record(context.Background(), took.Seconds(), metric.WithAttributes(attribute.String("route", route)))
}

// Panicked counts a panic in a part of the work that ended alone.
func (m *Meter) Panicked(work string) {
	m.panics.Add(context.Background(), 1, metric.WithAttributes(attribute.String("work", work)))
}

// Admission counts a request that needs a key by account and outcome.
func (m *Meter) Admission(account, outcome string) {
	m.admits.Add(context.Background(), 1,
		metric.WithAttributes(attribute.String("account", account), attribute.String("outcome", outcome)))
}

// ItemRun counts a run of a batch item by outcome.
func (m *Meter) ItemRun(outcome string) {
	m.items.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}
