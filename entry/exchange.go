package entry

import (
	"context"
	"net/http"
	"sync"

	"github.com/banyanrail/banyanrail/endpoint"
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
)

// exchange is the traffic side of one request: its body, and the answers of
// its attempts until the reducer has chosen one.
type exchange struct {
	id          fleet.RequestID
	key         fleet.Key
	member      fleet.MemberName
	contentType string
	body        []byte
	// ctx carries the trace of the caller's request.
	ctx   context.Context
	reply chan reply
	// attempt is the attempt under way, and cancel ends it.
	attempt int
	cancel  context.CancelFunc
	// cancelled is the last attempt that the reducer has abandoned.
	cancelled int
	// answered is the last attempt that has ended, with its response if any.
	answered int
	response *endpoint.Response
}

// reply is what a caller gets: an answer, or a refusal.
type reply struct {
	response *endpoint.Response
	attempts int
	refusal  effect.Refuse
}

// exchanges holds the exchanges of an entry by request.
type exchanges struct {
	mu   sync.Mutex
	next fleet.RequestID
	byID map[fleet.RequestID]*exchange
}

func newExchanges() *exchanges {
	return &exchanges{byID: make(map[fleet.RequestID]*exchange)}
}

// open takes in a request and gives it its id.
func (t *exchanges) open(ctx context.Context, r *http.Request, body []byte) *exchange {
	x := &exchange{
		key:         fleet.Key(r.Header.Get(headerIdempotencyKey)),
		member:      fleet.MemberName(r.Header.Get(headerMember)),
		contentType: r.Header.Get("Content-Type"),
		body:        body,
		ctx:         ctx,
		reply:       make(chan reply, 1),
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next++
	x.id = t.next
	t.byID[x.id] = x
	return x
}

// close forgets an exchange. What still runs for it ends with its context.
func (t *exchanges) close(x *exchange) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byID, x.id)
}

func (t *exchanges) get(id fleet.RequestID) (*exchange, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x, ok := t.byID[id]
	return x, ok
}

// begin notes how to cancel an attempt. It returns false when the attempt has
// been cancelled already.
func (t *exchanges) begin(x *exchange, attempt int, cancel context.CancelFunc) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if attempt <= x.cancelled {
		return false
	}
	x.attempt, x.cancel = attempt, cancel
	return true
}

// finish keeps the response of an attempt, if there is one.
func (t *exchanges) finish(x *exchange, attempt int, resp *endpoint.Response) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x.cancel = nil
	x.answered, x.response = attempt, resp
}

// cancel abandons an attempt and those before it.
func (t *exchanges) cancel(a fleet.AttemptID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x, ok := t.byID[a.Request]
	if !ok {
		return
	}
	x.cancelled = a.Number
	if x.cancel != nil && x.attempt == a.Number {
		x.cancel()
	}
}

// answer hands the response of an attempt to the caller. The attempt is that of
// another request when two had the same idempotency key.
func (t *exchanges) answer(o effect.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x, ok := t.byID[o.Request]
	if !ok {
		return
	}
	if resp := t.responseOf(o.Attempt); resp != nil {
		x.send(reply{response: resp, attempts: o.Attempts})
	}
}

// response returns what an attempt was answered with.
func (t *exchanges) response(a fleet.AttemptID) (*endpoint.Response, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	resp := t.responseOf(a)
	return resp, resp != nil
}

func (t *exchanges) responseOf(a fleet.AttemptID) *endpoint.Response {
	x, ok := t.byID[a.Request]
	if !ok || x.answered != a.Number {
		return nil
	}
	return x.response
}

// refuse hands a refusal to the caller.
func (t *exchanges) refuse(o effect.Refuse) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x, ok := t.byID[o.Request]
	if !ok {
		return
	}
	x.send(reply{refusal: o, attempts: o.Attempts})
}

// send never blocks: a request has one reply, and the channel holds one.
func (x *exchange) send(r reply) {
	select {
	case x.reply <- r:
	default:
	}
}
