package daemon

import (
	"io"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the interval at which the scope updates the metrics that are
// served.
const reportInterval = time.Second

// NewMetricsScope returns the root scope of the process's metrics, a handler that
// serves them in the Prometheus text format, and a closer that stops the scope.
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
