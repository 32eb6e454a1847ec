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

// watchInterval is short beside the time between two releases.
const watchInterval = 20 * time.Millisecond

// releases rolls bundles out one after the other, and watches that no node goes back.
type releases struct {
	deployment  *deployment.Deployment
	dataCentres []string
	journal     *journal

	mu     sync.Mutex
	number int
	newest uint64
}

// start rolls a bundle out that differs from the one before. Its operator may
// fail while the platform is in trouble.
func (r *releases) start(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.number++
	sequence, err := r.deployment.RollOut(ctx, r.bundle())
	if err == nil {
		r.newest = sequence
	}
}

func (r *releases) bundle() string {
	const timeoutMS = 2000
	var services, routes []string
	for _, name := range []string{quoteService, orderService} {
		services = append(services, fmt.Sprintf(`%q: {"share_percent": {"v1": 100}}`, name))
		routes = append(routes, fmt.Sprintf(`{"name": %q, "path_prefix": "/%s", "service": %q, "timeout_ms": %d}`, name, name, name, timeoutMS+r.number))
	}
	return fmt.Sprintf(`{"name": "soak", "data_centres": ["%s"], "services": {%s}, "routes": [%s]}`,
		strings.Join(r.dataCentres, `", "`), strings.Join(services, ", "), strings.Join(routes, ", "))
}

// enforceLast rolls a last bundle out and checks that all nodes enforce it in time.
func (r *releases) enforceLast(ctx context.Context, hosts []*deployment.Host, limit time.Duration) {
	r.start(ctx)
	if _, err := deployment.WaitEnforced(ctx, hosts, r.newest, limit); err != nil {
		r.journal.violate("a release is not in force everywhere: %v", err)
	}
}

// watch checks until ctx ends that the sequence in force on a host never falls,
// also over restarts of its node.
func (r *releases) watch(ctx context.Context, h *deployment.Host) {
	highest := uint64(0)
	for ctx.Err() == nil {
		asking, cancel := context.WithTimeout(ctx, callTimeout)
		s, err := h.State(asking)
		cancel()
		if err == nil && s.Enforced > 0 {
			if s.Enforced < highest {
				r.journal.violate("%s enforces %d after %d", h.Name, s.Enforced, highest)
			}
			highest = max(highest, s.Enforced)
		}
		common.Sleep(ctx, watchInterval)
	}
}
