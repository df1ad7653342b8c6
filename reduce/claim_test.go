package reduce_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce"
	"github.com/banyanrail/banyanrail/reduce/claims"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/shoenig/test/must"
)

// claimLog is an in-memory log of claim groups that several entries share.
type claimLog struct {
	groups []claims.Positioned
	oldest fleet.Offset
	// dropped is the number of groups that were removed from memory.
	dropped int
}

func newClaimLog() *claimLog { return &claimLog{oldest: 1} }

func (l *claimLog) append(g claims.Group) {
	l.groups = append(l.groups, claims.Positioned{Offset: fleet.Offset(l.dropped + len(l.groups) + 1), Group: g})
}

// claimant is an entry that appends to the log and reads it.
type claimant struct {
	*harness
	log  *claimLog
	read int
}

func newClaimant(log *claimLog, id fleet.EntryID) *claimant {
	return newClaimantOf(log, id, permitText())
}

func newClaimantOf(log *claimLog, id fleet.EntryID, text *fleet.Text) *claimant {
	h := &harness{state: reduce.New(reduce.Config{Entry: id, Seed: 7, MaxRequests: 100, Incarnation: 1}), now: epoch}
	c := &claimant{harness: h, log: log}
	c.appendAll(h.do(event.Started{}))
	h.do(event.RecordsRead{Records: []control.Positioned{{
		Offset: 1,
		Record: control.Record{ID: "text", Body: control.Publish{Text: text}},
	}}, Next: 2, Oldest: 1})
	c.catchUp()
	return c
}

// appendAll appends the groups in the effects to the log.
func (c *claimant) appendAll(out []effect.Effect) []effect.Effect {
	for _, a := range effectsOf[effect.AppendClaims](out) {
		c.log.append(a.Group)
	}
	return out
}

// catchUp reads the rest of the log.
func (c *claimant) catchUp() []effect.Effect {
	from := max(c.read, int(c.log.oldest)-1)
	page := c.log.groups[from:]
	c.read = len(c.log.groups)
	return c.do(event.ClaimsRead{Groups: page, Oldest: c.log.oldest})
}

// waitForGroup advances the time until the next group is appended.
func (c *claimant) waitForGroup() []effect.Effect {
	return c.after(reduce.DefaultClaimInterval, event.TimerFired{})
}

// keyAt returns a UUIDv7 with the given time.
func keyAt(at time.Time, n int) fleet.Key {
	ms := at.UnixMilli()
	return fleet.Key(fmt.Sprintf("%08x-%04x-7000-8000-%012x", ms>>16, ms&0xffff, n))
}

func permit(id fleet.RequestID, key fleet.Key) event.RequestArrived {
	return event.RequestArrived{ID: id, Service: "permit", Member: "lawa", Key: key, BodyHash: 1}
}

func finished(a fleet.AttemptID, o event.AttemptOutcome) event.AttemptFinished {
	return event.AttemptFinished{Attempt: a, Instance: "runner-1", Outcome: o, Status: 200}
}

// run drives a request from its arrival to its dispatch.
func (c *claimant) run(t *testing.T, id fleet.RequestID, key fleet.Key) effect.Dispatch {
	t.Helper()
	out := c.do(permit(id, key))
	must.Len(t, 0, effectsOf[effect.Dispatch](out))
	c.appendAll(append(out, c.waitForGroup()...))
	sent := effectsOf[effect.Dispatch](c.catchUp())
	must.Len(t, 1, sent)
	return sent[0]
}

func refusal(t *testing.T, out []effect.Effect) effect.Refuse {
	t.Helper()
	refused := effectsOf[effect.Refuse](out)
	must.Len(t, 1, refused)
	return refused[0]
}

