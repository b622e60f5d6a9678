package replica

import "time"

// Config contains the parameters of a member.
type Config struct {
	MaxFailures       int           // number of simultaneous member failures that are tolerated
	Seeds             []string      // internal addresses to which heartbeats are always sent
	CanVote           bool          // this member can be a voter
	HeartbeatInterval time.Duration // time between heartbeats
	FailureTimeout    time.Duration // time without a heartbeat reply after which a peer is unreachable
	JoinDelay         time.Duration // time for which a peer must be reachable before it becomes a voter or joins the chain
	RetryInterval     time.Duration // time before an unanswered message is resent, and between the turns of proposers
	ProposalTimeout   time.Duration // time after which an attempt to agree on a view is abandoned
	InstallTimeout    time.Duration // part of ProposalTimeout in which the chain must store the base of the proposed view
	BootstrapPause    time.Duration // time for which founders wait for further members once there are enough candidates
	BootstrapTimeout  time.Duration // time for which founders wait for all others before a majority bootstraps without the rest
	TransferRate      int           // rate at which a snapshot is fetched, in bytes per second
	// StampOrigin is added to the stamps of heartbeats. It is drawn at random at each start of the process, from 0 to
	// MaxStampOrigin: the clock starts anew with the process, and a reply to a heartbeat of an earlier start must not be taken for
	// one of this start.
	StampOrigin time.Duration
}

// MaxStampOrigin is the largest value of Config.StampOrigin.
const MaxStampOrigin = 1 << 61

// DefaultConfig returns the default parameters. The caller sets MaxFailures and Seeds.
func DefaultConfig() Config {
	return Config{CanVote: true, HeartbeatInterval: 100 * time.Millisecond, FailureTimeout: 500 * time.Millisecond,
		JoinDelay: 500 * time.Millisecond, RetryInterval: 300 * time.Millisecond, ProposalTimeout: time.Second,
		InstallTimeout: 500 * time.Millisecond, BootstrapPause: 600 * time.Millisecond, BootstrapTimeout: 3 * time.Second,
		TransferRate: 4 << 20}
}
