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
	ctx       context.Context
	reply     chan reply
	responses map[int]*endpoint.Response
	cancels   map[int]context.CancelFunc
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

// close forgets an exchange and cancels what still runs for it.
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

// begin notes how to cancel an attempt.
func (t *exchanges) begin(x *exchange, attempt int, cancel context.CancelFunc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if x.cancels == nil {
		x.cancels = make(map[int]context.CancelFunc, 1)
	}
	x.cancels[attempt] = cancel
}

// finish keeps the response of an attempt, if there is one.
func (t *exchanges) finish(x *exchange, attempt int, resp *endpoint.Response) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(x.cancels, attempt)
	if resp == nil {
		return
	}
	if x.responses == nil {
		x.responses = make(map[int]*endpoint.Response, 1)
	}
	x.responses[attempt] = resp
}

// cancel abandons an attempt.
func (t *exchanges) cancel(a fleet.AttemptID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x, ok := t.byID[a.Request]
	if !ok {
		return
	}
	if cancel, ok := x.cancels[a.Number]; ok {
		cancel()
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
	x.send(reply{response: t.responseOf(o.Attempt), attempts: o.Attempts})
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
	if !ok {
		return nil
	}
	return x.responses[a.Number]
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
