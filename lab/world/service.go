package world

// Service is the list where it must be asked for: one service of fixed capacity for all nodes. Calls wait there in turn;
// one that would wait longer than it is ready to fails after that time, and has cost its work all the same.
type Service struct {
	Lines    float64 // that it can send in a millisecond
	Call     float64 // what a call costs besides the lines of its answer
	Patience float64 // ms

	free          float64 // when it has done all that it took
	Calls, Failed int
}

// Ask takes a call whose answer has so many lines and gives when the node hears of it.
func (s *Service) Ask(now, lines float64) (at float64, answered bool) {
	s.Calls++
	s.free = max(s.free, now)
	begin := s.free
	s.free += (s.Call + lines) / s.Lines
	if begin-now > s.Patience {
		s.Failed++
		return now + s.Patience, false
	}
	return s.free, true
}
