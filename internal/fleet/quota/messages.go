package quota

import (
	"cmp"
	"fmt"
	"math"
	"time"
)

// The methods of the internal calls. Their names and the field names of the messages below are on the wire and
// must not change: processes of other versions use the same names.
const (
	// MethodAcquire is called by a node of the data plane to acquire units from a quota owner.
	MethodAcquire = "Allowance.Take"
	// MethodMirror is called by an owner to mirror its buckets to the members that may own them next.
	MethodMirror = "Allowance.Reflect"
	// MethodTransfer is called by an owner to transfer a bucket to the next owner.
	MethodTransfer = "Allowance.HandOver"
)

// AcquireRequest asks an owner, or its deputy, for units of a tenant's quota. A unit is one request or one token,
// depending on the tenant's limit.
type AcquireRequest struct {
	Tenant   string
	Rate     float64 // the tenant's limit as the node knows it, in units per second
	Burst    float64 // units
	Need     float64 // units for waiting requests
	Ahead    float64 // units for requests that are expected soon
	Returned float64 // unused units of earlier grants
	Urgent   bool    // the need is for requests of the highest priority
	Deputy   bool    // the receiver is called as the deputy, because the owner does not respond
	Revision int64   // of the configuration that contains the limit
}

// Validate returns an error that names the first field which is not a finite number of units of at least 0.
func (r *AcquireRequest) Validate() error {
	return cmp.Or(validateUnits("Rate", r.Rate), validateUnits("Burst", r.Burst), validateUnits("Need", r.Need),
		validateUnits("Ahead", r.Ahead), validateUnits("Returned", r.Returned))
}

// AcquireReply is the reply to an AcquireRequest.
type AcquireReply struct {
	Granted float64
	Owner   bool          // the receiver is the owner, or its deputy while the owner is unresponsive
	Wait    time.Duration // until the need can be met, if nothing was granted
}

// Validate returns an error if what was granted is not a finite number of units of at least 0.
func (r *AcquireReply) Validate() error { return validateUnits("Granted", r.Granted) }

// Mirrors holds copies of all buckets of an owner.
type Mirrors struct {
	Epoch   uint64 // the view in which the sender is the owner
	Buckets []BucketState
}

// BucketState is the state of one bucket, for a new owner or for a mirror.
type BucketState struct {
	Epoch    uint64 // the view in which the receiver became the owner; 0 within Mirrors
	Tenant   string
	Level    float64
	Rate     float64
	Burst    float64
	Revision int64
}

// Validate returns an error that names the first field which is not a finite number of units. A level may be below 0.
func (s *BucketState) Validate() error {
	return cmp.Or(validateUnits("Level", math.Abs(s.Level)), validateUnits("Rate", s.Rate), validateUnits("Burst", s.Burst))
}

// maxUnits bounds every number of units in a message.
const maxUnits = 1e15

// validateUnits returns an error that names the field unless its value is a number from 0 to maxUnits.
func validateUnits(field string, units float64) error {
	if !(units >= 0 && units <= maxUnits) { // NaN is neither
		return fmt.Errorf("quota: field %s is %v", field, units)
	}
	return nil
}
