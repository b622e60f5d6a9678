package replica

import (
	"slices"
	"time"
)

// peerExpiry is how long a process that is neither voter nor seed may be unreachable before it gets no more heartbeats.
const peerExpiry = 30 * time.Second

// peer is what a member knows of another control process.
type peer struct {
	member           Member // its incarnation is 0 until it has answered
	status           Status
	answeredAt       time.Duration
	reachableSince   time.Duration // 0 = not reachable
	confirmedAt      time.Duration // send time of the latest heartbeat that it answered from our epoch, not sealed
	unreachableSince time.Duration
	excludedUntil    time.Duration // not proposed before then: it did not install a state in time
}

// AddPeers adds the addresses of control processes.
func (m *Machine) AddPeers(addresses []string) {
	for _, address := range addresses {
		if address != m.self.Address && address != "" && m.peers[address] == nil {
			m.peers[address] = &peer{member: Member{Address: address}, unreachableSince: m.now}
		}
	}
}

// SetSeeds replaces the seeds. They get heartbeats from now on; they do not become founders.
func (m *Machine) SetSeeds(addresses []string) {
	m.config.Seeds = addresses
	m.AddPeers(addresses)
}

func (m *Machine) addVoterPeers() {
	for _, voter := range m.view.Voters {
		m.AddPeers([]string{voter.Address})
	}
}

// shouldContact reports whether a peer gets heartbeats.
func (m *Machine) shouldContact(address string, p *peer) bool {
	if p.reachableSince > 0 || containsAddress(m.view.Voters, address) || slices.Contains(m.config.Seeds, address) ||
		m.view.Epoch == 0 && slices.Contains(m.founders, address) {
		return true
	}
	return m.now-p.unreachableSince < peerExpiry
}

// peerAddresses returns the addresses of the peers that get heartbeats, sorted.
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

// knownAddresses returns the addresses that this member passes on: those of its peers and its own.
func (m *Machine) knownAddresses() []string { return append(m.peerAddresses(), m.self.Address) }

// reachableAddresses returns the addresses of the reachable peers, sorted.
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
