package rollout

import "time"

// Order asks for the move of a service's traffic to a version.
type Order struct {
	Service string
	Version string
	// Duration is the time from the order in which the move has to be done.
	Duration time.Duration
	// Revision is the store revision of the order, which tells orders apart.
	Revision int64
}

// Status is what the operators are told of an order.
type Status struct {
	Service string
	Version string
	// State is one of the names of phases.
	State string
}
