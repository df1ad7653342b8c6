// Package shares decides how tenants share the fleet: how much of it each of them may have
// running, whose work is next when there is less room than work, and which of its jobs are
// within its share.
//
// Its decisions are pure: times, capacities and the configuration come in, and yes or no, or
// an order, goes out.
package shares
