package jobs_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/codec"
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce"
	"github.com/banyanrail/banyanrail/reduce/access"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/banyanrail/banyanrail/reduce/jobs"
	"github.com/banyanrail/banyanrail/reduce/ledger"
	"github.com/banyanrail/banyanrail/reduce/tenure"
	"github.com/banyanrail/banyanrail/storage"
)

// world simulates entries, the store, runners and clients in virtual time. It
// checks the guarantees of the platform's contract by what runners start and stop
// and what clients are answered, not by the state of the entries.
type world struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Time
	timers  timerHeap
	seq     int
	store   *fakeStore
	runners map[fleet.RunnerID]*fakeRunner
	entries []*fakeEntry
	queues  *fleet.Queues
	calls   map[uint64]func(effect.CallAnswer)
	nextID  uint64
	// lossShare is the share of orders and polls without an answer. Two thirds of
	// these orders are carried out, half of them late.
	lossShare float64
	// starts and doneRuns are the numbers of runs that runners started, and that
	// succeeded.
	starts, doneRuns int
	// strayStarts is the number of runs that runners started by orders for other incarnations.
	strayStarts int
	// hasAdvice is set if there is an advice service.
	hasAdvice bool
	// failDelay is after what time a failing runner fails a run; zero means 20 ms.
	failDelay time.Duration
	// onEffect is called for every effect of every entry. It returns whether the
	// effect is carried out.
	onEffect func(e *fakeEntry, out effect.Effect) bool
	// tasks holds the history of each task.
	tasks map[fleet.TaskID]*taskHistory
	// accepted holds the jobs that were accepted, maybeStored those with an answer
	// or time-out that leaves open whether they are stored, and submitted all.
	accepted    map[fleet.JobID]*fleet.JobSpec
	maybeStored map[fleet.JobID]bool
	submitted   map[fleet.JobID]*fleet.JobSpec
	// cancelledAt is when the cancellation of a job was confirmed.
	cancelledAt map[fleet.JobID]time.Time
	violations  []string
	// failedOnce holds the tasks of which a drawn history has failed a run.
	failedOnce map[fleet.TaskID]bool
	// doneOnce holds the tasks that have succeeded on some runner.
	doneOnce map[fleet.TaskID]bool
	// alwaysFails holds the jobs whose tasks fail in each run.
	alwaysFails map[fleet.JobID]bool
	// crashes holds the tasks that crash each runner that starts them, crashDelay later.
	// The runner is back after crashedFor, as replacement if replacesCrashed is set.
	crashes         map[fleet.TaskID]bool
	crashDelay      time.Duration
	replacesCrashed bool
	// cancelling holds the jobs whose cancellation a client has requested.
	cancelling map[fleet.JobID]bool
	// instances are the instances under the runners, if the test has them.
	instances []*fakeInstance
	waves     []fleet.MaintenanceWave
	// waveDone holds the published status of each wave.
	waveDone map[int64]bool
	// lateOrder, if set, tells how much later an order about an instance is carried out;
	// it gets no answer then.
	lateOrder func(effect.OrderInstance) time.Duration
	// hidden, if set, tells which instances a list of an entry misses. ignoreStatus leaves
	// published statuses of waves unchecked.
	hidden       func(*fakeEntry, fleet.InstanceID) bool
	ignoreStatus bool
	// listFails and listTime, if set, tell whether a list of an entry fails, and how long its
	// answer is under way. renewsRunners gives the runner of an instance that was moved or
	// maintained another id.
	listFails     func(*fakeEntry) bool
	listTime      func(*fakeEntry) time.Duration
	renewsRunners bool
	// withholdQueues keeps the configuration from entries that start, and
	// withholdRunners the changes of the list of runners from all entries.
	withholdQueues, withholdRunners bool
	// listLag is how long the list keeps runners that have crashed.
	listLag time.Duration
	// canDispatch and maxDirectRunners are settings of the entries.
	// dispatchedCalls is the number of calls through dispatchers, and lastLink the
	// number of the last offer.
	canDispatch      bool
	maxDirectRunners int
	// learnRunTimes is a setting of the entries, and so is maxJobBytes, the bound of the
	// memory of jobs at an owner; zero means none.
	learnRunTimes   bool
	maxJobBytes     int64
	dispatchedCalls int
	lastLink        uint64
	// reduceTime is the processor time that all entries spent in Reduce.
	reduceTime time.Duration
	// reportInterval is the time between two reports of each runner. The entries
	// read single reports then; zero means that they read the whole list.
	reportInterval time.Duration
	// endDelay is how often a runner that holds back the answer to a long poll looks
	// for ended runs.
	endDelay time.Duration
	// statusRetention is how long the entries keep the final states of jobs.
	statusRetention time.Duration
	// ordersReachNext lets orders that are carried out late reach another incarnation of
	// their runner. noStrayAcks leaves acknowledgements out of the polls that do.
	ordersReachNext, noStrayAcks bool
	// heldUp is set while a call that was held up is carried out.
	heldUp bool
	// clockRate is the rate of all runners' clocks; zero for drawn ones.
	clockRate float64
	// forgetsLaterEnds makes runners forget ends that come after an acknowledgement of their
	// numbers before they list them.
	forgetsLaterEnds bool
	// access is what entries require of keys; with keys, entries read the configuration as
	// jobentry does. key is the key of clients' calls.
	access access.Config
	key    string
	// length, if set, returns the run time of a task; it is its estimate otherwise.
	length func(fleet.TaskID) time.Duration
	// load, if set, returns the load of a run that runners report.
	load func(fleet.TaskID) int64
	// keyOf, if set, returns the API key with which a client calls about a job.
	keyOf func(fleet.JobID) string
	// caps holds the caps of each tenant, by its key.
	caps map[string][]inForce
	// audit, if set, checks the job side of each entry after each event.
	audit func(*jobs.State) error
}

