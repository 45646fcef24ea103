package tracer

import (
	"context"
	"net/http"
	"os"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"

	"github.com/dogwoodledge/dogwoodledge/pkg/loader"
)

// Tracer owns the exporters of spans and metrics.
type Tracer struct {
	spans   *trace.TracerProvider
	metrics *metric.MeterProvider
	file    *os.File
	handler http.Handler
}

// New sets up spans and metrics according to the settings and installs them as the process's global providers.
func New(s loader.Settings) (*Tracer, error) {
	res := resource.NewSchemaless(
		attribute.String("service.name", "dogwoodledged"),
		attribute.String("vm", s.VM.ID),
		attribute.String("availabilityZone", s.VM.AvailabilityZone),
	)
	t := &Tracer{}
	if err := t.setUpSpans(s.Trace, res); err != nil {
		return nil, err
	}
	return t, t.setUpMetrics(res)
}

func (t *Tracer) setUpSpans(s loader.TraceSettings, res *resource.Resource) error {
	opts := []trace.TracerProviderOption{trace.WithResource(res)}
	if s.File != "" {
		file, err := os.OpenFile(s.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return errors.Wrap(err, "trace.file")
		}
		t.file = file
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
		if err != nil {
			return errors.Wrap(err, "trace.file")
		}
		opts = append(opts, trace.WithBatcher(exporter))
	}
	if s.OTLP.IsValid() {
		exporter, err := otlptracehttp.New(context.Background(),
			otlptracehttp.WithEndpoint(s.OTLP.String()), otlptracehttp.WithInsecure())
		if err != nil {
			return errors.Wrap(err, "trace.otlp")
		}
		opts = append(opts, trace.WithBatcher(exporter))
	}
	if len(opts) == 1 {
		opts = append(opts, trace.WithSampler(trace.NeverSample()))
	}
	t.spans = trace.NewTracerProvider(opts...)
	otel.SetTracerProvider(t.spans)
	otel.SetTextMapPropagator(propagation.TraceContext{})
	return nil
}

func (t *Tracer) setUpMetrics(res *resource.Resource) error {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry))
	if err != nil {
		return errors.Wrap(err, "set up metrics")
	}
	t.metrics = metric.NewMeterProvider(metric.WithReader(exporter), metric.WithResource(res))
	otel.SetMeterProvider(t.metrics)
	t.handler = promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
	return nil
}

// Handler returns the handler that serves the metrics in the format of Prometheus.
func (t *Tracer) Handler() http.Handler {
	return t.handler
}

// Stop exports the remaining spans and closes the exporters and the trace file.
func (t *Tracer) Stop(ctx context.Context) error {
	err := t.spans.Shutdown(ctx)
	if metricErr := t.metrics.Shutdown(ctx); err == nil {
		err = metricErr
	}
	if t.file != nil {
		_ = t.file.Close()
	}
	return errors.Wrap(err, "stop tracer")
}

// NewLog returns a logger that writes JSON lines to standard output, each with the VM's ID and availability zone.
func NewLog(s loader.Settings) logrus.FieldLogger {
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{})
	log.SetOutput(os.Stdout)
	if level, err := logrus.ParseLevel(s.Log.Level); err == nil {
		log.SetLevel(level)
	}
	return log.WithFields(logrus.Fields{"vm": s.VM.ID, "availabilityZone": s.VM.AvailabilityZone})
}
