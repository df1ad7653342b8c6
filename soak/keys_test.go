package soak_test

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/loop"
	"github.com/banyanrail/banyanrail/platform/platformtest"
)

const (
	// steadyKey is the key of the clients that submit jobs. It is never withdrawn.
	steadyKey = "steady"
	// revokeLimit and applyLimit are the bounds of the platform on how long a withdrawn key may
	// be served, and a new one denied, after a configuration is acknowledged.
	revokeLimit = 5 * time.Second
	applyLimit  = 3 * time.Second
	// rotationInterval is the time between two changes of the other tenant's key.
	rotationInterval = 2500 * time.Millisecond
	probeInterval    = 20 * time.Millisecond
)

// key is a key of the tenant whose key changes.
type key struct {
	text string
	// listedAt is when the configuration with the key was acknowledged, and withdrawnAt when
	// the one without it was.
	listedAt, withdrawnAt time.Time
	// withdrawing is set from when the configuration without the key was sent.
	withdrawing bool
}

// keyRing holds the keys of the tenant whose key changes, the last of which is listed.
type keyRing struct {
	mu   sync.Mutex
	keys []key
	// served is the number of calls that were served, and deniedLate that of calls that were
	// denied later than revokeLimit after the withdrawal of their key.
	served, deniedLate int
}

// rotate adds a key, and announces that the one before is to be withdrawn.
func (r *keyRing) rotate() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := len(r.keys); n > 0 {
		r.keys[n-1].withdrawing = true
	}
	r.keys = append(r.keys, key{text: fmt.Sprintf("key-%d", len(r.keys))})
}

// tenants returns the tenants that the configuration lists.
func (r *keyRing) tenants() []*fleet.Tenant {
	r.mu.Lock()
	defer r.mu.Unlock()
	return []*fleet.Tenant{{Name: "steady", Keys: []string{steadyKey}, Weight: 10}, {Name: "changing", Keys: []string{r.keys[len(r.keys)-1].text}}}
}

// acknowledged records that the store has the configuration that lists the last key.
func (r *keyRing) acknowledged() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.keys {
		k := &r.keys[i]
		if k.withdrawing && k.withdrawnAt.IsZero() {
			k.withdrawnAt = time.Now()
		}
		if k.listedAt.IsZero() {
			k.listedAt = time.Now()
		}
	}
}

// draw returns the index and the text of one of the last keys.
func (r *keyRing) draw(rng *rand.Rand) (int, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := max(0, len(r.keys)-1-rng.Intn(5))
	return n, r.keys[n].text
}

// check returns how an answer breaks a bound; empty if it does not. A valid key must not be
// denied, unless its withdrawal is on its way.
func (r *keyRing) check(n int, sent time.Time, status int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := &r.keys[n]
	late := !k.withdrawnAt.IsZero() && sent.Sub(k.withdrawnAt) > revokeLimit
	switch {
	case status == http.StatusOK && late:
		return fmt.Sprintf("%s was served %v after its withdrawal", k.text, sent.Sub(k.withdrawnAt))
	case status == http.StatusOK:
		r.served++
	case status == http.StatusUnauthorized && late:
		r.deniedLate++
	case status == http.StatusUnauthorized && !k.withdrawing && !k.listedAt.IsZero() && sent.Sub(k.listedAt) > applyLimit:
		return fmt.Sprintf("%s was denied %v after it was listed", k.text, sent.Sub(k.listedAt))
	}
	return ""
}

// drawLongCut draws a fault that cuts an entry off from the store for longer than a withdrawn
// key may be served.
func (tb *testbed) drawLongCut() fault {
	modes := []mode{reset, dropAll}
	return fault{
		kind: disturbStore, start: time.Duration(tb.rng.Int63n(int64(time.Second))), duration: faultPeriod,
		target: tb.rng.Intn(entryCount), mode: modes[tb.rng.Intn(len(modes))],
	}
}

// rotateKeys changes a key again and again until the context ends.
func (tb *testbed) rotateKeys(ctx context.Context, t *testing.T) {
	for loop.Sleep(ctx, rotationInterval) == nil {
		tb.publish(t, true)
	}
}

// probeKeys calls entries with listed and withdrawn keys until the play ends.
func (tb *testbed) probeKeys(rng *rand.Rand) {
	client := &http.Client{Timeout: clientTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	defer client.CloseIdleConnections()
	for tb.ctx.Err() == nil {
		tb.sleep(probeInterval)
		e := tb.entries[rng.Intn(len(tb.entries))]
		n, text := tb.keys.draw(rng)
		req, err := http.NewRequestWithContext(tb.ctx, http.MethodGet, "http://"+e.clientProxy.address()+prefix, http.NoBody)
		if err != nil {
			tb.history.addViolation("request cannot be created: %v", err)
			return
		}
		req.Host = host
		platformtest.SetKey(req, text)
		platformtest.SetTimeout(req, clientTimeout)
		sent := time.Now()
		resp, err := client.Do(req)
		if err != nil {
			continue // no answer: a fault, or the play has ended
		}
		_ = resp.Body.Close()
		if broken := tb.keys.check(n, sent, resp.StatusCode); broken != "" {
			tb.history.addViolation("%s: %s", e.ip, broken)
		}
	}
}
