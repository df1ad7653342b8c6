package main

import (
	"errors"
	"fmt"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/banyanrail/banyanrail/codec"
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/standin"
	"github.com/banyanrail/banyanrail/storage"
)

const (
	// lateBy is how late the first order of the wave is carried out.
	lateBy = 9200 * time.Millisecond
	// ownerLives is the time from that order to the end of the owner's process.
	ownerLives = 500 * time.Millisecond
	// lateWaveTime is the time limit of the wave.
	lateWaveTime = 24 * time.Second
	lateMachines = 8
)

// playLate checks that no more instances of a wave are down than it allows, when an
// order is carried out late and the owner that gave it is killed.
func playLate(b *bed, trouble bool) ([]string, error) {
	needs := fleet.Capacity{CPU: 4000, Memory: 1000}
	if err := b.configure(); err != nil {
		return nil, err
	}
	c, address, err := newCloud(b)
	if err != nil {
		return nil, err
	}
	var due []fleet.InstanceID
	for i := range lateMachines {
		instance := fmt.Sprintf("m%d", i+1)
		if err := c.add(instance); err != nil {
			return nil, err
		}
		if i%2 == 1 {
			due = append(due, fleet.InstanceID(instance))
		}
	}
	if err := b.startEntries(3, "cloud_api.addr="+address+"\ncloud_api.per_s=64\ncloud_api.duty_per_s=64\n"); err != nil {
		return nil, err
	}
	b.sleep(4 * time.Second)
	const wave, limit = 1, 1
	c.limits[wave] = limit
	ordered := make(chan fleet.InstanceID, 1)
	if trouble {
		var held atomic.Bool
		c.late = func(id fleet.InstanceID) time.Duration {
			if held.Swap(true) {
				return 0
			}
			ordered <- id
			return lateBy
		}
	}
	if err := b.askForWave(wave, due, lateWaveTime, limit); err != nil {
		return nil, err
	}
	go b.handInShortJobs(needs, 20*time.Second)
	if trouble {
		select {
		case <-ordered:
		case <-time.After(10 * time.Second):
			return nil, errors.New("no order was given")
		}
		b.sleep(ownerLives)
		if err := b.killOwner(); err != nil {
			return nil, err
		}
	}
	lasting := fleet.JobID("00000000000000ff")
	b.mu.Lock()
	b.plans[lasting] = standin.TaskPlan{Needs: needs, LongRunning: true}
	b.mu.Unlock()
	step := fleet.Step{Count: 5, Needs: needs, LongRunning: true, MaxUnavailable: 1, Estimate: 500 * time.Millisecond}
	go b.submit(lasting, 0, &fleet.JobSpec{Text: "t", Steps: []fleet.Step{step}})
	b.sleep(lateWaveTime)
	b.rec.printf("the wave is shown as %q", b.waveStatus(wave))
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.broken, nil
}

// handInShortJobs hands in five short jobs a second.
func (b *bed) handInShortJobs(needs fleet.Capacity, during time.Duration) {
	for n := range int(during / (200 * time.Millisecond)) {
		id := fleet.JobID(fmt.Sprintf("%016x", n+1))
		b.mu.Lock()
		b.plans[id] = standin.TaskPlan{Needs: needs, Duration: 640 * time.Millisecond}
		b.mu.Unlock()
		spec := &fleet.JobSpec{Text: "t", Steps: []fleet.Step{{Count: 2, Needs: needs, Estimate: 640 * time.Millisecond}}}
		go b.submit(id, n, spec)
		b.sleep(200 * time.Millisecond)
	}
}

// killOwner kills the process of the entry that owns the jobs.
func (b *bed) killOwner() error {
	page, err := b.store.Newest(b.ctx, storage.TopicTenure)
	if err != nil {
		return err
	}
	r, ok, err := codec.DecodeTenure(page.Records)
	if err != nil || !ok {
		return errors.Join(errors.New("no owner is known"), err)
	}
	for _, e := range b.entries {
		if e.name == string(r.Owner) {
			b.rec.printf("%s, the owner, is killed", e.name)
			return e.cmd.Process.Signal(syscall.SIGKILL)
		}
	}
	return errors.New("the owner is none of the entries")
}
