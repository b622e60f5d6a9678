package routing

// The figures of what a request is worth beside others of its route.
const (
	sizeGain  = 0.02 // part by which a request moves the mean of its route
	baseValue = 0.3  // of a request's worth that its size does not matter for
	maxValue  = 4.0  // times the worth of a request of mean size
)

// meanSizes are the mean sizes of the prompts of each route, in tokens.
type meanSizes map[string]float64

func (s meanSizes) record(request *Request) {
	size := request.OwnTokens + request.SharedTokens
	mean, known := s[request.Route]
	if !known {
		s[request.Route] = size
		return
	}
	s[request.Route] = mean + sizeGain*(size-mean)
}

// value is what a request is worth beside one of mean size: operators value long prompts higher.
func (s meanSizes) value(request *Request) float64 {
	mean := s[request.Route]
	if mean <= 0 {
		return 1
	}
	return min(baseValue+(1-baseValue)*(request.OwnTokens+request.SharedTokens)/mean, maxValue)
}
