package jobs

import "time"

// A call to a runner names the runner's id, not its incarnation, and a call without an answer
// may be carried out some seconds later, by the incarnation that is up then. A runner does
// nothing for a token below the highest that it has seen. So the token rises with each call
// that had no answer and with each incarnation that is seen: the first answer to a call with
// the new token shows that the incarnation which gave it refuses all earlier calls.

// tokenBits is the size of the part of a fencing token that counts within a tenure. With the epoch
// above it, tokens are whole numbers that JSON carries exactly up to 2^25 tenures.
const tokenBits = 28

// tokens is the state of the fencing tokens of one runner.
type tokens struct {
	// count is the part of its token that counts within the tenure.
	count int64
	// used is set once a call that changes something at the runner had the current token, and
	// callableUntil is until when the last such call may be carried out.
	used          bool
	callableUntil time.Time
}

// token returns the fencing token of calls to a runner.
func (o *ownership) token(r *runner) int64 { return o.epoch<<tokenBits | r.tokens.count }

// useToken notes that a call that changes something at a runner has its current token.
func (o *ownership) useToken(r *runner) {
	r.tokens.used, r.tokens.callableUntil = true, o.callableUntil()
}

// raiseToken gives later calls to a runner a higher token than a given one, if that is current. Unanswered polls
// that change nothing do not raise it, so a runner that is gone does not use the tokens up.
func (o *ownership) raiseToken(r *runner, token int64) {
	if r.tokens.used && token == o.token(r) && o.lastToken < 1<<tokenBits-1 {
		o.lastToken++
		r.tokens.count, r.tokens.used = o.lastToken, false
		o.s.count("tokens_raised", "")
	}
}
