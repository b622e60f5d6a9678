package quota

import "time"

// The methods of the internal calls. Their names and the fields of the messages below are on the wire: a process of another
// version knows them by these names, so they keep them.
const (
	// MethodAcquire is the method by which a node of the data plane asks a quota owner for units.
	MethodAcquire = "Allowance.Take"
	// MethodMirror is the method by which an owner mirrors its buckets to the members that may own them next.
	MethodMirror = "Allowance.Reflect"
	// MethodTransfer is the method by which an owner transfers a bucket to the next owner.
	MethodTransfer = "Allowance.HandOver"
)

// AcquireRequest asks an owner, or its deputy, for units of a tenant's quota: requests or tokens, as the tenant's limit counts.
type AcquireRequest struct {
	Tenant   string
	Rate     float64 // the tenant's limit as the node knows it, in units a second
	Burst    float64 // units
	Need     float64 // units for the requests that are waiting
	Ahead    float64 // units for the requests that are expected soon
	Returned float64 // units that were granted earlier and not used
	Urgent   bool    // the need is for requests of the highest priority
	Deputy   bool    // the owner does not respond
	Revision int64   // of the configuration that the limit is from
}

// AcquireReply answers a AcquireRequest.
type AcquireReply struct {
	Granted float64
	Owner   bool          // the process asked is the owner, or its deputy while the owner is unresponsive
	Wait    time.Duration // until the need can be met, where nothing was granted
}

// Mirrors is a copy of all of an owner's buckets.
type Mirrors struct {
	Epoch   uint64 // the view in which the sender is the owner
	Buckets []BucketState
}

// BucketState is the state of one bucket, for a new owner or for a mirror.
type BucketState struct {
	Epoch    uint64 // the view that made the new owner; 0 within a Reflection
	Tenant   string
	Level    float64
	Rate     float64
	Burst    float64
	Revision int64
}
