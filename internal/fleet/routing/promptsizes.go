package routing

// The figures of what a request is worth beside others of its route.
const (
	sizeMemory = 0.02 // part by which a request moves the mean of its route
	worthBase  = 0.3  // of a request's worth that its size does not matter for
	worthMost  = 4.0  // times the worth of a request of mean size
)

// sizes are the mean sizes of the prompts of each route, in tokens.
type sizes map[string]float64

func (s sizes) note(request *Request) {
	size := request.OwnTokens + request.SharedTokens
	mean, known := s[request.Route]
	if !known {
		s[request.Route] = size
		return
	}
	s[request.Route] = mean + sizeMemory*(size-mean)
}

// worth is what a request is worth beside one of mean size: operators value long prompts higher.
func (s sizes) worth(request *Request) float64 {
	mean := s[request.Route]
	if mean <= 0 {
		return 1
	}
	return min(worthBase+(1-worthBase)*(request.OwnTokens+request.SharedTokens)/mean, worthMost)
}
