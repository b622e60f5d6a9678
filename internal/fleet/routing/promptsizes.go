package routing

// Parameters of the value of a request beside others of its route.
const (
	sizeGain  = 0.02 // fraction by which a request moves its route's mean size
	baseValue = 0.3  // part of the value of a request of mean size that does not depend on its size
	maxValue  = 4.0  // times the value of a request of mean size
)

// meanPromptSizes holds the mean size of the prompts of each route, in tokens.
type meanPromptSizes map[string]float64

// record moves the mean of a request's route towards its size.
func (s meanPromptSizes) record(request *Request) {
	size := request.OwnTokens + request.SharedTokens
	mean, known := s[request.Route]
	if !known {
		s[request.Route] = size
		return
	}
	s[request.Route] = mean + sizeGain*(size-mean)
}

// value returns the value of a request beside one of its route's mean size, which is 1: operators value long prompts higher.
func (s meanPromptSizes) value(request *Request) float64 {
	mean := s[request.Route]
	if mean <= 0 {
		return 1
	}
	return min(baseValue+(1-baseValue)*(request.OwnTokens+request.SharedTokens)/mean, maxValue)
}
