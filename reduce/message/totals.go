package message

import "github.com/banyanrail/banyanrail/reduce/usage"

// Totals counts the requests of the sender's services and their outcomes since
// the sender started.
type Totals struct{ Services []usage.ServiceTotals }

func (Totals) isMessage() {}