// taskHistory is the number of runs of a task that are running, and the outcomes
// that were acknowledged to runners.
type taskHistory struct {
	running              int
	doneAcknowledged     bool
	failuresAcknowledged int
	// lostRunners is the number of runners that crashed under the task.
	lostRunners int
	// crashed is the number of runners that the task has crashed, and startsSince the
	// number of its starts since crashLimit of them have.
	crashed, startsSince int
	// firstStart is when a runner first started the task, and doneAt when it first succeeded.
	firstStart, doneAt time.Time
}

type timer struct {
	at  time.Time
	seq int
	do  func()
}

type timerHeap []timer

func (a timerHeap) Len() int { return len(a) }
func (a timerHeap) Less(i, j int) bool {
	if a[i].at.Equal(a[j].at) {
		return a[i].seq < a[j].seq
	}
	return a[i].at.Before(a[j].at)
}
func (a timerHeap) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *timerHeap) Push(x any)   { *a = append(*a, x.(timer)) }
func (a *timerHeap) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

const queueName = "plans"

func newWorld(t *testing.T, seed int64, entries, runners int, with ...func(*world)) *world {
	w := &world{
		t: t, rng: rand.New(rand.NewSource(seed)), now: start, store: newFakeStore(),
		runners: make(map[fleet.RunnerID]*fakeRunner), calls: make(map[uint64]func(effect.CallAnswer)),
		tasks: make(map[fleet.TaskID]*taskHistory), accepted: make(map[fleet.JobID]*fleet.JobSpec),
		maybeStored: make(map[fleet.JobID]bool), submitted: make(map[fleet.JobID]*fleet.JobSpec),
		cancelledAt: make(map[fleet.JobID]time.Time), doneOnce: make(map[fleet.TaskID]bool), alwaysFails: make(map[fleet.JobID]bool),
		crashes: make(map[fleet.TaskID]bool), crashDelay: 10 * time.Millisecond,
		cancelling: make(map[fleet.JobID]bool), endDelay: 5 * time.Millisecond,
		caps:     make(map[string][]inForce),
		waveDone: make(map[int64]bool), statusRetention: 2 * time.Minute,
		queues: fleet.NewQueues(1, []*fleet.Queue{{
			Name: queueName, Host: "host", Prefix: "/plans/", Service: "desk", MaxAttempts: 2, Stretch: 2, Slack: time.Second,
		}}, []*fleet.JobService{{Name: "desk", EnforcesCapacity: true}}),
	}
	for _, change := range with {
		change(w)
	}
	for i := range runners {
		w.addRunner(fleet.RunnerID(fmt.Sprintf("r%d", i)))
	}
	for i := range entries {
		e := &fakeEntry{w: w, id: fleet.EntryID(fmt.Sprintf("e%d", i)), address: fmt.Sprintf("a%d", i)}
		w.entries = append(w.entries, e)
		e.boot()
	}
	return w
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.timers, timer{at: w.now.Add(d), seq: w.seq, do: do})
}

