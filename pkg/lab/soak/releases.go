package soak

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/lab/deployment"
)

// watchInterval is much shorter than the time between two releases.
const watchInterval = 20 * time.Millisecond

// releaser rolls out one bundle after another, and checks that no node returns
// to an earlier release.
type releaser struct {
	deployment  *deployment.Deployment
	dataCentres []string
	journal     *journal

	mu             sync.Mutex
	revision       int
	newestSequence uint64
}

// rollOutNext rolls out a bundle that differs from the previous one. Its error
// is ignored: the rollout may fail during a fault of the platform.
func (r *releaser) rollOutNext(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision++
	sequence, err := r.deployment.RollOut(ctx, r.bundle())
	if err == nil {
		r.newestSequence = sequence
	}
}

func (r *releaser) bundle() string {
	const timeoutMS = 2000
	var services, routes []string
	for _, name := range []string{quoteService, orderService} {
		services = append(services, fmt.Sprintf(`%q: {"share_percent": {"v1": 100}}`, name))
		routes = append(routes, fmt.Sprintf(`{"name": %q, "path_prefix": "/%s", "service": %q, "timeout_ms": %d}`, name, name, name, timeoutMS+r.revision))
	}
	return fmt.Sprintf(`{"name": "soak", "data_centres": ["%s"], "services": {%s}, "routes": [%s]}`,
		strings.Join(r.dataCentres, `", "`), strings.Join(services, ", "), strings.Join(routes, ", "))
}

// checkFinalRelease rolls out a last bundle and checks that all nodes enforce it
// within limit.
func (r *releaser) checkFinalRelease(ctx context.Context, hosts []*deployment.Host, limit time.Duration) {
	r.rollOutNext(ctx)
	if _, err := deployment.WaitEnforced(ctx, hosts, r.newestSequence, limit); err != nil {
		r.journal.recordViolation("a release is not in force everywhere: %v", err)
	}
}

// watchSequence checks until ctx ends that the sequence in force on a host never
// decreases, restarts of its node included.
func (r *releaser) watchSequence(ctx context.Context, h *deployment.Host) {
	highest := uint64(0)
	for ctx.Err() == nil {
		stateCtx, cancel := context.WithTimeout(ctx, callTimeout)
		s, err := h.State(stateCtx)
		cancel()
		if err == nil && s.Enforced > 0 {
			if s.Enforced < highest {
				r.journal.recordViolation("%s enforces %d after %d", h.Name, s.Enforced, highest)
			}
			highest = max(highest, s.Enforced)
		}
		common.Sleep(ctx, watchInterval)
	}
}
