package quota

import "time"

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

// AcquireReply is the reply to an AcquireRequest.
type AcquireReply struct {
	Granted float64
	Owner   bool          // the receiver is the owner, or its deputy while the owner is unresponsive
	Wait    time.Duration // until the need can be met, if nothing was granted
}

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