func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.timers) > 0 && !w.timers[0].at.After(end) {
		it := heap.Pop(&w.timers).(timer)
		w.now = it.at
		it.do()
	}
	w.now = end
}

// violation records a violation of a guarantee.
func (w *world) violation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%.3f s: ", w.now.Sub(start).Seconds())+fmt.Sprintf(format, args...))
}

// trace logs decisions and acts of runners, with -jobs.trace.
func (w *world) trace(format string, args ...any) {
	if *traced {
		w.t.Logf("%.3f "+format, append([]any{w.now.Sub(start).Seconds()}, args...)...)
	}
}

// latency returns the latency of a call on a network without faults.
func (w *world) latency() time.Duration {
	return time.Duration(1+w.rng.Intn(4)) * time.Millisecond
}

func (w *world) history(id fleet.TaskID) *taskHistory {
	h, ok := w.tasks[id]
	if !ok {
		h = &taskHistory{}
		w.tasks[id] = h
	}
	return h
}

// fakeStore keeps the tenure log and the ledger, whose records it encodes as the platform's
// store holds them.
type fakeStore struct {
	down      bool
	lossShare float64
	tenure    []tenure.Record
	epoch     int64
	next      int64
	// records holds the newest record of each key of the ledger.
	records map[string]storage.Record
	appends int
	// recordBytes and callBytes are the sizes of the largest record and append that the
	// store takes.
	recordBytes, callBytes int
	// rejects, if set, tells which records the store rejects beside those.
	rejects func(*ledger.Record) bool
	// rejectsEmpty, if set, tells whether the store rejects empty appends too.
	rejectsEmpty func() bool
}

func newFakeStore() *fakeStore {
	return &fakeStore{records: make(map[string]storage.Record), recordBytes: 256 << 10, callBytes: 2 << 20}
}

func (s *fakeStore) newest() tenure.Record {
	if len(s.tenure) == 0 {
		return tenure.Record{}
	}
	return s.tenure[len(s.tenure)-1]
}

func (s *fakeStore) appendLedger(e effect.AppendLedger) (effect.AppendOutcome, int64) {
	records, fits := s.encode(e.Records)
	switch {
	case !fits:
		return effect.AppendRejected, 0
	case e.Epoch < s.epoch:
		return effect.AppendFenced, 0
	case e.Epoch > s.epoch:
		s.epoch, s.next = e.Epoch, e.Sequence
	case e.Sequence < s.next:
		return effect.AppendDone, 0
	case e.Sequence > s.next:
		return effect.AppendOutOfSequence, s.next
	}
	s.next = e.Sequence + 1
	s.appends++
	for _, r := range records {
		s.records[r.Key] = r
	}
	return effect.AppendDone, 0
}

// encode encodes the records of an append, and reports whether the store takes them.
func (s *fakeStore) encode(records []ledger.Record) ([]storage.Record, bool) {
	out := make([]storage.Record, 0, len(records))
	total := 0
	for i := range records {
		r, err := codec.EncodeLedger(&records[i])
		size := 1 + len(r.Key) + len(r.Value)
		total += 4 + size
		if err != nil || size > s.recordBytes || (s.rejects != nil && s.rejects(&records[i])) {
			return nil, false
		}
		out = append(out, r)
	}
	return out, total <= s.callBytes
}

// content returns what the ledger holds.
func (s *fakeStore) content() codec.Ledger {
	var records []storage.Record
	for _, key := range slices.Sorted(maps.Keys(s.records)) {
		records = append(records, s.records[key])
	}
	return codec.DecodeLedger(records)
}

func (s *fakeStore) load() event.LedgerLoaded {
	l := s.content()
	return event.LedgerLoaded{
		Jobs: l.Jobs, Waves: l.Waves, RecentlyOrdered: l.RecentlyOrdered, OrdersUnreadable: l.OrdersUnreadable, Unreached: l.Unreached,
		Restarted: l.Restarted, Parts: l.Parts, RunTimes: l.RunTimes, Holds: l.Holds,
	}
}

