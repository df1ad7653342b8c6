package jobs

const (
	// maxHeldSubmits and maxHeldBytes bound the jobs that wait at the owner while the
	// store does not answer.
	maxHeldSubmits = 2000
	maxHeldBytes   = 8 << 20
)

// heldSubmits holds calls that hand in jobs while the store does not answer. Nothing
// of them is stored, so they can be refused at any time.
type heldSubmits struct {
	calls []*call
	bytes int
}

// add holds a call, or returns false if too many are held.
func (h *heldSubmits) add(c *call) bool {
	if len(h.calls) >= maxHeldSubmits || h.bytes+c.size() > maxHeldBytes {
		return false
	}
	c.phase = callHeld
	h.calls = append(h.calls, c)
	h.bytes += c.size()
	return true
}

// serveHeld serves the calls that were held, in the order of their arrival. Those that
// were answered since are skipped.
func (o *ownership) serveHeld() {
	calls := o.held.calls
	o.held = heldSubmits{}
	for _, c := range calls {
		if o.s.calls[c.Call] == c && c.phase == callHeld {
			c.phase = callLocal
			o.submit(c)
		}
	}
}
