package replica

import "time"

// installExpiry is how long a member keeps fetching the base of a view that a proposer has asked it to install. It
// is longer than any attempt.
const installExpiry = 3 * time.Second

// pendingInstall is a state that a proposer has asked this member to store.
type pendingInstall struct {
	request    Install
	proposer   Member
	receivedAt time.Duration
}

func (m *Machine) onInstall(from Member, body Install) Ready {
	if body.Epoch <= m.view.Epoch {
		return m.sendViewIfBehind(from, body.Epoch-1)
	}
	if body.Epoch != m.view.Epoch+1 || !m.healthy {
		return Ready{}
	}
	m.transfer.install = &pendingInstall{request: body, proposer: from, receivedAt: m.now}
	out := m.sendInstalled()
	out.add(m.fetch())
	return out
}

// sendInstalled replies to a proposer once the log contains the requested state. The state is stored before the
// reply is sent.
func (m *Machine) sendInstalled() Ready {
	install := m.transfer.install
	if install == nil || !m.log.hasPosition(install.request.Base) {
		return Ready{}
	}
	m.transfer.install = nil
	body := Installed{Epoch: install.request.Epoch, Ballot: install.request.Ballot, Base: install.request.Base}
	return Ready{Messages: []Envelope{m.envelope(install.proposer, body)}}
}
