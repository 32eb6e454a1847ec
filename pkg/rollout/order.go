package rollout

import "time"

// Order is an operator's request to move a service's traffic to a version.
type Order struct {
	Service string
	Version string
	// Duration is the time from the order to the deadline of the move.
	Duration time.Duration
	// Revision is the store revision of the order; the order of a service with the
	// highest revision is the valid one.
	Revision int64
}

// Status is the state of an order as reported to the operators.
type Status struct {
	Service string
	Version string
	// State is NameMoving, NameDone or NameRolledBack.
	State string
}
