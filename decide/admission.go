package decide

import (
	"fmt"
	"math"
)

const (
	minLimitFraction    = 0.55 // the least valuable work is admitted up to this fraction of the highest latency limit
	repeatValueFraction = 0.3  // relative value of a client's retry, which has used up much of its time
)

// admissionClassOf returns the index of a request's admission class. It depends on the request's class, on whether
// its tenant exceeds its quota as seen from this node's fraction of the traffic, and on whether it is a client's
// retry. It takes a quota token.
func (b *Balancer) admissionClassOf(r *Request) int {
	index := 4 * r.Class
	if known := r.Tenant >= 0 && r.Tenant < len(b.tenantTokens); known && b.tenantTokens[r.Tenant] >= 1 {
		b.tenantTokens[r.Tenant]--
	} else if known && b.settings.Tenants[r.Tenant].Quota > 0 {
		index++
	}
	if r.Repeat {
		index += 2
	}
	return index
}

// setAdmissionLimits sets the expected latency up to which each admission class is admitted, given a capacity in
// units per second. The class with the lowest value per unit is rejected first. It logs the start of an overload.
func (b *Balancer) setAdmissionLimits(capacity float64) {
	if short := b.arrivalRate > capacity; short != b.shedding {
		if b.shedding = short; short {
			b.actions.Log(fmt.Sprintf("overload: capacity for %.1f of %.1f arriving units/s", capacity, b.arrivalRate))
		}
	}
	maxLatency := math.Inf(1)
	for _, c := range b.classes {
		maxLatency = min(maxLatency, targetFraction*c.Target.Seconds()/c.work)
	}
	valueFactors := [4]float64{1, b.settings.OverQuotaValue, repeatValueFraction, repeatValueFraction * b.settings.OverQuotaValue}
	maxValue := 1e-12
	for i := range b.admissionClasses {
		c := &b.classes[i/4]
		b.admissionClasses[i].value = c.Value / c.work * valueFactors[i%4]
		maxValue = max(maxValue, b.admissionClasses[i].value)
	}
	for i := range b.admissionClasses {
		a := &b.admissionClasses[i]
		a.latencyLimit = maxLatency * (minLimitFraction + (1-minLimitFraction)*math.Sqrt(a.value/maxValue))
	}
}

// refillTenantTokens adds this node's fraction of each tenant's quota for the elapsed time in seconds.
func (b *Balancer) refillTenantTokens(elapsed float64) {
	for i := range b.tenantTokens {
		rate := b.settings.Tenants[i].Quota / float64(b.settings.Nodes)
		b.tenantTokens[i] = min(b.tenantTokens[i]+rate*elapsed, max(2*rate, 3))
	}
}
