package proxy

import (
	"context"

	"linenwheel.dev/linenwheel/internal/fleet/errkind"
	"linenwheel.dev/linenwheel/internal/fleet/operator"
)

// acquireQuota acquires the tenant's quota for the request: one request, or the number of tokens that it states.
// If the quota is insufficient, it sets the Retry-After header and returns an error of kind OverQuota.
func (e *exchange) acquireQuota(ctx context.Context, table *operator.Table) error {
	if e.tenant == nil || e.tenant.Rate <= 0 {
		return nil
	}
	e.acquired = 1
	if e.tenant.ByTokens {
		e.acquired = e.prompt.usage()
		if e.acquired == 0 {
			e.acquired = e.tenant.PlainTokens
		}
	}
	ctx, cancel := context.WithDeadline(ctx, e.deadline)
	defer cancel()
	if ok, wait := e.handler.Quotas.Acquire(ctx, e.tenant, table.Revision, e.acquired, e.route.Priority == 0); !ok {
		e.acquired = 0
		e.writer.Header().Set("Retry-After", retryAfter(wait))
		return errkind.New(errkind.OverQuota, "")
	}
	return nil
}

// refundQuota refunds the quota that was acquired, provided that the request has certainly not run.
func (e *exchange) refundQuota() {
	if e.acquired > 0 && !e.mayHaveRun {
		e.handler.Quotas.Refund(e.tenant, e.acquired)
		e.acquired = 0
	}
}
