package jobs_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
)

const (
	// benchPools is the number of pools that run tasks, and turnLength the time for
	// which each of them in turn has nearly all of the load.
	benchPools = 4
	turnLength = 5 * time.Second
	// jobsPerRunner is the mean rate of new jobs a second for each runner.
	jobsPerRunner = 0.15
	// slackShare is the load of a pool out of its turn, as a share of the mean.
	slackShare = 0.05
)

// BenchmarkOwnerAtScale simulates a turn of an owner with many runners in four
// pools and a spare pool. Its figures follow the large deployment of the users:
// jobs of 16 tasks of 0.8 s, 2.4 tasks a second for each runner, nearly all of them
// in one pool at a time, which asks for four times its mean and so for more than
// the pool holds. It reports the reducer's processor time for each run of a task.
func BenchmarkOwnerAtScale(b *testing.B) {
	for _, runners := range []int{300, 1100, 3000} {
		b.Run(fmt.Sprint("runners=", runners), func(b *testing.B) {
			w := newLargeWorld(runners)
			w.playTurn(0, runners)
			b.ResetTimer()
			w.reduceTime = 0
			starts, began := w.starts, w.now
			for n := range b.N {
				w.playTurn(n+1, runners)
			}
			b.ReportMetric(float64(w.reduceTime.Microseconds())/float64(w.starts-starts), "µs/run")
			b.ReportMetric(100*w.reduceTime.Seconds()/w.now.Sub(began).Seconds(), "%core")
			b.ReportMetric(float64(w.starts-starts)/w.now.Sub(began).Seconds(), "runs/s")
		})
	}
}

func poolName(n int) fleet.ServiceName { return fleet.ServiceName(fmt.Sprint("desk", n%benchPools)) }

// newLargeWorld returns a world with one entry and runners in benchPools pools, an
// instance under each, a sixth as many spare instances, and a wave over half of all.
func newLargeWorld(runners int) *world {
	w := newWorld(&testing.T{}, 1, 1, runners, func(w *world) {
		w.reportInterval, w.endDelay = 1500*time.Millisecond, 25*time.Millisecond
	})
	var queues []*fleet.Queue
	services := []*fleet.JobService{{Name: sparePool, Spare: true}}
	for n := range benchPools {
		queues = append(queues, &fleet.Queue{
			Name: fleet.QueueName(poolName(n)), Host: "host", Prefix: "/" + string(poolName(n)) + "/", Service: poolName(n),
			MaxAttempts: 2, Stretch: 2, Slack: 600 * time.Millisecond,
		})
		services = append(services, &fleet.JobService{Name: poolName(n), EnforcesCapacity: true})
	}
	for i, listed := range w.listed() {
		r := w.runners[listed.ID]
		r.service, r.instance = poolName(i), fleet.InstanceID("m-"+string(r.id))
		w.instances = append(w.instances, &fakeInstance{
			id: r.instance, pool: fleet.PoolName(r.service), state: fleet.InstanceUp, runner: r, maintained: make(map[int64]bool),
		})
	}
	for n := range runners / 6 {
		w.instances = append(w.instances, &fakeInstance{
			id: fleet.InstanceID(fmt.Sprint("s-", n)), pool: sparePool, state: fleet.InstanceUp, maintained: make(map[int64]bool),
		})
	}
	wave := fleet.MaintenanceWave{ID: 1, MaxAtOnce: max(2, runners/40), Within: time.Minute}
	for n := 0; n < len(w.instances); n += 2 {
		wave.Instances = append(wave.Instances, w.instances[n].id)
	}
	w.waves = []fleet.MaintenanceWave{wave}
	w.queues = fleet.NewQueues(2, queues, services)
	w.rebootAll()
	w.run(3 * time.Second)
	return w
}

// playTurn submits the jobs of one turn.
func (w *world) playTurn(turn, runners int) {
	rate := jobsPerRunner * float64(runners) * (1 + slackShare*(benchPools-1))
	interval := time.Duration(float64(time.Second) / rate)
	for end := w.now.Add(turnLength); w.now.Before(end); w.run(interval) {
		pool := poolName(turn)
		if w.rng.Float64() < slackShare*(benchPools-1) {
			pool = poolName(turn + 1 + w.rng.Intn(benchPools-1))
		}
		spec := &fleet.JobSpec{Text: "text", Steps: []fleet.Step{
			{Count: 8, Needs: fleet.Capacity{CPU: 2800, Memory: 100}, Estimate: 800 * time.Millisecond},
			{Count: 8, Needs: fleet.Capacity{CPU: 2800, Memory: 100}, Estimate: 800 * time.Millisecond, After: []int{0}},
		}}
		w.submitTo(pool, jobID(len(w.submitted)), spec)
	}
}

// submitTo submits a job to the queue of a pool once.
func (w *world) submitTo(pool fleet.ServiceName, id fleet.JobID, spec *fleet.JobSpec) {
	w.submitted[id] = spec
	w.nextID++
	w.calls[w.nextID] = func(effect.CallAnswer) {}
	w.entries[0].post(event.ClientCalled{
		Call: w.nextID, Kind: effect.CallSubmit, Host: "host", Path: "/" + string(pool) + "/" + string(id), Spec: spec,
	})
}
