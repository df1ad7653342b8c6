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

// NewTracerProvider returns a provider that exports spans by OTLP over HTTP to a
// URL, and a function that flushes and stops it. It samples a share, from 0 to 1,
// of the traces that start in this process. A trace that starts at the caller
// follows the caller's sampling decision. If the URL is empty, the provider
// exports nothing.
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
