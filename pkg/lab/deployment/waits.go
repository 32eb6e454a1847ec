package deployment

import (
	"context"
	"fmt"
	"time"
)

// WaitEnforced waits until all given hosts enforce a sequence, and returns how long it took.
func WaitEnforced(ctx context.Context, hosts []*Host, sequence uint64, timeout time.Duration) (time.Duration, error) {
	began := time.Now()
	err := WaitFor(timeout, func() error {
		for _, h := range hosts {
			s, err := h.State(ctx)
			if err != nil {
				return fmt.Errorf("%s: %w", h.Name, err)
			}
			if s.Enforced < sequence {
				return fmt.Errorf("%s enforces %d and holds %d, not %d", h.Name, s.Enforced, s.Held, sequence)
			}
		}
		return nil
	})
	return time.Since(began), err
}

// WaitMembers waits until the hosts' nodes know the given number of nodes.
func WaitMembers(ctx context.Context, hosts []*Host, count int, timeout time.Duration) error {
	return WaitFor(timeout, func() error {
		for _, h := range hosts {
			s, err := h.State(ctx)
			if err != nil {
				return err
			}
			if len(s.Members) != count {
				return fmt.Errorf("%s knows %d of %d nodes", h.Name, len(s.Members), count)
			}
		}
		return nil
	})
}

// WaitEndpoints waits until the hosts' nodes know the given number of backend servers of a service.
func WaitEndpoints(ctx context.Context, hosts []*Host, service string, count int, timeout time.Duration) error {
	return WaitFor(timeout, func() error {
		for _, h := range hosts {
			s, err := h.State(ctx)
			if err != nil {
				return err
			}
			if s.Endpoints[service] != count {
				return fmt.Errorf("%s knows %d backend servers of %s, not %d", h.Name, s.Endpoints[service], service, count)
			}
		}
		return nil
	})
}

// WaitFor calls check until it succeeds; after timeout it returns the last error.
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