// fakeEntry is one simulated entry process.
type fakeEntry struct {
	w       *world
	id      fleet.EntryID
	address string
	state   *reduce.State
	// incarnation is the number of starts. Events for an earlier incarnation are
	// dropped.
	incarnation int
	up          bool
	// frozen is set while the process is suspended. Its events wait in heldEvents.
	frozen     bool
	heldEvents []func()
	// storeCut cuts the entry off from the store, and cutRunners from runners. operatorsCut
	// cuts it off from operators' records only.
	storeCut, operatorsCut bool
	// peersCut drops the calls that the entry forwards.
	peersCut   bool
	cutRunners map[fleet.RunnerID]bool
	// links holds the offers of dispatchers to this entry, and offer is this
	// entry's own offer.
	links map[uint64]*fakeLink
	offer *fakeLink
	// eventTime is how long the entry takes for an event, and busyUntil when it has
	// handled all events so far.
	eventTime time.Duration
	busyUntil time.Time
	// followedEpoch is the tenure for which the list of runners is followed.
	followedEpoch int64
	// lists is the number of lists of instances that the entry has read.
	lists int
	// shownEnds is what those of its tenure of an epoch, since a time, have shown of ended runners.
	shownEnds      map[fleet.RunnerID]*shownEnd
	shownEndsEpoch int64
	shownEndsSince time.Time
}

func (e *fakeEntry) boot() {
	e.incarnation++
	e.up, e.frozen, e.heldEvents = true, false, nil
	e.links, e.offer = make(map[uint64]*fakeLink), nil
	if e.cutRunners == nil {
		e.cutRunners = make(map[fleet.RunnerID]bool)
	}
	e.state = reduce.New(reduce.Config{Entry: e.id, Jobs: &jobs.Config{
		Entry: e.id, Incarnation: uint64(e.incarnation), Address: e.address,
		CanDispatch: e.w.canDispatch, MaxDirectRunners: e.w.maxDirectRunners, LearnRunTimes: e.w.learnRunTimes, MaxJobBytes: e.w.maxJobBytes,
		Audit: e.audited,
		Bounds: jobs.Bounds{
			StatusRetention: e.w.statusRetention, MaxLease: maxLease * time.Millisecond, InstanceLease: 3 * time.Second,
			MaintenanceTime: 2 * time.Second, InstanceOrdersPerSecond: 64,
			CanOrderInstances: len(e.w.instances) > 0, RecordBytes: e.w.store.recordBytes, CallBytes: e.w.store.callBytes,
			Access: e.w.access, HasAdvice: e.w.hasAdvice,
		},
	}})
	e.post(event.JobsStarted{})
	switch {
	case e.w.access.Required:
		e.followQueues()
	case !e.w.withholdQueues:
		e.post(event.QueuesRead{Queues: e.w.queues})
	}
	if len(e.w.waves) > 0 {
		e.post(event.WavesRead{Waves: e.w.waves})
	}
}

// audited records what the world's audit, if it has one, finds wrong.
func (e *fakeEntry) audited(s *jobs.State) {
	if e.w.audit == nil {
		return
	}
	if err := e.w.audit(s); err != nil {
		e.w.violation("%s: %v", e.id, err)
	}
}

func (e *fakeEntry) kill() { e.up = false; e.incarnation++ }

// rebootAll restarts all entries at once.
func (w *world) rebootAll() {
	for _, e := range w.entries {
		e.kill()
		e.boot()
	}
}

// configureAll sends the configuration to all entries.
func (w *world) configureAll() {
	for _, e := range w.entries {
		e.post(event.QueuesRead{Queues: w.queues})
	}
}

// freeze suspends the entry's process for a duration.
func (e *fakeEntry) freeze(d time.Duration) {
	e.frozen = true
	incarnation := e.incarnation
	e.w.after(d, func() {
		if e.incarnation != incarnation {
			return
		}
		e.frozen = false
		held := e.heldEvents
		e.heldEvents = nil
		for _, do := range held {
			do()
		}
	})
}

// post sends an event to the entry, and carries out the effects. A frozen entry
// handles the event when it resumes.
func (e *fakeEntry) post(b event.Body) {
	incarnation := e.incarnation
	do := func() {
		if e.incarnation != incarnation || !e.up {
			return
		}
		began := time.Now()
		out := slices.Clone(reduce.Reduce(e.state, event.Event{Now: e.w.now, Body: b}))
		e.w.reduceTime += time.Since(began)
		for _, o := range out {
			if e.w.onEffect == nil || e.w.onEffect(e, o) {
				e.perform(o)
			}
		}
	}
	if e.frozen {
		e.heldEvents = append(e.heldEvents, do)
		return
	}
	if e.eventTime > 0 {
		if e.busyUntil.Before(e.w.now) {
			e.busyUntil = e.w.now
		}
		e.busyUntil = e.busyUntil.Add(e.eventTime)
		e.w.after(e.busyUntil.Sub(e.w.now), do)
		return
	}
	do()
}

