package daemon

import (
	"io"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the time between reports of the metrics.
const reportInterval = time.Second

// NewMetricsScope returns the process's root scope, the handler that serves it in the
// Prometheus text format, and what ends it.
func NewMetricsScope(tags map[string]string) (tally.Scope, http.Handler, io.Closer) {
	reporter := prometheus.NewReporter(prometheus.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "banyanrail",
		Tags:            tags,
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportInterval)
	return scope, reporter.HTTPHandler(), closer
}
