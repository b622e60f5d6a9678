package statemachine

import "encoding/json"

// session is the state of one client session. Replies are kept until the client confirms them, so that a retried
// command gets the reply of the first attempt.
type session struct {
	Name    string           `json:"name"`
	Opened  float64          `json:"opened"` // cluster time, ms
	Used    uint64           `json:"used"`   // index of the session's last command
	Done    uint64           `json:"done"`   // the client has received the replies to all numbers up to this one
	Replies map[uint64]Reply `json:"replies,omitempty"`
}

// Opening is the body of a command that opens a session.
type Opening struct {
	Name string `json:"name"`
}

// Sessions returns the number of open sessions.
func (m *Machine) Sessions() int { return len(m.sessions) }

// openSession opens a session whose number is the index of the entry. At MaxSessions it evicts the least recently
// used session.
func (m *Machine) openSession(index uint64, c *Command) Reply {
	var opening Opening
	if json.Unmarshal(c.Body, &opening) != nil || len(opening.Name) > maxNameBytes {
		return Reply{Code: Invalid, Text: "a session wants a name of 128 bytes at most"}
	}
	if len(m.sessions) >= MaxSessions {
		m.evictSession()
	}
	m.sessions[index] = &session{Name: opening.Name, Opened: m.now, Used: index, Replies: map[uint64]Reply{}}
	return Reply{Code: OK, Index: index}
}

// evictSession removes the least recently used session. Each entry uses one session, so that the choice is unique.
func (m *Machine) evictSession() {
	var oldestID uint64
	var oldest *session
	for id, s := range m.sessions {
		if oldest == nil || s.Used < oldest.Used {
			oldestID, oldest = id, s
		}
	}
	delete(m.sessions, oldestID)
}

// confirm drops the replies to all numbers up to the given one, which the client has received.
func (s *session) confirm(number uint64) {
	for s.Done < number {
		if s.Done++; len(s.Replies) == 0 {
			s.Done = number // bounds the loop to Window steps, whatever number a client sends
		}
		delete(s.Replies, s.Done)
	}
}

// earlierReply returns the reply to a command that must not be applied, because it was applied before or is
// outside the window.
func (s *session) earlierReply(number uint64) (Reply, bool) {
	switch r, applied := s.Replies[number]; {
	case applied:
		return r, true
	case number <= s.Done:
		return Reply{Code: SessionLost, Text: "its reply was confirmed before"}, true
	case number > s.Done+Window:
		return Reply{Code: Full, Text: "too many commands of the session are under way"}, true
	}
	return Reply{}, false
}