// postAfter posts an event after a delay, unless the entry has restarted by then.
func (e *fakeEntry) postAfter(d time.Duration, b event.Body) {
	incarnation := e.incarnation
	e.w.after(d, func() {
		if e.incarnation == incarnation {
			e.post(b)
		}
	})
}

// perform carries out an effect.
func (e *fakeEntry) perform(out effect.Effect) {
	switch o := out.(type) {
	case effect.SetTimer:
		e.postAfter(max(0, o.At.Sub(e.w.now)), event.TimerFired{})
	case effect.FollowStore:
		e.pollTenure()
	case effect.AppendTenure:
		e.appendTenure(o)
	case effect.FenceLedger:
		e.fence(o)
	case effect.LoadLedger:
		e.load(o)
	case effect.AppendLedger:
		e.appendLedger(o)
	case effect.FollowRunners:
		e.followedEpoch = o.Epoch
		if o.Epoch != 0 {
			e.pollRunners(o.Epoch)
		}
	case effect.OrderTask:
		e.callThrough(o.Dispatcher, func(via *fakeEntry, post func(time.Duration, event.Body)) { e.orderTask(o, via, post) }, func() event.Body {
			return event.TaskOrdered{Epoch: o.Epoch, Token: o.Token, Runner: o.Runner, Incarnation: o.Incarnation, Kind: o.Kind, Task: o.Task, Attempt: o.Attempt, Outcome: event.OrderUnknown}
		})
	case effect.PollRunner:
		e.callThrough(o.Dispatcher, func(via *fakeEntry, post func(time.Duration, event.Body)) { e.pollRunner(o, via, post) }, func() event.Body {
			return event.RunnerPolled{Epoch: o.Epoch, Runner: o.Runner, Number: o.Number, Outcome: event.OrderUnknown}
		})
	case effect.DispatchFor:
		e.dispatchFor(o)
	case effect.ReplyCall:
		if done, ok := e.w.calls[o.Call]; ok {
			delete(e.w.calls, o.Call)
			done(o.Answer)
		}
	case effect.Forward:
		e.forward(o)
	case effect.ListInstances:
		e.listInstances(o)
	case effect.OrderInstance:
		e.orderInstance(o)
	case effect.WriteWaveStatus:
		e.w.waveDone[o.Wave] = o.Done
		if o.Done && !e.w.ignoreStatus {
			e.w.checkWaveStatus(o.Wave)
		}
		e.postAfter(e.w.latency(), event.StatusWritten{Epoch: o.Epoch, Wave: o.Wave, Done: o.Done})
	case effect.Decision:
		e.w.trace("%s %+v", e.id, o)
	}
}

func (e *fakeEntry) storeUnreachable() bool { return e.w.store.down || e.storeCut }

// storeTimeout is the time-out of an entry's calls to the store.
const storeTimeout = 800 * time.Millisecond

func (e *fakeEntry) pollTenure() {
	incarnation := e.incarnation
	var poll func()
	poll = func() {
		if e.incarnation != incarnation {
			return
		}
		if e.storeUnreachable() {
			e.postAfter(storeTimeout, event.TenureReadFailed{Reason: "down"})
			e.w.after(storeTimeout+50*time.Millisecond, poll)
			return
		}
		e.post(event.TenureRead{Record: e.w.store.newest(), End: fleet.Offset(len(e.w.store.tenure))})
		e.w.after(20*time.Millisecond, poll)
	}
	e.w.after(e.w.latency(), poll)
}

func (e *fakeEntry) appendTenure(o effect.AppendTenure) {
	if e.storeUnreachable() {
		e.postAfter(storeTimeout, event.TenureAppended{Record: o.Record, Outcome: effect.AppendUnknown})
		return
	}
	lost := e.w.rng.Float64() < e.w.store.lossShare
	e.w.after(e.w.latency(), func() {
		outcome := effect.AppendConflict
		if fleet.Offset(len(e.w.store.tenure)) == o.At {
			e.w.store.tenure = append(e.w.store.tenure, o.Record)
			outcome = effect.AppendDone
		}
		if lost {
			e.postAfter(storeTimeout, event.TenureAppended{Record: o.Record, Outcome: effect.AppendUnknown})
			return
		}
		e.postAfter(e.w.latency(), event.TenureAppended{Record: o.Record, Outcome: outcome, End: fleet.Offset(len(e.w.store.tenure))})
	})
}

