package entry

import (
	"time"

	"context"
	"net/http"

	"github.com/banyanrail/banyanrail/codec"
	"github.com/banyanrail/banyanrail/endpoint"
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/infra"
	"github.com/banyanrail/banyanrail/reduce/claims"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/samber/oops"
)

func newClaimsReader(e *Entry) *streamReader {
	return &streamReader{entry: e, stream: infra.StreamClaims, pageEvent: e.claimsRead, firstWait: readPollWait}
}

// actClaims passes an effect that concerns claims to its driver.
func (e *Entry) actClaims(out effect.Effect) {
	switch o := out.(type) {
	case effect.AppendClaims:
		e.appendClaims(o)
	case effect.ReadClaims:
		e.claimsReader.start(o.From)
	case effect.KeepAnswer:
		e.keepAnswer(o)
	case effect.FetchAnswer:
		e.fetchAnswer(o)
	case effect.SetClaims:
		e.claimsOpen.Store(o.Open)
	}
}

// claimsRead caches the answers in a page of the claims stream and returns the
// event with its groups.
func (e *Entry) claimsRead(page infra.Page) event.Body {
	ev := event.ClaimsRead{Oldest: page.Oldest}
	for _, stored := range page.Records {
		rec, err := codec.DecodeClaims(stored.Data)
		for ref, a := range rec.Answers {
			e.answerCache.put(ref, a)
		}
		ev.Groups = append(ev.Groups, claims.Positioned{Offset: stored.Offset, Group: rec.Group, Err: err})
	}
	return ev
}

// appendClaims queues an append of a group to the claims stream, with those of its
// answers that are still cached.
func (e *Entry) appendClaims(o effect.AppendClaims) {
	e.appendTo(infra.StreamClaims, o.Group.ID, time.Time{}, func() ([]byte, error) {
		return codec.EncodeClaims(codec.ClaimsRecord{Group: o.Group, Answers: e.answerCache.answersOf(o.Group)})
	})
}

// keepAnswer copies the response of an attempt from its exchange to the cache,
// since the caller's goroutine closes the exchange soon.
func (e *Entry) keepAnswer(o effect.KeepAnswer) {
	resp, ok := e.exchanges.response(o.Attempt)
	if !ok {
		return
	}
	header := make(http.Header)
	copyHeader(header, resp.Header)
	e.answerCache.put(o.Claim, codec.Answer{Status: resp.Status, Header: header, Body: resp.Body})
}

// fetchAnswer gets the recorded answer of a request's key, from the cache or from
// the log, and stores it in the request's exchange.
func (e *Entry) fetchAnswer(o effect.FetchAnswer) {
	err := e.trafficPool.Go(func() {
		a, found := e.answerCache.get(o.Claim)
		var err error
		if !found {
			a, found, err = e.readAnswer(o)
		}
		if found {
			found = e.replay(o.Request, a)
		}
		_ = e.loop.Post(event.AnswerFetched{Request: o.Request, Found: found, Err: err}) // fails only once the loop has ended
	})
	if err != nil {
		e.deps.Logger.Error("answer fetched after the pool stopped", "entry", e.cfg.ID, "request", o.Request, "error", err)
	}
}

func (e *Entry) readAnswer(o effect.FetchAnswer) (codec.Answer, bool, error) {
	ctx, cancel := context.WithTimeout(e.background, o.Deadline.Sub(e.clock()))
	defer cancel()
	page, err := e.deps.Log.Read(ctx, infra.StreamClaims, o.Offset, 0)
	if err != nil {
		return codec.Answer{}, false, err
	}
	if len(page.Records) == 0 || page.Records[0].Offset != o.Offset {
		return codec.Answer{}, false, nil
	}
	rec, err := codec.DecodeClaims(page.Records[0].Data)
	if err != nil {
		return codec.Answer{}, false, oops.In("entry").With("step", "read answer", "offset", o.Offset).Wrap(err)
	}
	a, found := rec.Answers[o.Claim]
	return a, found, nil
}

// replay stores a recorded answer in the request's exchange as the response of
// attempt 0, which a later Answer effect sends. It returns false if the exchange
// is closed.
func (e *Entry) replay(id fleet.RequestID, a codec.Answer) bool {
	x, ok := e.exchanges.get(id)
	if ok {
		e.exchanges.endAttempt(x, 0, &endpoint.Response{Status: a.Status, Header: a.Header, Body: a.Body})
	}
	return ok
}
