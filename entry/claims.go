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

func newClaimsReader(e *Entry) *reader {
	return &reader{entry: e, stream: infra.StreamClaims, read: e.claimsRead, firstWait: readWait}
}

// actClaims hands an effect of the claims stream to its driver.
func (e *Entry) actClaims(out effect.Effect) {
	switch o := out.(type) {
	case effect.AppendClaims:
		e.appendClaims(o)
	case effect.ReadClaims:
		e.claims.start(o.From)
	case effect.KeepAnswer:
		e.keepAnswer(o)
	case effect.FetchAnswer:
		e.fetchAnswer(o)
	case effect.SetClaims:
		e.claimsOpen.Store(o.Open)
	}
}

// claimsRead keeps the answers in a page and reports its groups.
func (e *Entry) claimsRead(page infra.Page) event.Body {
	ev := event.ClaimsRead{Oldest: page.Oldest}
	for _, stored := range page.Records {
		rec, err := codec.DecodeClaims(stored.Data)
		for ref, a := range rec.Answers {
			e.answers.put(ref, a)
		}
		ev.Groups = append(ev.Groups, claims.Positioned{Offset: stored.Offset, Group: rec.Group, Err: err})
	}
	return ev
}

// appendClaims writes a group to the claims stream, with the answers that are
// still kept.
func (e *Entry) appendClaims(o effect.AppendClaims) {
	e.appendTo(infra.StreamClaims, o.Group.ID, time.Time{}, func() ([]byte, error) {
		return codec.EncodeClaims(codec.ClaimsRecord{Group: o.Group, Answers: e.answers.of(o.Group)})
	})
}

// keepAnswer copies the answer of an attempt out of its exchange, which the
// caller's goroutine is about to close.
func (e *Entry) keepAnswer(o effect.KeepAnswer) {
	resp, ok := e.exchanges.response(o.Attempt)
	if !ok {
		return
	}
	header := make(http.Header)
	copyHeader(header, resp.Header)
	e.answers.put(o.Claim, codec.Answer{Status: resp.Status, Header: header, Body: resp.Body})
}

// fetchAnswer gives a request the recorded answer of its key, from memory or
// from the log.
func (e *Entry) fetchAnswer(o effect.FetchAnswer) {
	err := e.traffic.Go(func() {
		a, found := e.answers.get(o.Claim)
		var err error
		if !found {
			a, found, err = e.readAnswer(o)
		}
		if found {
			found = e.replay(o.Request, a)
		}
		_ = e.loop.Post(event.AnswerFetched{Request: o.Request, Found: found, Err: err}) // fails only after the end
	})
	if err != nil {
		e.deps.Logger.Error("read after the end", "entry", e.cfg.ID, "request", o.Request, "error", err)
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

// replay puts an answer where the reducer's Answer effect finds it. It returns
// false when the caller has gone.
func (e *Entry) replay(id fleet.RequestID, a codec.Answer) bool {
	x, ok := e.exchanges.get(id)
	if ok {
		e.exchanges.finish(x, 0, &endpoint.Response{Status: a.Status, Header: a.Header, Body: a.Body})
	}
	return ok
}
