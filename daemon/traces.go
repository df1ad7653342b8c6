package daemon

import (
	"context"

	"github.com/samber/oops"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// NewTracerProvider returns a provider that exports spans by OTLP over HTTP to a URL, and
// what flushes and ends it. A share of the traces that start here is kept, and
// all that their caller keeps. An empty URL keeps none.
func NewTracerProvider(ctx context.Context, url string, share float64, id string) (trace.TracerProvider, func(context.Context) error, error) {
	if url == "" {
		return noop.NewTracerProvider(), func(context.Context) error { return nil }, nil
	}
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(url))
	if err != nil {
		return nil, nil, oops.In("daemon").With("step", "open trace exporter", "peer", url).Wrap(err)
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(share))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "banyanraild"),
			attribute.String("service.instance.id", id),
		)),
	)
	return provider, provider.Shutdown, nil
}
