package requests

import "github.com/banyanrail/banyanrail/fleet"

// Retry budgets are counted in tokens of a hundredth of a retry.
const (
	// retryCost is the number of tokens that a retry costs.
	retryCost = 100
	// retryDeposit is the number of tokens that each new request adds.
	retryDeposit = 10
	// retryBurst is the capacity of a budget and its initial number of tokens.
	retryBurst = 20 * retryCost
)

// RetryBudgets holds a token bucket of retries for each service, so that retries
// do not multiply the load on a failing service.
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

// Deposit adds the tokens of a new request to the budget of its service.
func (b *RetryBudgets) Deposit(name fleet.ServiceName) {
	t := b.tokens(name)
	*t = min(retryBurst, *t+retryDeposit)
}

// Withdraw takes the cost of a retry from the budget of a service. It returns
// false if the budget is exhausted.
func (b *RetryBudgets) Withdraw(name fleet.ServiceName) bool {
	t := b.tokens(name)
	if *t < retryCost {
		return false
	}
	*t -= retryCost
	return true
}
