package request

import "sync"

const (
	// maxSizedRoutes bounds the routes whose answers' sizes are kept.
	maxSizedRoutes = 1024
	// sizeWeight is the share of one answer in a route's mean size, as a divisor.
	sizeWeight = 8
	// messageKilobytes is what a request and its answer take between nodes
	// beside the answer's body.
	messageKilobytes = 0.6
	bytesPerKilobyte = 1000
)

// sizes keeps the mean size of the answers of each route.
type sizes struct {
	mu     sync.Mutex
	routes map[string]float64
}

func newSizes() *sizes { return &sizes{routes: make(map[string]float64)} }

// add takes in the size of one answer in bytes.
func (s *sizes) add(route string, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.routes) >= maxSizedRoutes {
		clear(s.routes)
	}
	size := float64(bytes) / bytesPerKilobyte
	old, ok := s.routes[route]
	if !ok {
		old = size
	}
	s.routes[route] = old + (size-old)/sizeWeight
}

// kilobytes returns what a request of a route and its answer take between nodes.
func (s *sizes) kilobytes(route string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return messageKilobytes + s.routes[route]
}
