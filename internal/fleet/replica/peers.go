package replica

import (
	"slices"
	"time"
)

// peerExpiry is how long a process that is neither a voter nor a seed may be unreachable before no more heartbeats
// are sent to it.
const peerExpiry = 30 * time.Second

// peer is what a member knows about another control process.
type peer struct {
	member           Member // its incarnation is 0 until it has replied
	status           Status
	answeredAt       time.Duration
	reachableSince   time.Duration // 0: not reachable
	confirmedAt      time.Duration // send time of the latest heartbeat to which it replied from our epoch, not sealed
	unreachableSince time.Duration
	excludedUntil    time.Duration // left out of proposals until then, because it did not install a state in time
}

// AddPeers adds the addresses of control processes.
func (m *Machine) AddPeers(addresses []string) {
	for _, address := range addresses {
		if address != m.self.Address && address != "" && m.peers[address] == nil {
			m.peers[address] = &peer{member: Member{Address: address}, unreachableSince: m.now}
		}
	}
}

// SetSeeds replaces the seeds. Heartbeats are sent to the new seeds from now on; they do not become founders.
func (m *Machine) SetSeeds(addresses []string) {
	m.config.Seeds = addresses
	m.AddPeers(addresses)
}

func (m *Machine) addVoterPeers() {
	for _, voter := range m.view.Voters {
		m.AddPeers([]string{voter.Address})
	}
}

// shouldContact reports whether heartbeats are sent to a peer.
func (m *Machine) shouldContact(address string, p *peer) bool {
	if p.reachableSince > 0 || containsAddress(m.view.Voters, address) || slices.Contains(m.config.Seeds, address) ||
		m.view.Epoch == 0 && slices.Contains(m.founders, address) {
		return true
	}
	return m.now-p.unreachableSince < peerExpiry
}

// peerAddresses returns the sorted addresses of the peers to which heartbeats are sent.
func (m *Machine) peerAddresses() []string {
	addresses := make([]string, 0, len(m.peers))
	for address, p := range m.peers {
		if m.shouldContact(address, p) {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// knownAddresses returns the addresses that this member shares with its peers: those of the peers and its own.
func (m *Machine) knownAddresses() []string { return append(m.peerAddresses(), m.self.Address) }

// reachableAddresses returns the sorted addresses of the reachable peers.
func (m *Machine) reachableAddresses() []string {
	var reachable []string
	for address, p := range m.peers {
		if p.reachableSince > 0 {
			reachable = append(reachable, address)
		}
	}
	slices.Sort(reachable)
	return reachable
}