func (e *fakeEntry) fence(o effect.FenceLedger) {
	if e.storeUnreachable() {
		e.postAfter(storeTimeout, event.LedgerFenced{Epoch: o.Epoch, Outcome: effect.AppendUnknown})
		return
	}
	e.w.after(e.w.latency(), func() {
		s, outcome := e.w.store, effect.AppendDone
		switch {
		case s.rejectsEmpty != nil && s.rejectsEmpty():
			outcome = effect.AppendRejected
		case o.Epoch < s.epoch:
			outcome = effect.AppendFenced
		case o.Epoch > s.epoch:
			s.epoch, s.next = o.Epoch, 1
		}
		e.postAfter(e.w.latency(), event.LedgerFenced{Epoch: o.Epoch, Outcome: outcome})
	})
}

func (e *fakeEntry) load(o effect.LoadLedger) {
	if e.storeUnreachable() {
		e.postAfter(storeTimeout, event.LedgerLoaded{Epoch: o.Epoch, Failed: true})
		return
	}
	e.w.after(e.w.latency(), func() {
		loaded := e.w.store.load()
		if n := len(e.w.store.content().Unreadable); n > 0 {
			e.w.violation("%d records of the ledger are unreadable", n)
		}
		loaded.Epoch = o.Epoch
		e.postAfter(e.w.latency(), loaded)
	})
}

func (e *fakeEntry) appendLedger(o effect.AppendLedger) {
	e.w.after(o.Delay+e.w.latency(), func() {
		unknown := event.LedgerAppended{Epoch: o.Epoch, Sequence: o.Sequence, Outcome: effect.AppendUnknown}
		if e.storeUnreachable() {
			e.postAfter(o.Timeout, unknown)
			return
		}
		if e.w.rng.Float64() < e.w.store.lossShare {
			if e.w.rng.Intn(2) == 0 {
				e.w.after(time.Duration(1+e.w.rng.Intn(5))*time.Second, func() { e.w.store.appendLedger(o) })
			} else {
				e.w.store.appendLedger(o)
			}
			e.postAfter(o.Timeout, unknown)
			return
		}
		outcome, expected := e.w.store.appendLedger(o)
		e.postAfter(e.w.latency(), event.LedgerAppended{
			Epoch: o.Epoch, Sequence: o.Sequence, Outcome: outcome, Expected: expected,
		})
	})
}

func (e *fakeEntry) pollRunners(epoch int64) {
	incarnation := e.incarnation
	var poll func()
	poll = func() {
		if e.incarnation != incarnation || e.followedEpoch != epoch {
			return
		}
		if e.storeUnreachable() {
			e.post(event.RunnersReadFailed{Epoch: epoch, Reason: "down"})
		} else if !e.w.withholdRunners {
			e.post(event.RunnersRead{Epoch: epoch, Full: true, Runners: e.w.listed()})
		}
		if e.w.reportInterval > 0 {
			e.readReports(epoch, nil)
			return
		}
		e.w.after(200*time.Millisecond, poll)
	}
	e.w.after(e.w.latency(), poll)
}

// readReports reads the reports of all runners one after the other, again and again.
func (e *fakeEntry) readReports(epoch int64, listed []fleet.Runner) {
	if len(listed) == 0 {
		listed = e.w.listed()
	}
	if len(listed) == 0 {
		return
	}
	incarnation := e.incarnation
	e.w.after(e.w.reportInterval/time.Duration(len(e.w.runners)), func() {
		if e.incarnation != incarnation || e.followedEpoch != epoch {
			return
		}
		e.post(event.RunnersRead{Epoch: epoch, Runners: listed[:1]})
		e.readReports(epoch, listed[1:])
	})
}

