package request

import "sync"

const (
	// maxAnswerSizeRoutes bounds the routes for which a mean size is stored.
	maxAnswerSizeRoutes = 1024
	// The weight of one answer in a route's mean size is 1/sizeEWMADivisor.
	sizeEWMADivisor = 8
	// callOverheadKilobytes is the traffic of a request and its answer between
	// nodes, without the answer's body.
	callOverheadKilobytes = 0.6
	bytesPerKilobyte      = 1000
)

// answerSizes stores a moving average of the answers' sizes of each route, in
// kilobytes. An answer in several chunks counts with its first chunk only.
type answerSizes struct {
	mu     sync.Mutex
	routes map[string]float64
}

func newAnswerSizes() *answerSizes { return &answerSizes{routes: make(map[string]float64)} }

// record adds the size of one answer in bytes.
func (s *answerSizes) record(route string, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.routes) >= maxAnswerSizeRoutes {
		clear(s.routes)
	}
	size := float64(bytes) / bytesPerKilobyte
	old, ok := s.routes[route]
	if !ok {
		old = size
	}
	s.routes[route] = old + (size-old)/sizeEWMADivisor
}

// callKilobytes returns the expected traffic between nodes of a request of a route
// and its answer.
func (s *answerSizes) callKilobytes(route string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return callOverheadKilobytes + s.routes[route]
}