func TestKeyIsCheckedBeforeAnythingRuns(t *testing.T) {
	now := epoch.Add(time.Hour)
	cases := []struct {
		name   string
		key    fleet.Key
		reason fleet.Reason
	}{
		{"missing", "", fleet.ReasonKeyMissing},
		{"not a uuid", "permit-7", fleet.ReasonKeyMalformed},
		{"version 4", "0188a9c4-3a52-4f1e-8a35-1f2d3c4b5a69", fleet.ReasonKeyMalformed},
		{"upper case", "0188A9C4-3A52-7F1E-8A35-1F2D3C4B5A69", fleet.ReasonKeyMalformed},
		{"urn form", "urn:uuid:" + keyAt(now, 1), fleet.ReasonKeyMalformed},
		{"expired", keyAt(now.Add(-claims.MaxKeyAge-time.Millisecond), 1), fleet.ReasonKeyExpired},
		{"oldest allowed", keyAt(now.Add(-claims.MaxKeyAge), 1), fleet.ReasonNone},
		{"newest allowed", keyAt(now.Add(claims.MaxSkew), 1), fleet.ReasonNone},
		{"from the future", keyAt(now.Add(claims.MaxSkew+time.Millisecond), 1), fleet.ReasonKeyFromFuture},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newClaimant(newClaimLog(), "entry-1")
			c.now = now
			c.catchUp()
			out := c.do(permit(1, tc.key))
			if tc.reason == fleet.ReasonNone {
				must.Len(t, 0, effectsOf[effect.Refuse](out))
				return
			}
			r := refusal(t, out)
			must.EqOp(t, tc.reason, r.Reason)
			must.EqOp(t, fleet.RanNo, r.Ran)
		})
	}
}

func TestDispatchWaitsForItsClaim(t *testing.T) {
	c := newClaimant(newClaimLog(), "entry-1")
	d := c.run(t, 1, keyAt(epoch, 1))
	must.EqOp(t, fleet.Offset(2), d.Fence)
}

func TestFirstOfTwoEntriesRunsAndBothAnswer(t *testing.T) {
	log := newClaimLog()
	a, b := newClaimant(log, "entry-1"), newClaimant(log, "entry-2")
	a.catchUp()
	key := keyAt(epoch, 1)
	first := append(a.do(permit(1, key)), a.waitForGroup()...)
	second := append(b.do(permit(1, key)), b.waitForGroup()...)
	a.appendAll(first)
	b.appendAll(second)
	sent := effectsOf[effect.Dispatch](a.catchUp())
	must.Len(t, 1, sent)
	must.Len(t, 0, effectsOf[effect.Dispatch](b.catchUp()))

	a.appendAll(append(a.do(finished(sent[0].Attempt, event.AttemptAnswered)), a.waitForGroup()...))
	fetch := effectsOf[effect.FetchAnswer](b.catchUp())
	must.Len(t, 1, fetch)
	must.EqOp(t, sent[0].Fence+2, fetch[0].Offset)
	must.Len(t, 1, effectsOf[effect.Answer](b.do(event.AnswerFetched{Request: 1, Found: true})))
}

func TestWaitingRequestOfOneEntryGetsTheFirstAnswer(t *testing.T) {
	c := newClaimant(newClaimLog(), "entry-1")
	key := keyAt(epoch, 1)
	d := c.run(t, 1, key)
	must.Len(t, 0, effectsOf[effect.Dispatch](c.do(permit(2, key))))
	answers := effectsOf[effect.Answer](c.do(finished(d.Attempt, event.AttemptAnswered)))
	must.Len(t, 2, answers)
	must.EqOp(t, answers[0].Attempt, answers[1].Attempt)
}

func TestKeyWithAnotherBodyDidNotRun(t *testing.T) {
	c := newClaimant(newClaimLog(), "entry-1")
	key := keyAt(epoch, 1)
	c.run(t, 1, key)
	other := permit(2, key)
	other.BodyHash = 2
	r := refusal(t, c.do(other))
	must.EqOp(t, fleet.ReasonKeyReused, r.Reason)
	must.EqOp(t, fleet.RanNo, r.Ran)
}

