/*
 * The platform's calls in Thrift: what a client sends to a node, a node to a rater, and what comes back. It is the mapping
 * of docs/design/thrift.md for those who write clients, raters and stand-ins. The node compiles nothing of it in: which
 * methods there are is set in its options; it reads the fields named here by their ids and passes on all else unread.
 */
namespace go rating
namespace js rating

/* What a node must know of a call. It is the first argument, with the field id 1, of each method. */
struct CallInfo {
  /* Names the call: printable, no spaces, 128 bytes at most. Each try of a client has a new one. */
  1: required string id
  /* How long the client will wait, in milliseconds from when it sent the call. To a rater: how long the node will. */
  2: required i32 deadline_ms
  /* The tenant, named as in the settings. */
  3: optional string owner
  /* Wanted by classes that carry a key: what makes two calls the same. */
  4: optional string key
  /* The client has tried before. */
  5: optional bool retry
}

/*
 * A refusal. From a node: trying again is harmless, after wait_ms where it is given. From a rater: the call was turned
 * away unseen and never ran.
 */
exception Declined {
  1: optional i32 wait_ms
  2: optional string reason
}

/* A failure. The call may have run. */
exception Failed {
  1: optional string reason
}

/*
 * Two methods as an example; any method with these field ids can be set as a class. A result is opaque to the node. What
 * cannot be read, has no known method or lacks what its class wants is answered with an application exception.
 */
service Rating {
  binary postCharge(1: CallInfo info, 2: binary record) throws (1: Declined declined, 2: Failed failed)
  binary capAlert(1: CallInfo info, 2: string account, 3: i64 limit) throws (1: Declined declined, 2: Failed failed)
}
