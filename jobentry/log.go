package jobentry

import (
	"context"
	"fmt"
	"log/slog"
	"strings"

	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/samber/oops"
)

// log writes a decision as a log line.
func (e *Entry) log(d *effect.Decision) {
	level := slog.LevelInfo
	if d.Warning {
		level = slog.LevelWarn
	}
	e.deps.Logger.LogAttrs(context.Background(), level, d.Name, attributes(d)...)
}

// attributes returns the fields of a decision that are set.
func attributes(d *effect.Decision) []slog.Attr {
	out := make([]slog.Attr, 0, 14)
	text := func(key, value string) {
		if value != "" {
			out = append(out, slog.String(key, value))
		}
	}
	number := func(key string, value int64) {
		if value != 0 {
			out = append(out, slog.Int64(key, value))
		}
	}
	text("job", string(d.Job))
	text("task", d.Task)
	text("queue", string(d.Queue))
	text("tenant", string(d.Tenant))
	text("runner", string(d.Runner))
	text("about", string(d.Entry))
	text("outcome", d.Outcome)
	text("reason", string(d.Reason))
	number("attempt", d.Attempt)
	number("epoch", d.Epoch)
	number("version", d.Version)
	number("incarnation", int64(d.Incarnation))
	number("count", int64(d.Count))
	number("age_ms", d.Age.Milliseconds())
	number("ran_ms", d.Ran.Milliseconds())
	return out
}

// describe returns an error on one line, with the operation that failed and the peer
// at which it failed.
func describe(err error) string {
	text := strings.ReplaceAll(err.Error(), "\n", ": ")
	if o, ok := oops.AsOops(err); ok {
		c := o.Context()
		return fmt.Sprintf("%v at %v: %s", c["step"], c["peer"], text)
	}
	return text
}