func TestBrokenAttemptIsNeverRunAgain(t *testing.T) {
	log := newClaimLog()
	a, b := newClaimant(log, "entry-1"), newClaimant(log, "entry-2")
	a.catchUp()
	key := keyAt(epoch, 1)
	d := a.run(t, 1, key)
	out := a.do(finished(d.Attempt, event.AttemptBroken))
	must.EqOp(t, fleet.RanUnknown, refusal(t, out).Ran)
	a.appendAll(append(out, a.waitForGroup()...))
	b.catchUp()
	r := refusal(t, b.do(permit(1, key)))
	must.EqOp(t, fleet.ReasonInDoubt, r.Reason)
	must.EqOp(t, fleet.RanUnknown, r.Ran)
}

func TestReleasedKeyRunsOnAnotherEntry(t *testing.T) {
	log := newClaimLog()
	a, b := newClaimant(log, "entry-1"), newClaimant(log, "entry-2")
	a.catchUp()
	key := keyAt(epoch, 1)
	d := a.run(t, 1, key)
	for d.Attempt.Number < 3 {
		d = effectsOf[effect.Dispatch](a.do(finished(d.Attempt, event.AttemptNotSent)))[0]
	}
	b.catchUp()
	b.do(permit(1, key))
	out := a.do(finished(d.Attempt, event.AttemptNotSent))
	must.EqOp(t, fleet.RanNo, refusal(t, out).Ran)
	a.appendAll(append(out, a.waitForGroup()...))
	b.appendAll(append(b.catchUp(), b.waitForGroup()...))
	must.Len(t, 1, effectsOf[effect.Dispatch](b.catchUp()))
}

func TestDeadClaimantLeavesItsKeyInDoubt(t *testing.T) {
	log := newClaimLog()
	a, b := newClaimant(log, "entry-1"), newClaimant(log, "entry-2")
	a.catchUp()
	key := keyAt(epoch, 1)
	a.run(t, 1, key)
	b.catchUp()
	b.do(permit(1, key))
	r := refusal(t, b.after(5*time.Second, event.TimerFired{}))
	must.EqOp(t, fleet.ReasonInDoubt, r.Reason)
	must.EqOp(t, fleet.RanUnknown, r.Ran)

	b.now = b.now.Add(3 * time.Second)
	r = refusal(t, b.do(permit(2, key)))
	must.EqOp(t, fleet.ReasonInDoubt, r.Reason)
	must.EqOp(t, fleet.RanUnknown, r.Ran)
}

func TestRestartedEntryDoesNotOwnItsOldClaims(t *testing.T) {
	log := newClaimLog()
	key := keyAt(epoch, 1)
	newClaimant(log, "entry-1").run(t, 1, key)
	restarted := newClaimant(log, "entry-1")
	restarted.state = reduce.New(reduce.Config{Entry: "entry-1", Seed: 7, MaxRequests: 100, Incarnation: 2})
	restarted.read = 0
	must.Len(t, 0, effectsOf[effect.Dispatch](restarted.catchUp()))
	restarted.do(event.RecordsRead{Records: []control.Positioned{{
		Offset: 1,
		Record: control.Record{ID: "text", Body: control.Publish{Text: permitText()}},
	}}, Next: 2, Oldest: 1})
	restarted.appendAll(restarted.do(event.Started{}))
	restarted.catchUp()
	must.Len(t, 0, effectsOf[effect.Refuse](restarted.do(permit(1, key))))
	r := refusal(t, restarted.after(5*time.Second, event.TimerFired{}))
	must.EqOp(t, fleet.RanUnknown, r.Ran)
}

func TestPausedClaimantRunsNothingAfterItsDeadline(t *testing.T) {
	c := newClaimant(newClaimLog(), "entry-1")
	c.appendAll(append(c.do(permit(1, keyAt(epoch, 1))), c.waitForGroup()...))
	c.now = c.now.Add(time.Minute)
	out := c.catchUp()
	must.Len(t, 0, effectsOf[effect.Dispatch](out))
	must.EqOp(t, fleet.RanNo, refusal(t, out).Ran)
	must.EqOp(t, fleet.ReasonDeadline, refusal(t, out).Reason)
	out = append(out, c.waitForGroup()...)
	released := effectsOf[effect.AppendClaims](out)
	must.Len(t, 1, released)
	must.Eq(t, claims.Item(claims.Released{Ref: claims.Ref{
		Scope:  claims.Scope{Service: "permit", Member: "lawa", Key: keyAt(epoch, 1)},
		Record: c.log.groups[1].Group.ID,
	}}), released[0].Group.Items[0])
}

