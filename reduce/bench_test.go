package reduce_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
)

// benchText has five services, each with ten instances, and sixteen members.
func benchText() *fleet.Text {
	t := &fleet.Text{}
	for i := range 5 {
		pool := fleet.PoolName(fmt.Sprintf("pool-%d", i))
		t.Pools = append(t.Pools, fleet.Pool{Name: pool, Slots: 8, MaxSize: 100})
		t.Services = append(t.Services, fleet.Service{
			Name: fleet.ServiceName(fmt.Sprintf("service-%d", i)), Pool: pool, Idempotent: true, Urgent: i == 0,
			TimeLimit: time.Minute, MaxBody: 1 << 20, MaxQueue: 4096, MaxAttempts: 3,
		})
		for j := range 10 {
			t.Instances = append(t.Instances, fleet.Instance{
				ID: fleet.InstanceID(fmt.Sprintf("runner-%d-%d", i, j)), Address: "127.0.0.1:1", Pool: pool,
			})
		}
	}
	for i := range 16 {
		t.Members = append(t.Members, fleet.Member{Name: fleet.MemberName(fmt.Sprintf("member-%02d", i)), Weight: 1 + i%4})
	}
	return t
}

// lifecycle keeps a constant number of requests in the reducer: a new request
// arrives for each answer.
type lifecycle struct {
	state    *reduce.State
	text     *fleet.Text
	now      time.Time
	id       fleet.RequestID
	running  []effect.Dispatch
	answered int
	events   int
}

func newLifecycle(inFlight int) *lifecycle {
	l := &lifecycle{
		state: reduce.New(reduce.Config{Entry: "entry-1", Seed: 7, MaxRequests: 10_000}),
		text:  benchText(),
		now:   epoch,
	}
	l.do(event.RecordsRead{Records: []control.Positioned{{
		Offset: 1,
		Record: control.Record{ID: "text", Body: control.Publish{Text: l.text}},
	}}, Next: 2, Oldest: 1})
	for range inFlight {
		l.arrive()
	}
	return l
}

func (l *lifecycle) do(body event.Body) {
	l.now = l.now.Add(2 * time.Microsecond)
	l.events++
	for _, out := range reduce.Reduce(l.state, event.Event{Now: l.now, Body: body}) {
		switch o := out.(type) {
		case effect.Dispatch:
			l.running = append(l.running, o)
		case effect.Answer:
			l.answered++
		}
	}
}

func (l *lifecycle) arrive() {
	l.id++
	l.do(event.RequestArrived{
		ID:       l.id,
		Service:  l.text.Services[int(l.id)%len(l.text.Services)].Name,
		Member:   l.text.Members[int(l.id)%len(l.text.Members)].Name,
		BodySize: 1024,
		Size:     1,
	})
}

// finish answers the oldest attempt.
func (l *lifecycle) finish() {
	d := l.running[0]
	l.running = l.running[1:]
	l.do(event.AttemptFinished{
		Attempt: d.Attempt, Instance: d.Instance, Outcome: event.AttemptAnswered, Status: 200,
		Elapsed: time.Millisecond,
	})
}

// BenchmarkLifecycle measures the arrival and the end of requests. Its time and
// allocations are per event.
func BenchmarkLifecycle(b *testing.B) {
	for _, c := range []struct {
		name     string
		inFlight int
	}{{"free", 64}, {"queued", 2000}} {
		b.Run(c.name, func(b *testing.B) {
			l := newLifecycle(c.inFlight)
			l.events, l.answered = 0, 0
			b.ReportAllocs()
			b.ResetTimer()
			for l.events < b.N {
				l.finish()
				l.arrive()
			}
			b.ReportMetric(float64(l.events)/b.Elapsed().Seconds(), "events/s")
			if l.answered < l.events/2 {
				b.Fatalf("%d of %d requests answered", l.answered, l.events/2)
			}
		})
	}
}

// BenchmarkCancellations measures one cancellation among thousands in a row.
func BenchmarkCancellations(b *testing.B) {
	const wave = 4000
	b.ReportAllocs()
	for i := 0; i < b.N; i += wave {
		b.StopTimer()
		l := newLifecycle(wave + 400)
		b.StartTimer()
		for id := range fleet.RequestID(wave) {
			l.do(event.RequestCancelled{ID: 401 + id})
		}
	}
}
