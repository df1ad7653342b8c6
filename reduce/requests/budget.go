package requests

import "github.com/banyanrail/banyanrail/fleet"

// Retry budgets count in hundredths of a retry.
const (
	retryCost = 100
	// retryDeposit is what each new request adds: a tenth of a retry.
	retryDeposit = 10
	// retryBurst is the most that a budget holds, and what it starts with.
	retryBurst = 20 * retryCost
)

// RetryBudgets holds a token bucket of retries for each service, so that retries
// never multiply the load of a service that fails.
type RetryBudgets struct {
	byService map[fleet.ServiceName]*int
}

// NewRetryBudgets returns full budgets.
func NewRetryBudgets() *RetryBudgets {
	return &RetryBudgets{byService: make(map[fleet.ServiceName]*int)}
}

func (b *RetryBudgets) tokens(name fleet.ServiceName) *int {
	t, ok := b.byService[name]
	if !ok {
		t = new(int)
		*t = retryBurst
		b.byService[name] = t
	}
	return t
}

// Deposit notes a new request.
func (b *RetryBudgets) Deposit(name fleet.ServiceName) {
	t := b.tokens(name)
	*t = min(retryBurst, *t+retryDeposit)
}

// Withdraw takes a retry from the budget. It returns false when none is left.
func (b *RetryBudgets) Withdraw(name fleet.ServiceName) bool {
	t := b.tokens(name)
	if *t < retryCost {
		return false
	}
	*t -= retryCost
	return true
}