func TestLostClaimAppendAnswerIsSettledByReading(t *testing.T) {
	for _, inLog := range []bool{true, false} {
		t.Run(fmt.Sprintf("in log %t", inLog), func(t *testing.T) {
			c := newClaimant(newClaimLog(), "entry-1")
			out := append(c.do(permit(1, keyAt(epoch, 1))), c.waitForGroup()...)
			group := effectsOf[effect.AppendClaims](out)[0].Group
			if inLog {
				c.log.append(group)
			}
			c.do(event.AppendFinished{ID: group.ID, Outcome: event.AppendUnknown, Err: errors.New("lost")})
			sent := effectsOf[effect.Dispatch](c.catchUp())
			again := c.after(claims.ReadBackTimeout, event.TimerFired{})
			c.appendAll(again)
			sent = append(sent, effectsOf[effect.Dispatch](c.catchUp())...)
			must.Len(t, 1, sent)
			must.EqOp(t, !inLog, len(effectsOf[effect.AppendClaims](again)) == 1)
		})
	}
}

// A claim whose request was refused as not run may still reach the log, before
// or after its release.
func TestLateClaimOfARefusedRequestDoesNotBlockItsKey(t *testing.T) {
	for _, releaseFirst := range []bool{true, false} {
		t.Run(fmt.Sprintf("release first %t", releaseFirst), func(t *testing.T) {
			log := newClaimLog()
			a, b := newClaimant(log, "entry-1"), newClaimant(log, "entry-2")
			a.catchUp()
			key := keyAt(epoch, 1)
			out := append(a.do(permit(1, key)), a.waitForGroup()...)
			claim := effectsOf[effect.AppendClaims](out)[0].Group
			a.do(event.AppendFinished{ID: claim.ID, Outcome: event.AppendUnknown, Err: errors.New("lost")})
			out = a.after(5*time.Second, event.TimerFired{})
			r := refusal(t, out)
			must.EqOp(t, fleet.ReasonLogUnavailable, r.Reason)
			must.EqOp(t, fleet.RanNo, r.Ran)
			release := releaseOf(t, append(out, a.waitForGroup()...))
			if releaseFirst {
				log.append(release)
				log.append(claim)
			} else {
				log.append(claim)
				log.append(release)
			}
			log.append(claim)
			must.Len(t, 0, effectsOf[effect.Dispatch](a.catchUp()))
			b.now = a.now
			b.catchUp()
			b.after(time.Second, event.TimerFired{}) // b had no events for 5 s, which looks like a pause
			must.EqOp(t, fleet.Offset(len(log.groups)+1), b.run(t, 1, key).Fence)
		})
	}
}

func releaseOf(t *testing.T, out []effect.Effect) claims.Group {
	t.Helper()
	for _, a := range effectsOf[effect.AppendClaims](out) {
		if _, ok := a.Group.Items[0].(claims.Released); ok {
			return a.Group
		}
	}
	t.Fatal("no release was appended")
	return claims.Group{}
}

// A claim that may be in the log blocks its key until it is released.
func TestClaimThatMayBeInTheLogIsReleased(t *testing.T) {
	cases := map[string][]event.AppendOutcome{
		"under way":           nil,
		"unknown":             {event.AppendUnknown},
		"unknown then failed": {event.AppendUnknown, event.AppendFailed},
	}
	for name, outcomes := range cases {
		t.Run(name, func(t *testing.T) {
			c := newClaimant(newClaimLog(), "entry-1")
			out := append(c.do(permit(1, keyAt(epoch, 1))), c.waitForGroup()...)
			group := effectsOf[effect.AppendClaims](out)[0].Group
			for _, o := range outcomes {
				c.do(event.AppendFinished{ID: group.ID, Outcome: o, Err: errors.New("fault")})
			}
			out = c.do(event.RequestCancelled{ID: 1})
			must.EqOp(t, fleet.RanNo, refusal(t, out).Ran)
			releaseOf(t, append(out, c.waitForGroup()...))
		})
	}
}

