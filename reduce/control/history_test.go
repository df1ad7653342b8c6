package control_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/shoenig/test/must"
)

// poolInput moves an instance, or reads its pool when To is empty.
type poolInput struct{ From, To fleet.PoolName }

// poolOutput is whether a move took effect, or the pool that was read.
type poolOutput struct {
	Moved bool
	Pool  fleet.PoolName
}

// poolModel is a register that is changed by compare-and-swap.
var poolModel = porcupine.Model{
	Init: func() any { return fleet.PoolName("spare") },
	Step: func(state, input, output any) (bool, any) {
		pool, in, out := state.(fleet.PoolName), input.(poolInput), output.(poolOutput)
		if in.To == "" {
			return out.Pool == pool, pool
		}
		if !out.Moved {
			return true, pool
		}
		return in.From == pool, in.To
	},
}

// sharedLog is a log whose readers fold the records in the order of the appends.
type sharedLog struct {
	mu      sync.Mutex
	records []control.Positioned
}

func (l *sharedLog) append(r control.Record) fleet.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := fleet.Offset(len(l.records) + 1)
	l.records = append(l.records, control.Positioned{Offset: at, Record: r})
	return at
}

func (l *sharedLog) from(at fleet.Offset) []control.Positioned {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]control.Positioned(nil), l.records[at:]...)
}

// spares returns a text of pools that serve nothing, so that moves need no
// drain.
func spares() *fleet.Text {
	return &fleet.Text{
		Pools:     []fleet.Pool{{Name: "spare", Spare: true}, {Name: "other", Spare: true}, {Name: "third", Spare: true}},
		Instances: []fleet.Instance{{ID: "runner-0", Pool: "spare"}},
	}
}

// TestPoolMembershipIsLinearisable has several operators concurrently move one
// instance and read its pool, each through its own fold, and checks that the
// history of all operations is linearisable.
func TestPoolMembershipIsLinearisable(t *testing.T) {
	log := &sharedLog{}
	log.append(control.Record{ID: "text", Body: control.Publish{Text: spares()}})
	pools := []fleet.PoolName{"spare", "other", "third"}
	start := time.Now()
	var moves atomic.Int64
	var wg sync.WaitGroup
	histories := make([][]porcupine.Operation, 6)
	for client := range histories {
		wg.Add(1)
		go func() {
			defer wg.Done()
			fold := control.New()
			catchUp := func(until fleet.Offset) (last control.Result) {
				for _, p := range log.from(fold.Offset) {
					if res := fold.Apply(p); p.Offset == until {
						last = res
					}
				}
				return last
			}
			for i := range 40 {
				op := porcupine.Operation{ClientId: client, Call: time.Since(start).Nanoseconds()}
				if i%3 == 0 {
					at := log.append(control.Record{ID: fleet.RecordID(fmt.Sprintf("read-%d-%d", client, i)), Body: control.Publish{Base: -1}})
					catchUp(at)
					op.Input, op.Output = poolInput{}, poolOutput{Pool: fold.Pools["runner-0"]}
				} else {
					m := control.Move{Instance: "runner-0", From: fold.Pools["runner-0"], To: pools[(client+i)%3], Base: fold.Drains["runner-0"].Epoch}
					at := log.append(control.Record{ID: fleet.RecordID(fmt.Sprintf("move-%d-%d", client, i)), Body: m})
					res := catchUp(at)
					moved := res.Outcome == control.Accepted
					if moved {
						moves.Add(1)
					}
					op.Input, op.Output = poolInput{From: m.From, To: m.To}, poolOutput{Moved: moved}
					log.append(control.Record{
						ID:   fleet.RecordID(fmt.Sprintf("restore-%d-%d", client, i)),
						Body: control.Restore{Instance: "runner-0", Base: at},
					})
				}
				op.Return = time.Since(start).Nanoseconds()
				histories[client] = append(histories[client], op)
			}
		}()
	}
	wg.Wait()
	var all []porcupine.Operation
	for _, h := range histories {
		all = append(all, h...)
	}
	must.Positive(t, moves.Load())
	must.True(t, porcupine.CheckOperations(poolModel, all))
}
