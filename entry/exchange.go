package entry

import (
	"context"
	"net/http"
	"sync"

	"github.com/banyanrail/banyanrail/endpoint"
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
)

// exchange holds the data of one request outside the control state: its body,
// its attempt in flight, and the response of its last attempt.
type exchange struct {
	id          fleet.RequestID
	key         fleet.Key
	member      fleet.MemberName
	contentType string
	body        []byte
	// ctx carries the trace context of the caller's request.
	ctx   context.Context
	reply chan reply
	// currentAttempt is the number of the attempt in flight. cancelCurrent
	// cancels it, and is nil if no attempt is in flight.
	currentAttempt int
	cancelCurrent  context.CancelFunc
	// cancelledAttempt is the number of the last attempt that was cancelled.
	cancelledAttempt int
	// endedAttempt is the number of the last attempt that ended. response is its
	// response, or nil if it has none.
	endedAttempt int
	response     *endpoint.Response
}

// reply is the reply to a caller: a response, or a refusal if response is nil.
type reply struct {
	response *endpoint.Response
	attempts int
	refusal  effect.Refuse
}

// exchanges holds the exchanges of an entry by request id.
type exchanges struct {
	mu     sync.Mutex
	lastID fleet.RequestID
	byID   map[fleet.RequestID]*exchange
}

func newExchanges() *exchanges {
	return &exchanges{byID: make(map[fleet.RequestID]*exchange)}
}

// open creates the exchange of a request and assigns its id.
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
	t.lastID++
	x.id = t.lastID
	t.byID[x.id] = x
	return x
}

// close removes an exchange. An attempt that is still in flight ends with the
// context of the exchange.
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

// startAttempt registers the function that cancels an attempt. It returns false
// if the attempt has been cancelled already.
func (t *exchanges) startAttempt(x *exchange, attempt int, cancel context.CancelFunc) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if attempt <= x.cancelledAttempt {
		return false
	}
	x.currentAttempt, x.cancelCurrent = attempt, cancel
	return true
}

// endAttempt stores the response of an attempt, which may be nil.
func (t *exchanges) endAttempt(x *exchange, attempt int, resp *endpoint.Response) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x.cancelCurrent = nil
	x.endedAttempt, x.response = attempt, resp
}

// cancelAttempt cancels an attempt and the earlier attempts of its request.
func (t *exchanges) cancelAttempt(a fleet.AttemptID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x, ok := t.byID[a.Request]
	if !ok {
		return
	}
	x.cancelledAttempt = a.Number
	if x.cancelCurrent != nil && x.currentAttempt == a.Number {
		x.cancelCurrent()
	}
}

// answer sends the response of an attempt to the caller. The attempt may belong
// to another request with the same idempotency key.
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

// response returns the response of an attempt, or false if there is none.
func (t *exchanges) response(a fleet.AttemptID) (*endpoint.Response, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	resp := t.responseOf(a)
	return resp, resp != nil
}

func (t *exchanges) responseOf(a fleet.AttemptID) *endpoint.Response {
	x, ok := t.byID[a.Request]
	if !ok || x.endedAttempt != a.Number {
		return nil
	}
	return x.response
}

// refuse sends a refusal to the caller.
func (t *exchanges) refuse(o effect.Refuse) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x, ok := t.byID[o.Request]
	if !ok {
		return
	}
	x.send(reply{refusal: o, attempts: o.Attempts})
}

// send passes a reply to the caller's goroutine. It never blocks: the channel has
// room for one reply, and further replies to the request are dropped.
func (x *exchange) send(r reply) {
	select {
	case x.reply <- r:
	default:
	}
}
