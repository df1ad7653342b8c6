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

// answerSlack is how much longer than a request's time limit a caller waits
// for its answer.
const answerSlack = 5 * time.Second

// Target is the fleet that a run drives.
type Target struct {
	// Entries are the base URLs of the callers' interfaces.
	Entries []string
	// Runs asks the endpoints how often they ran each key; nil when they can't
	// be asked.
	Runs func(context.Context) (map[fleet.Key]int, error)
	// TimeLimit is what callers ask for; zero leaves it to the service.
	TimeLimit time.Duration
	// BodySize is the size of a request's body, in bytes.
	BodySize int
}

// Run drives the target until the run's time is over or the context ends, and
// returns what became of the requests.
func Run(ctx context.Context, cfg Config, target Target) (Summary, error) {
	cfg.Entries = len(target.Entries)
	d := &driver{
		target:   target,
		run:      fmt.Sprintf("%d", cfg.Seed),
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
	// Calls outlive the context of the run: those in flight are awaited.
	background, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	d.background = background
	go d.loop.Run(background)
	defer d.calls.StopAndWait()
	_ = d.loop.Post(Started{}) // fails only after the end
	return d.wait(ctx)
}

type driver struct {
	target     Target
	run        string
	loop       *loop.Loop[Event, Effect]
	http       *resty.Client
	calls      pond.Pool
	finished   chan Summary
	failed     chan error
	background context.Context
}

// newClient returns a client that sends each request once. Without a way to
// get the body again, net/http does not repeat a request after its connection
// broke, as it otherwise does for one with an idempotency key.
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
			_ = d.loop.Post(StopRequested{}) // fails only after the end
		}
	}
}

// act runs on the loop's goroutine and must not block.
func (d *driver) act(e Effect) {
	switch e := e.(type) {
	case Call:
		d.submit(func() {
			_ = d.loop.Post(d.call(e)) // fails only after the end
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

// fail keeps the first error.
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
	_ = d.loop.Post(counted) // fails only after the end
}

// call makes one request and says how it ended.
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
		done.Ran = ranOf(resp.Header().Get("Banyanrail-Ran"))
		done.BodyMatches = bytes.Equal(resp.Body(), body)
	}
	return done
}

// body is unique for each request of each run; endpoints answer with it.
func (d *driver) body(c Call) []byte {
	body := fmt.Appendf(nil, "%s/%d/%s/", d.run, c.ID, c.Key)
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

func ranOf(header string) fleet.Ran {
	for _, r := range []fleet.Ran{fleet.RanNo, fleet.RanYes} {
		if header == r.String() {
			return r
		}
	}
	return fleet.RanUnknown
}
