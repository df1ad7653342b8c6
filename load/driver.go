package load

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/loop"
	"github.com/go-resty/resty/v2"
)

// answerSlack is how long a caller waits for an answer beyond the time limit of
// its request.
const answerSlack = 5 * time.Second

// Target is the fleet that a run sends requests to.
type Target struct {
	// Entries are the base URLs of the callers' interfaces.
	Entries []string
	// Runs returns how often the endpoints ran the request of each key. It is nil
	// if the endpoints can't be queried.
	Runs func(context.Context) (map[fleet.Key]int, error)
	// TimeLimit is the time limit of each request. If it is zero, the service's
	// own limit applies.
	TimeLimit time.Duration
	// BodySize is the size of a request's body, in bytes.
	BodySize int
}

// Run sends requests to the target until the run's duration has passed or the
// context is done. It waits for the requests in flight and returns a summary of
// their outcomes.
func Run(ctx context.Context, cfg Config, target Target) (Summary, error) {
	cfg.Entries = len(target.Entries)
	d := &driver{
		target:   target,
		runID:    fmt.Sprintf("%d", cfg.Seed),
		http:     newClient(cfg.MaxInFlight),
		calls:    pond.NewPool(cfg.MaxInFlight),
		finished: make(chan Summary, 1),
		failed:   make(chan error, 1),
	}
	state := New(cfg)
	d.loop = loop.New(loop.Config[Event, Effect]{
		QueueSize: cfg.MaxInFlight + loop.DefaultQueueSize,
		Reduce:    state.Reduce,
		Act:       d.act,
		Timer:     timerOf,
		Wake:      TimerFired{},
	})
	// Calls in flight complete after ctx is done, so they need another context.
	background, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	d.background = background
	go d.loop.Run(background)
	defer d.calls.StopAndWait()
	_ = d.loop.Post(Started{}) // fails only once the loop has stopped
	return d.wait(ctx)
}

type driver struct {
	target     Target
	runID      string
	loop       *loop.Loop[Event, Effect]
	http       *resty.Client
	calls      pond.Pool
	finished   chan Summary
	failed     chan error
	background context.Context
}

// newClient returns a client that sends each request once. It clears GetBody:
// with it, net/http retries a request with an idempotency key after its
// connection breaks.
func newClient(connections int) *resty.Client {
	c := resty.NewWithClient(&http.Client{Transport: transport(connections), Timeout: maxLatency})
	return c.SetPreRequestHook(func(_ *resty.Client, req *http.Request) error {
		req.GetBody = nil
		return nil
	})
}

func transport(connections int) *http.Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxIdleConns, t.MaxIdleConnsPerHost = connections, connections
	return t
}

func timerOf(e Effect) (time.Time, bool) {
	t, ok := e.(SetTimer)
	return t.At, ok
}

func (d *driver) wait(ctx context.Context) (Summary, error) {
	stopped := ctx.Done()
	for {
		select {
		case sum := <-d.finished:
			return sum, nil
		case err := <-d.failed:
			return Summary{}, err
		case <-stopped:
			stopped = nil
			_ = d.loop.Post(StopRequested{}) // fails only once the loop has stopped
		}
	}
}

// act carries out an effect. It runs on the loop's goroutine and must not block.
func (d *driver) act(e Effect) {
	switch e := e.(type) {
	case Call:
		d.submit(func() {
			_ = d.loop.Post(d.call(e)) // fails only once the loop has stopped
		})
	case CountRuns:
		d.submit(d.countRuns)
	case Finished:
		d.finished <- e.Summary
	case SetTimer:
	}
}

func (d *driver) submit(task func()) {
	if err := d.calls.Go(task); err != nil {
		d.fail(err)
	}
}

// fail ends the run with an error. Errors after the first are dropped.
func (d *driver) fail(err error) {
	select {
	case d.failed <- err:
	default:
	}
}

func (d *driver) countRuns() {
	var counted RunsCounted
	if d.target.Runs != nil {
		runs, err := d.target.Runs(d.background)
		if err != nil {
			d.fail(err)
			return
		}
		counted.ByKey = runs
	}
	_ = d.loop.Post(counted) // fails only once the loop has stopped
}

// call sends one request and returns its outcome.
func (d *driver) call(c Call) CallFinished {
	body := d.body(c)
	req := d.http.R().
		SetBody(body).
		SetHeader("Content-Type", "application/octet-stream").
		SetHeader("Banyanrail-Member", string(c.Member)).
		SetHeader("Idempotency-Key", string(c.Key)).
		SetPathParam("service", string(c.Service))
	ctx := d.background
	if d.target.TimeLimit > 0 {
		req.SetHeader("Banyanrail-Time-Limit", d.target.TimeLimit.String())
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d.target.TimeLimit+answerSlack)
		defer cancel()
	}
	started := time.Now()
	resp, err := req.SetContext(ctx).Post(d.target.Entries[c.Entry] + "/v1/services/{service}/requests")
	done := CallFinished{ID: c.ID, Answer: answerOf(err), Elapsed: time.Since(started)}
	if done.Answer == AnswerComplete {
		done.Status = resp.StatusCode()
		done.Ran = parseRan(resp.Header().Get("Banyanrail-Ran"))
		done.BodyMatches = bytes.Equal(resp.Body(), body)
	}
	return done
}

// body returns a body that is unique to the request and the run. Endpoints echo
// it.
func (d *driver) body(c Call) []byte {
	body := fmt.Appendf(nil, "%s/%d/%s/", d.runID, c.ID, c.Key)
	if pad := d.target.BodySize - len(body); pad > 0 {
		body = append(body, bytes.Repeat([]byte{'.'}, pad)...)
	}
	return body
}

func answerOf(err error) Answer {
	var op *net.OpError
	var timeout net.Error
	switch {
	case err == nil:
		return AnswerComplete
	case errors.As(err, &op) && op.Op == "dial":
		return AnswerUnreachable
	case errors.Is(err, context.DeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout():
		return AnswerTimedOut
	default:
		return AnswerConnectionLost
	}
}

func parseRan(header string) fleet.Ran {
	for _, r := range []fleet.Ran{fleet.RanNo, fleet.RanYes} {
		if header == r.String() {
			return r
		}
	}
	return fleet.RanUnknown
}