func (e *fakeEntry) forward(o effect.Forward) {
	target := -1
	for i, other := range e.w.entries {
		if other.address == o.Address && other.up {
			target = i
		}
	}
	if target < 0 {
		e.postAfter(e.w.latency(), event.ForwardFinished{Call: o.Call, Failed: true})
		return
	}
	w, incarnation, answered := e.w, e.incarnation, false
	w.nextID++
	id := w.nextID
	finish := func(f event.ForwardFinished) {
		if !answered && e.incarnation == incarnation {
			answered = true
			e.postAfter(w.latency(), f)
		}
	}
	w.calls[id] = func(a effect.CallAnswer) { finish(event.ForwardFinished{Call: o.Call, Answer: a, Sent: true}) }
	w.after(o.Timeout, func() { finish(event.ForwardFinished{Call: o.Call, Failed: true, Sent: true}) })
	if e.peersCut {
		return
	}
	to, toIncarnation := w.entries[target], w.entries[target].incarnation
	w.after(w.latency(), func() {
		if to.incarnation == toIncarnation {
			to.post(event.ClientCalled{
				Call: id, Forwarded: true, Queue: o.Queue, Version: o.Version, Kind: o.Kind, Job: o.Job, Spec: o.Spec, Timeout: o.Timeout,
				Received: w.now, Host: o.Host, Path: o.Path, Key: o.Key, Verified: o.Verified, Tenant: o.Tenant,
			})
		}
	})
}

// call sends a client's call to an entry and passes the answer to done. An entry
// that is down does not answer.
func (w *world) call(e *fakeEntry, kind effect.CallKind, job fleet.JobID, spec *fleet.JobSpec, done func(effect.CallAnswer)) {
	w.nextID++
	w.calls[w.nextID] = done
	e.post(event.ClientCalled{Call: w.nextID, Kind: kind, Host: "host", Path: "/plans/" + string(job), Spec: spec, Key: w.keyFor(job)})
}

// keyFor returns the API key with which a client calls about a job.
func (w *world) keyFor(job fleet.JobID) string {
	if w.keyOf == nil {
		return w.key
	}
	return w.keyOf(job)
}

// submit submits a job as clients do: it retries at other entries until the job is
// accepted.
func (w *world) submit(id fleet.JobID, spec *fleet.JobSpec) {
	w.submitted[id] = spec
	tries := 0
	var try func()
	try = func() {
		if tries++; tries > 6 || w.accepted[id] != nil {
			return
		}
		settled := false
		w.call(w.entries[w.rng.Intn(len(w.entries))], effect.CallSubmit, id, spec, func(a effect.CallAnswer) {
			settled = true
			switch a.Kind {
			case effect.AnswerAccepted:
				w.accepted[id] = spec
			case effect.AnswerRefused:
				w.after(time.Second, try)
			default:
				w.maybeStored[id] = true
				w.after(300*time.Millisecond, try)
			}
		})
		w.after(3*time.Second, func() {
			if !settled {
				w.maybeStored[id] = true
				try()
			}
		})
	}
	try()
}

func (w *world) cancel(id fleet.JobID) {
	w.cancelling[id] = true
	w.call(w.entries[w.rng.Intn(len(w.entries))], effect.CallCancel, id, nil, func(a effect.CallAnswer) {
		if a.Kind == effect.AnswerCancelled {
			w.cancelledAt[id] = w.now
		}
	})
}

// state reads the state of a job, and retries at other entries until one answers
// with a state or that there is no such job.
func (w *world) state(id fleet.JobID) effect.CallAnswer {
	var got effect.CallAnswer
	for range 20 {
		w.call(w.entries[w.rng.Intn(len(w.entries))], effect.CallState, id, nil, func(a effect.CallAnswer) { got = a })
		w.run(2 * time.Second)
		if got.Kind == effect.AnswerState || got.Kind == effect.AnswerNoJob {
			break
		}
	}
	return got
}

// checkInvariants fails the test if a violation was seen.
func (w *world) checkInvariants() {
	w.t.Helper()
	if len(w.violations) > 0 {
		w.t.Fatalf("%d violations:\n%s", len(w.violations), strings.Join(w.violations[:min(5, len(w.violations))], "\n"))
	}
}

// taskLength returns the run time of a task.
func (w *world) taskLength(id fleet.TaskID) time.Duration {
	if w.length != nil {
		return w.length(id)
	}
	return w.submitted[id.Job].Steps[id.Step].Estimate
}

func (w *world) failsAlways(id fleet.TaskID) bool { return w.alwaysFails[id.Job] }

func (w *world) longRunning(id fleet.TaskID) bool {
	return w.submitted[id.Job].Steps[id.Step].LongRunning
}
