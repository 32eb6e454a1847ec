package request

import (
	"errors"
	"net/http"

	"github.com/hibiscusrock/hibiscusrock/pkg/bundle"
	"github.com/hibiscusrock/hibiscusrock/pkg/routing"
	"github.com/hibiscusrock/hibiscusrock/pkg/usage"
	"github.com/hibiscusrock/hibiscusrock/pkg/verdict"
)

// authenticate returns the account of a request, or nil for one on a public route that names
// none. A request that has to name an account by exactly one known key is refused otherwise.
func (e *Entry) authenticate(table *routing.Table, route *bundle.Route, r *http.Request) (*bundle.Account, *verdict.Refusal) {
	if !table.HasAccounts() {
		return nil, nil
	}
	keys := r.Header.Values(e.headers.AccountKey)
	if len(keys) == 1 {
		if account := table.AccountOf(keys[0]); account != nil {
			return account, nil
		}
	}
	if route.Public {
		return nil, nil
	}
	e.Count(`hibiscusrock_keys_refused_total`)
	return nil, verdict.Refuse(verdict.NotRun, verdict.UnknownKey)
}

// takeUsage counts a request against the usage cap of its account, before anything of its
// body is read.
func (e *Entry) takeUsage(r *http.Request, account *bundle.Account) *verdict.Refusal {
	if account == nil || !account.IsCapped() {
		return nil
	}
	admitted, retryAfter, err := e.hooks.Usage.Admit(r.Context(), account.Name)
	switch {
	case errors.Is(err, r.Context().Err()) && err != nil:
		return verdict.Refuse(verdict.NotRun, verdict.CallerGone)
	case err != nil:
		return verdict.Refuse(verdict.NotRun, verdict.UsageUnknown).WithRetryAfter(defaultRetryAfter)
	case !admitted:
		e.Count(`hibiscusrock_usage_refused_total`)
		return verdict.Refuse(verdict.NotRun, verdict.UsageCapReached).WithRetryAfter(usage.SpreadRetry(retryAfter))
	}
	return nil
}

// returnUsage gives the credit of a request back that has not run.
func (e *Entry) returnUsage(c *call, refusal *verdict.Refusal) {
	if c != nil && c.account != nil && c.account.IsCapped() && refusal != nil && refusal.Verdict() == verdict.NotRun {
		e.hooks.Usage.Return(c.account.Name)
	}
}

// replacedHeaders returns the headers of a caller's request that are not passed on, as nodes
// set them anew or keep them to themselves.
func (e *Entry) replacedHeaders(table *routing.Table) []string {
	names := e.headers.replacedHeaders()
	if table.HasAccounts() {
		names = append(names, e.headers.AccountKey, e.headers.Account)
	}
	return names
}

// priorityOf returns the rank of a request: that of its account, or of its route.
func priorityOf(route *bundle.Route, account *bundle.Account) int {
	if account != nil && account.Priority != nil {
		return *account.Priority
	}
	return route.Priority
}