// A claim that follows the release of another claim takes effect as the first.
func TestClaimTakesEffectWhenTheOneBeforeItWasReleased(t *testing.T) {
	log := newClaimLog()
	a, b := newClaimant(log, "entry-1"), newClaimant(log, "entry-2")
	key := keyAt(epoch, 1)
	late := effectsOf[effect.AppendClaims](append(a.do(permit(1, key)), a.waitForGroup()...))[0].Group
	b.appendAll(append(b.do(permit(1, key)), b.waitForGroup()...))
	a.catchUp()
	b.appendAll(append(b.do(event.RequestCancelled{ID: 1}), b.waitForGroup()...))
	a.catchUp()
	log.append(late)
	must.Len(t, 1, effectsOf[effect.Dispatch](a.catchUp()))
}

// After the maximum age of a key, an earlier claim of it may have been removed
// from the fold.
func TestClaimReadBackAfterMaxKeyAgeDoesNotRun(t *testing.T) {
	text := permitText()
	text.Services[1].TimeLimit = 5 * time.Minute
	c := newClaimantOf(newClaimLog(), "entry-1", text)
	c.now = epoch.Add(claims.MaxKeyAge)
	c.catchUp()
	c.appendAll(append(c.do(permit(1, keyAt(epoch, 1))), c.waitForGroup()...))
	c.now = epoch.Add(claims.MaxKeyAge + claims.MaxSkew + time.Second)
	out := c.catchUp()
	must.Len(t, 0, effectsOf[effect.Dispatch](out))
	must.EqOp(t, fleet.ReasonKeyExpired, refusal(t, out).Reason)
	must.EqOp(t, fleet.RanNo, refusal(t, out).Ran)
}

func TestLogOutageRefusesAsNotRunAndAppendsNothingLater(t *testing.T) {
	c := newClaimant(newClaimLog(), "entry-1")
	out := append(c.do(permit(1, keyAt(epoch, 1))), c.waitForGroup()...)
	group := effectsOf[effect.AppendClaims](out)[0].Group
	c.do(event.AppendFinished{ID: group.ID, Outcome: event.AppendFailed, Err: errors.New("down")})
	must.Len(t, 1, effectsOf[effect.AppendClaims](c.after(claims.RetryDelay, event.TimerFired{})))
	c.do(event.AppendFinished{ID: group.ID, Outcome: event.AppendFailed, Err: errors.New("down")})
	out = c.do(event.RequestCancelled{ID: 1})
	must.EqOp(t, fleet.RanNo, refusal(t, out).Ran)
	must.Len(t, 0, effectsOf[effect.AppendClaims](c.after(claims.RetryDelay, event.TimerFired{})))
}

func TestEntryCutOffFromTheLogRefusesAtOnce(t *testing.T) {
	c := newClaimant(newClaimLog(), "entry-1")
	out := c.after(10*time.Second, event.TimerFired{})
	must.Eq(t, []effect.SetClaims{{Open: false}}, effectsOf[effect.SetClaims](out))
	r := refusal(t, c.do(permit(1, keyAt(epoch, 1))))
	must.EqOp(t, fleet.ReasonLogUnavailable, r.Reason)
	must.EqOp(t, fleet.RanNo, r.Ran)
	c.after(time.Second, event.TimerFired{}) // c had no events for 10 s, which looks like a pause
	must.Len(t, 1, effectsOf[effect.Dispatch](c.do(arrived(2))))
	must.Eq(t, []effect.SetClaims{{Open: true}}, effectsOf[effect.SetClaims](c.catchUp()))
}

