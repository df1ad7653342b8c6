package claims_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/claims"
	"github.com/shoenig/test/must"
)

var (
	epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	scope = claims.Scope{Service: "permit", Member: "lawa", Key: "017f22e2-79b0-7cc3-98c4-dc0c0c07398f"}
)

func claim() claims.Item              { return claims.Claim{Scope: scope, Deadline: epoch} }
func ref(r fleet.RecordID) claims.Ref { return claims.Ref{Scope: scope, Record: r} }

// step is a group with one item.
type step struct {
	record fleet.RecordID
	item   claims.Item
}

func fold(steps ...step) *claims.Fold {
	f := claims.NewFold()
	for i, s := range steps {
		f.Apply(epoch, claims.Positioned{Offset: fleet.Offset(i + 1), Group: claims.Group{
			ID: s.record, Time: epoch, Items: []claims.Item{s.item},
		}})
	}
	return f
}

func TestFoldKeepsTheFirstClaim(t *testing.T) {
	cases := []struct {
		name   string
		steps  []step
		status claims.Status
		record fleet.RecordID
	}{
		{"first wins", []step{{"a", claim()}, {"b", claim()}}, claims.StatusClaimed, "a"},
		{"repeated", []step{{"a", claim()}, {"a", claim()}}, claims.StatusClaimed, "a"},
		{"released", []step{{"a", claim()}, {"r", claims.Released{Ref: ref("a")}}}, claims.StatusFree, "a"},
		{"released and repeated", []step{{"a", claim()}, {"r", claims.Released{Ref: ref("a")}}, {"a", claim()}}, claims.StatusFree, "a"},
		{"released before", []step{{"r", claims.Released{Ref: ref("a")}}, {"a", claim()}, {"b", claim()}}, claims.StatusClaimed, "b"},
		{"other released", []step{{"a", claim()}, {"b", claim()}, {"r", claims.Released{Ref: ref("b")}}}, claims.StatusClaimed, "a"},
		{"answered", []step{{"a", claim()}, {"o", claims.Answered{Ref: ref("a")}}, {"b", claim()}}, claims.StatusAnswered, "a"},
		{"other answered", []step{{"a", claim()}, {"b", claim()}, {"o", claims.Answered{Ref: ref("b")}}}, claims.StatusClaimed, "a"},
		{"answered, not released", []step{{"a", claim()}, {"o", claims.Answered{Ref: ref("a")}}, {"r", claims.Released{Ref: ref("a")}}}, claims.StatusAnswered, "a"},
		{"in doubt for good", []step{{"a", claim()}, {"o", claims.InDoubt{Ref: ref("a")}}, {"p", claims.Answered{Ref: ref("a")}}}, claims.StatusInDoubt, "a"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			k := fold(tc.steps...).Lookup(scope)
			must.EqOp(t, tc.status, k.Status)
			must.EqOp(t, tc.record, k.Record)
		})
	}
}

func TestKeyIsKeptForItsRetention(t *testing.T) {
	for _, began := range []time.Duration{0, time.Minute, claims.Retention / 2} {
		f := claims.NewFold()
		f.Advance(epoch, 1)
		at := epoch.Add(began)
		f.Advance(at, 1)
		f.Apply(at, claims.Positioned{Offset: 1, Group: claims.Group{ID: "a", Time: at, Items: []claims.Item{claim()}}})
		f.Advance(at.Add(claims.Retention), 1)
		must.EqOp(t, claims.StatusClaimed, f.Lookup(scope).Status)
		f.Advance(at.Add(2*claims.Retention), 1)
		must.EqOp(t, 0, f.Len())
	}
}

func TestMemoryIsBoundedByRetention(t *testing.T) {
	f := claims.NewFold()
	const second = time.Second
	most := 0
	for i := range 3 * int(claims.Retention/second) {
		now := epoch.Add(time.Duration(i) * second)
		f.Advance(now, 1)
		s := scope
		s.Key = fleet.Key(fmt.Sprint(i))
		f.Apply(now, claims.Positioned{Offset: fleet.Offset(i + 1), Group: claims.Group{
			ID: "a", Time: now, Items: []claims.Item{claims.Claim{Scope: s}},
		}})
		most = max(most, f.Len())
	}
	must.LessEq(t, int(claims.Retention/second)*4/3+1, most)
}

func TestGroupsWithinRetentionCountHoweverLateTheyAreRead(t *testing.T) {
	for _, age := range []time.Duration{claims.Retention, claims.Retention + time.Second} {
		f := claims.NewFold()
		f.Apply(epoch.Add(age), claims.Positioned{Offset: 1, Group: claims.Group{ID: "a", Time: epoch, Items: []claims.Item{claim()}}})
		must.EqOp(t, age == claims.Retention, f.Lookup(scope).Status == claims.StatusClaimed)
	}
}

func TestLostRecordsLeaveOlderKeysUncovered(t *testing.T) {
	cases := []struct {
		name string
		lose func(*claims.Fold)
	}{
		{"trimmed", func(f *claims.Fold) {
			f.Advance(epoch, 5)
			f.Apply(epoch, claims.Positioned{Offset: 5, Group: claims.Group{ID: "a", Time: epoch}})
		}},
		{"all trimmed", func(f *claims.Fold) {
			f.Advance(epoch, 5)
			f.NoteEmptyPage(epoch)
		}},
		{"unreadable", func(f *claims.Fold) {
			f.Apply(epoch, claims.Positioned{Offset: 1, Err: errors.New("bad")})
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := claims.NewFold()
			must.True(t, f.Covers(epoch))
			tc.lose(f)
			must.False(t, f.Covers(epoch.Add(claims.MaxSkew)))
			must.True(t, f.Covers(epoch.Add(2*time.Minute)))
		})
	}
}
