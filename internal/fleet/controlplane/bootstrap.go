package controlplane

import (
	"crypto/rand"
	"encoding/binary"
	"slices"
	"time"

	"linenwheel.dev/linenwheel/internal/fleet/replica"
	"linenwheel.dev/linenwheel/internal/fleet/settings"
)

const (
	snapshotLinkShare = 0.3     // fraction of the machine's link that a snapshot transfer may use
	bytesPerMegabit   = 1e6 / 8 // converts LinkMbps
)

// newMachine returns the replica's state machine, restored from the stored state. Without stored state, or if the
// stored state belongs to another address, this process is a new member and stores its identity before it
// participates: otherwise it could restart under another incarnation after having voted. Only a founder may
// propose the first view, and only if the platform declares (Bootstrap) that the whole system starts for the first
// time: two founding views would create two control planes.
func (n *Node) newMachine(stored replica.Stored) (*replica.Machine, error) {
	set := n.settings
	seeds := seedAddresses(set)
	if stored.Self.Address != set.OwnInternalAddress() {
		stored = replica.Stored{Self: replica.Member{Address: set.OwnInternalAddress(), Incarnation: randomID(), Domain: set.FailureDomain()}}
		stored.Founder = set.Bootstrap && slices.Contains(seeds, set.OwnInternalAddress())
		if stored.Founder {
			stored.Founders = seeds
		}
		if n.store != nil {
			identity := replica.SaveIdentity{Self: stored.Self, Founder: stored.Founder, Founders: stored.Founders}
			if err := n.store.Write([]replica.Record{identity}); err != nil {
				return nil, err
			}
		}
	}
	config := replica.DefaultConfig()
	config.MaxFailures = set.MaxFailures()
	config.Seeds = seeds
	config.StampOrigin = time.Duration(randomID() % replica.MaxStampOrigin)
	config.CanVote = set.CountsForQuorum || set.DataDir != ""
	if set.LinkMbps > 0 {
		config.TransferRate = int(set.LinkMbps * snapshotLinkShare * bytesPerMegabit)
	}
	return replica.New(config, stored, n.now())
}

// seedAddresses returns the internal addresses of the seeds, sorted and without duplicates.
func seedAddresses(set *settings.Settings) []string {
	var addresses []string
	for _, seed := range set.Seeds {
		if address := set.InternalAddress(seed); address != "" && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// ApplySettings applies a settings file that changed while the process runs. Only the seeds are updated.
func (n *Node) ApplySettings(set *settings.Settings) {
	n.setSeeds(set)
	n.replicator.SetSeeds(*n.seeds.Load())
}

// setSeeds replaces the seeds with which this process gossips.
func (n *Node) setSeeds(set *settings.Settings) {
	seeds := seedAddresses(set)
	n.seeds.Store(&seeds)
}

// randomID returns a random non-zero ID, drawn from 63 random bits.
func randomID() uint64 {
	var bytes [8]byte
	if _, err := rand.Read(bytes[:]); err != nil {
		panic(err)
	}
	return binary.BigEndian.Uint64(bytes[:])>>1 + 1
}
