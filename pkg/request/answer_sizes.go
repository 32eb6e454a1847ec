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
	// maxShortAnswerBytes bounds the answers that the listener sends only when they are
	// complete.
	maxShortAnswerBytes = 64 << 10
)

// answerSizes stores, for each route, a moving average of the answers' sizes in kilobytes
// and whether one was long. An answer in several chunks counts for the average with its
// first chunk only.
type answerSizes struct {
	mu     sync.Mutex
	routes map[string]answerSize
}

type answerSize struct {
	kilobytes float64
	// isKnown is set once an answer was sent whole, isLong once one was longer than
	// maxShortAnswerBytes.
	isKnown, isLong bool
}

func newAnswerSizes() *answerSizes { return &answerSizes{routes: make(map[string]answerSize)} }

// record notes a chunk of an answer that has the given number of bytes so far.
func (s *answerSizes) record(route string, bytes int, first, last bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	size, ok := s.routes[route]
	if !ok && len(s.routes) >= maxAnswerSizeRoutes {
		clear(s.routes)
	}
	if first {
		kilobytes := float64(bytes) / bytesPerKilobyte
		if !ok {
			size.kilobytes = kilobytes
		}
		size.kilobytes += (kilobytes - size.kilobytes) / sizeEWMADivisor
	}
	size.isKnown = size.isKnown || last
	size.isLong = size.isLong || bytes > maxShortAnswerBytes
	s.routes[route] = size
}

// areShort reports whether all answers of a route so far, and at least one, had at most
// maxShortAnswerBytes.
func (s *answerSizes) areShort(route string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	size := s.routes[route]
	return size.isKnown && !size.isLong
}

// callKilobytes returns the expected traffic between nodes of a request of a route
// and its answer.
func (s *answerSizes) callKilobytes(route string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return callOverheadKilobytes + s.routes[route].kilobytes
}
