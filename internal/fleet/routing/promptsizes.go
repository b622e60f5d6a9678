package routing

// Parameters of the value of a request relative to others of its route.
const (
	sizeGain  = 0.02 // weight of a new request in its route's mean size
	baseValue = 0.3  // fraction of the value of a mean-size request that does not depend on size
	maxValue  = 4.0  // upper bound, as a multiple of the value of a mean-size request
)

// meanPromptSizes holds the mean size of the prompts of each route, in tokens.
type meanPromptSizes map[string]float64

// record updates the mean of a request's route with its size.
func (s meanPromptSizes) record(request *Request) {
	size := request.OwnTokens + request.SharedTokens
	mean, known := s[request.Route]
	if !known {
		s[request.Route] = size
		return
	}
	s[request.Route] = mean + sizeGain*(size-mean)
}

// value returns the value of a request relative to one of its route's mean size, whose value is 1: operators value
// long prompts higher.
func (s meanPromptSizes) value(request *Request) float64 {
	mean := s[request.Route]
	if mean <= 0 {
		return 1
	}
	return min(baseValue+(1-baseValue)*(request.OwnTokens+request.SharedTokens)/mean, maxValue)
}
