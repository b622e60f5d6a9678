package replica

import "time"

// Config are the parameters of a member.
type Config struct {
	MaxFailures       int           // number of simultaneous losses of members that are tolerated
	Seeds             []string      // internal addresses that always get heartbeats
	CanVote           bool          // this member can be a voter
	HeartbeatInterval time.Duration // between heartbeats
	FailureTimeout    time.Duration // without an answered heartbeat, after which a peer is unreachable
	JoinDelay         time.Duration // for which a peer must be reachable before it becomes a voter or joins the chain
	RetryInterval     time.Duration // before an unanswered message is sent again, and between the turns of proposers
	ProposalTimeout   time.Duration // after which an attempt to agree on a view is abandoned
	InstallTimeout    time.Duration // part of ProposalTimeout in which the chain must store the state with which it begins
	BootstrapPause    time.Duration // for which founders wait for further members once there are enough candidates
	BootstrapTimeout  time.Duration // for which founders wait for all of them before a majority bootstraps with those present
	TransferRate      int           // bytes a second at which a snapshot is fetched
}

// DefaultConfig returns the project's defaults. MaxFailures and Seeds are left to the caller.
func DefaultConfig() Config {
	return Config{CanVote: true, HeartbeatInterval: 100 * time.Millisecond, FailureTimeout: 500 * time.Millisecond,
		JoinDelay: 500 * time.Millisecond, RetryInterval: 300 * time.Millisecond, ProposalTimeout: time.Second,
		InstallTimeout: 500 * time.Millisecond, BootstrapPause: 600 * time.Millisecond, BootstrapTimeout: 3 * time.Second,
		TransferRate: 4 << 20}
}
