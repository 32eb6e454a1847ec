package admission

import (
	"maps"
	"time"
)

// maxFairAccounts bounds the accounts whose shares are kept. Further ones start at the
// present tag each time.
const maxFairAccounts = 4096

// fairness shares the slots of a backend server among client accounts by start-time fair
// queueing: each request gets the tag at which its account's earlier requests end, in
// expected work, and lower tags are served first. It answers the load of one account that
// sends many times its usual, or whose callers repeat at once: that account waits for itself.
// An account that was idle starts at the present tag and has saved nothing up.
type fairness struct {
	// virtual is the highest tag of a request that was started.
	virtual time.Duration
	// ends holds the tag at which the requests of each account end that were queued or started.
	ends map[string]time.Duration
}

// tag returns the tag of a further request of an account.
func (f *fairness) tag(account string) time.Duration {
	if account == "" {
		return 0
	}
	return max(f.virtual, f.ends[account])
}

// enter adds the expected work of a request with a tag.
func (f *fairness) enter(account string, tag, expected time.Duration) {
	if account == "" {
		return
	}
	if f.ends == nil {
		f.ends = make(map[string]time.Duration)
	}
	if _, ok := f.ends[account]; !ok && len(f.ends) >= maxFairAccounts {
		maps.DeleteFunc(f.ends, func(_ string, end time.Duration) bool { return end <= f.virtual })
		if len(f.ends) >= maxFairAccounts {
			return
		}
	}
	f.ends[account] = tag + expected
}

// leave takes the work of a request out that is not served. Calls after the first for a
// request have no effect.
func (f *fairness) leave(w *waiter) {
	end, ok := f.ends[w.work.Account]
	if ok && !w.left {
		f.ends[w.work.Account] = end - w.expected
	}
	w.left = true
}

// start records that the request with a tag was started.
func (f *fairness) start(tag time.Duration) { f.virtual = max(f.virtual, tag) }
