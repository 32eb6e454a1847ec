package deployment

import (
	"context"
	"fmt"
	"time"
)

// WaitEnforced waits until the nodes of all given hosts enforce a sequence or a later one, and
// returns how long this took. After timeout it returns an error that names a host that does not.
func WaitEnforced(ctx context.Context, hosts []*Host, sequence uint64, timeout time.Duration) (time.Duration, error) {
	began := time.Now()
	err := WaitFor(timeout, func() error {
		for _, h := range hosts {
			s, err := h.State(ctx)
			if err != nil {
				return fmt.Errorf("%s: %w", h.Name, err)
			}
			if s.Enforced < sequence {
				return fmt.Errorf("%s enforces sequence %d and holds %d, want %d enforced", h.Name, s.Enforced, s.Held, sequence)
			}
		}
		return nil
	})
	return time.Since(began), err
}

// WaitMembers waits until the membership list of each host's node has count nodes.
func WaitMembers(ctx context.Context, hosts []*Host, count int, timeout time.Duration) error {
	return WaitFor(timeout, func() error {
		for _, h := range hosts {
			s, err := h.State(ctx)
			if err != nil {
				return err
			}
			if len(s.Members) != count {
				return fmt.Errorf("%s has %d members, want %d", h.Name, len(s.Members), count)
			}
		}
		return nil
	})
}

// WaitEndpoints waits until each host's node has count endpoints (backend servers) of a service.
func WaitEndpoints(ctx context.Context, hosts []*Host, service string, count int, timeout time.Duration) error {
	return WaitFor(timeout, func() error {
		for _, h := range hosts {
			s, err := h.State(ctx)
			if err != nil {
				return err
			}
			if s.Endpoints[service] != count {
				return fmt.Errorf("%s has %d endpoints of service %s, want %d", h.Name, s.Endpoints[service], service, count)
			}
		}
		return nil
	})
}

// WaitFor calls check at intervals until it succeeds. After timeout it returns the last
// error of check.
func WaitFor(timeout time.Duration, check func() error) error {
	deadline := time.Now().Add(timeout)
	for {
		err := check()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("after %v: %w", timeout, err)
		}
		time.Sleep(pollInterval)
	}
}
