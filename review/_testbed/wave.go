package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/storage"
)

// maintenanceTime is how long an instance is down for its maintenance.
const maintenanceTime = 2 * time.Second

// cloud is a stand-in for the platform's instance control.
type cloud struct {
	b  *bed
	mu sync.Mutex
	// hosts holds the runner of each instance, in the order in which they were added.
	hosts []*runnerHost
	// down holds the instances that are in maintenance, and begun the waves for which
	// an instance has begun it.
	down  map[fleet.InstanceID]bool
	begun map[fleet.InstanceID]map[int64]time.Time
	// fences holds the highest fencing token that came with an order for an instance.
	fences map[fleet.InstanceID]int64
	// late, if set, is called with each order. An order for which it returns a delay is
	// not answered, and carried out that much later.
	late func(fleet.InstanceID) time.Duration
	// limits maps a wave to how many of its instances may be down at once, and broken
	// tells where that was exceeded.
	limits map[int64]int
	broken []string
}

func newCloud(b *bed) (*cloud, string, error) {
	c := &cloud{
		b: b, down: make(map[fleet.InstanceID]bool), begun: make(map[fleet.InstanceID]map[int64]time.Time),
		fences: make(map[fleet.InstanceID]int64), limits: make(map[int64]int),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", c.list)
	mux.HandleFunc("POST /machine-upkeep", c.maintain)
	address, err := b.serve(mux)
	return c, address, err
}

func (c *cloud) add(instance string) error {
	h, err := c.b.addRunner(instance, fleet.Capacity{CPU: 64_000, Memory: 128_000})
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts = append(c.hosts, h)
	c.b.rec.printf("instance %s is added", instance)
	return nil
}

func (c *cloud) list(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rows := make([]map[string]any, 0, len(c.hosts))
	for _, h := range c.hosts {
		h.mu.Lock()
		row := map[string]any{
			"machine": h.instance, "pool": service, "state": "up", "zone": "z0", "labels": []string{}, "id": h.id,
			"capacity": map[string]int64{"cpu": h.capacity.CPU, "mem_mb": h.capacity.Memory, "gpu": 0},
		}
		h.mu.Unlock()
		if c.down[h.instance] {
			row["state"] = "upkeep"
			delete(row, "id")
		}
		rows = append(rows, row)
	}
	reply(w, http.StatusOK, map[string]any{"machines": rows, "next_token": nil})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only when the caller has gone
}

func (c *cloud) maintain(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Instance fleet.InstanceID `json:"machine"`
		Wave     int64            `json:"wave"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	fence, err := strconv.ParseInt(r.Header.Get("fence-token"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if c.late != nil {
		if delay := c.late(call.Instance); delay > 0 {
			c.b.rec.printf("order for %s, wave %d, fence %d: not answered, carried out %v later", call.Instance, call.Wave, fence, delay)
			time.AfterFunc(delay, func() {
				status, body := c.carryOut(call.Instance, call.Wave, fence)
				c.b.rec.printf("late order for %s, wave %d, fence %d: status %d %v", call.Instance, call.Wave, fence, status, body)
			})
			<-r.Context().Done()
			return
		}
	}
	status, body := c.carryOut(call.Instance, call.Wave, fence)
	c.b.rec.printf("order for %s, wave %d, fence %d: status %d %v", call.Instance, call.Wave, fence, status, body)
	reply(w, status, body)
}

// carryOut begins the maintenance of an instance, and returns the status and the body
// of the answer.
func (c *cloud) carryOut(id fleet.InstanceID, wave, fence int64) (int, map[string]any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := slices.IndexFunc(c.hosts, func(h *runnerHost) bool { return h.instance == id })
	if i < 0 {
		return http.StatusBadRequest, map[string]any{}
	}
	if fence < c.fences[id] {
		return http.StatusConflict, map[string]any{"reason": "fence"}
	}
	c.fences[id] = fence
	if _, done := c.begun[id][wave]; done {
		return http.StatusOK, map[string]any{}
	}
	if c.down[id] {
		return http.StatusConflict, map[string]any{"reason": "busy"}
	}
	if limit := c.limits[wave]; limit > 0 && len(c.down) >= limit {
		c.broken = append(c.broken, fmt.Sprintf("LIMIT: %s begins its maintenance for wave %d at %.3f s by an order with fence %d, while %d of its instances are down and %d may be: %v",
			id, wave, c.b.rec.since(time.Now()), fence, len(c.down), limit, slices.Sorted(maps.Keys(c.down))))
	}
	c.b.rec.printf("instance %s begins its maintenance for wave %d", id, wave)
	if c.begun[id] == nil {
		c.begun[id] = make(map[int64]time.Time)
	}
	c.begun[id][wave] = time.Now()
	c.down[id] = true
	h := c.hosts[i]
	h.crash()
	time.AfterFunc(maintenanceTime, func() {
		h.boot(true)
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.down, id)
		c.b.rec.printf("instance %s is up again", id)
	})
	return http.StatusOK, map[string]any{}
}

// hasBegun returns whether an instance has begun its maintenance for a wave.
func (c *cloud) hasBegun(id fleet.InstanceID, wave int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.begun[id][wave]
	return ok
}

// askForWave publishes an operator's request for a wave.
func (b *bed) askForWave(wave int64, instances []fleet.InstanceID, within time.Duration, limit int) error {
	value, err := json.Marshal(map[string]any{"wave": wave, "machines": instances, "duration_s": within.Seconds(), "cap": limit})
	if err != nil {
		return err
	}
	b.rec.printf("operator: wave %d for %v, at most %d at once", wave, instances, limit)
	return b.store.Append(b.ctx, storage.TopicOperators, []storage.Record{{Key: fmt.Sprintf("wave/%d", wave), Value: value}})
}

// waveStatus returns the published status of a wave.
func (b *bed) waveStatus(wave int64) string {
	page, err := b.store.Newest(b.ctx, storage.TopicStatus)
	if err != nil {
		return ""
	}
	for _, r := range page.Records {
		var status struct {
			State string `json:"state"`
		}
		if r.Key == fmt.Sprintf("wave/%d", wave) && json.Unmarshal(r.Value, &status) == nil {
			return status.State
		}
	}
	return ""
}

const (
	waves = 3
	// waveDelay is the time from the addition of an instance to the request for its
	// maintenance.
	waveDelay = 250 * time.Millisecond
	// settledDelay replaces it without the disruption.
	settledDelay = 4 * time.Second
	waveTime     = 20 * time.Second
)

// playWave checks that a wave for an instance that was just added is not shown as done
// before the instance has begun its maintenance.
func playWave(b *bed, trouble bool) ([]string, error) {
	if err := b.configure(); err != nil {
		return nil, err
	}
	c, address, err := newCloud(b)
	if err != nil {
		return nil, err
	}
	for i := range 4 {
		if err := c.add(fmt.Sprintf("m%d", i+1)); err != nil {
			return nil, err
		}
	}
	if err := b.startEntries(3, "cloud_api.addr="+address+"\ncloud_api.per_s=64\ncloud_api.duty_per_s=64\n"); err != nil {
		return nil, err
	}
	b.sleep(4 * time.Second)
	var violations []string
	for n := range waves {
		instance := fleet.InstanceID(fmt.Sprintf("m%d", 5+n))
		if err := c.add(string(instance)); err != nil {
			return nil, err
		}
		if trouble {
			b.sleep(waveDelay)
		} else {
			b.sleep(settledDelay)
		}
		wave := int64(n + 1)
		if err := b.askForWave(wave, []fleet.InstanceID{instance}, waveTime, 1); err != nil {
			return nil, err
		}
		deadline := time.Now().Add(waveTime)
		for b.waveStatus(wave) != "done" {
			if time.Now().After(deadline) {
				return nil, errors.New("the wave is not done in time")
			}
			b.sleep(20 * time.Millisecond)
		}
		begun := c.hasBegun(instance, wave)
		b.rec.printf("wave %d is shown as done; maintenance of %s has begun: %t", wave, instance, begun)
		if !begun {
			b.sleep(3 * time.Second)
			violations = append(violations, fmt.Sprintf("MIXED: wave %d is shown as done, and %s, which stays, had not begun its maintenance (3 s later: %t)",
				wave, instance, c.hasBegun(instance, wave)))
		}
		b.sleep(time.Duration(700+300*n) * time.Millisecond)
	}
	return violations, nil
}
