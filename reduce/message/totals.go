package message

import "github.com/banyanrail/banyanrail/reduce/usage"

// Totals tells what the sender's services were asked and did since it started.
type Totals struct{ Services []usage.ServiceTotals }

func (Totals) isMessage() {}