func TestStartingEntryRefusesKeysBeforeItsMarker(t *testing.T) {
	log := newClaimLog()
	key := keyAt(epoch, 1)
	newClaimant(log, "entry-1").run(t, 1, key)
	c := newClaimant(&claimLog{oldest: 1}, "entry-2")
	marker := c.log.groups[0].Group
	c.harness = &harness{state: reduce.New(reduce.Config{Entry: "entry-2", Seed: 7, MaxRequests: 100, Incarnation: 1}), now: epoch}
	c.do(event.Started{})
	c.do(event.RecordsRead{Records: []control.Positioned{{
		Offset: 1,
		Record: control.Record{ID: "text", Body: control.Publish{Text: permitText()}},
	}}, Next: 2, Oldest: 1})
	must.EqOp(t, fleet.ReasonLogUnavailable, refusal(t, c.do(permit(1, key))).Reason)
	c.log, c.read = log, 0
	c.catchUp()
	must.EqOp(t, fleet.ReasonLogUnavailable, refusal(t, c.do(permit(1, key))).Reason)
	log.append(marker)
	c.catchUp()
	must.Len(t, 0, effectsOf[effect.Refuse](c.do(permit(2, key))))
	must.Len(t, 0, effectsOf[effect.Dispatch](c.waitForGroup()))
}

func permitText() *fleet.Text { return withPermit(oneInstanceText(4)) }

func withPermit(text *fleet.Text) *fleet.Text {
	text.Services = append(text.Services, fleet.Service{
		Name: "permit", Pool: "main", TimeLimit: 5 * time.Second, MaxBody: 100, MaxQueue: 10, MaxAttempts: 3,
	})
	return text
}

func TestTrimmedRecordsLeaveTheirKeysInDoubt(t *testing.T) {
	log := newClaimLog()
	early := newClaimant(log, "entry-1")
	key := keyAt(epoch, 1)
	early.run(t, 1, key)
	log.oldest = 3
	late := newClaimant(log, "entry-2")
	r := refusal(t, late.do(permit(1, key)))
	must.EqOp(t, fleet.ReasonInDoubt, r.Reason)
	must.EqOp(t, fleet.RanUnknown, r.Ran)
	late.now = late.now.Add(10 * time.Minute)
	late.catchUp()
	must.Len(t, 0, effectsOf[effect.Refuse](late.do(permit(2, keyAt(late.now, 2)))))
}

func TestAnswerThatWasNotKeptSaysThatItRan(t *testing.T) {
	c := newClaimant(newClaimLog(), "entry-1")
	key := keyAt(epoch, 1)
	d := c.run(t, 1, key)
	out := append(c.do(finished(d.Attempt, event.AttemptAnswered)), c.waitForGroup()...)
	group := effectsOf[effect.AppendClaims](out)[0].Group
	outcome := group.Items[0].(claims.Answered)
	outcome.Kept = false
	group.Items = []claims.Item{outcome}
	c.log.append(group)
	c.catchUp()
	r := refusal(t, c.do(permit(2, key)))
	must.EqOp(t, fleet.ReasonAnswerNotKept, r.Reason)
	must.EqOp(t, fleet.RanYes, r.Ran)
}

func TestFullQueueRefusesBeforeTheClaim(t *testing.T) {
	text := permitText()
	text.Pools[0].Slots = 1
	text.Services[1].MaxQueue = 1
	c := newClaimantOf(newClaimLog(), "entry-1", text)
	c.run(t, 1, keyAt(epoch, 1))
	c.appendAll(append(c.do(permit(2, keyAt(epoch, 2))), c.waitForGroup()...))
	must.Len(t, 0, effectsOf[effect.Dispatch](c.catchUp()))
	r := refusal(t, c.do(permit(3, keyAt(epoch, 3))))
	must.EqOp(t, fleet.ReasonQueueFull, r.Reason)
	must.EqOp(t, fleet.RanNo, r.Ran)
	must.Len(t, 0, effectsOf[effect.AppendClaims](c.waitForGroup()))
}

func TestManyRequestsShareAGroup(t *testing.T) {
	c := newClaimant(newClaimLog(), "entry-1")
	var out []effect.Effect
	for i := range 100 {
		out = append(out, c.do(permit(fleet.RequestID(i+1), keyAt(epoch, i)))...)
	}
	must.Len(t, 0, effectsOf[effect.AppendClaims](out))
	groups := effectsOf[effect.AppendClaims](c.waitForGroup())
	must.Len(t, 1, groups)
	must.Len(t, 100, groups[0].Group.Items)
}
