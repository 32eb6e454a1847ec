package listener

// pipeline holds the requests of one connection that are not answered yet, in the
// order of their arrival, and decides which of them may run. It does no I/O and is
// not safe for concurrent use.
//
// Requests behind the first one run ahead of their turn if they and all before
// them are idempotent and have no body. Any other request waits until it is the
// first, and those behind it wait for its answer: a caller sends what stands behind
// an answer that closes the connection again, so it must not have run unless it may
// run twice. They also wait behind an answer that is long or already sent in parts,
// because one that breaks off ends the connection and with it what stands behind it.
type pipeline struct {
	queue []*exchange
	// closing is set when nothing more is read and run ahead, since the connection
	// closes as soon as an answer can be the last one.
	closing bool
	// ended is set when the last answer was chosen, or when none can be sent any
	// more. The requests that are left count as not read.
	ended bool
	// isIdempotent classifies a request that was read. It is called only for connections
	// on which more than one request waits.
	isIdempotent func(*exchange) bool
	// isShort reports whether the answer is expected to be complete before any of it is
	// sent. It is called like isIdempotent.
	isShort func(*exchange) bool
}

func (p *pipeline) push(x *exchange) { p.queue = append(p.queue, x) }

// first returns the request whose answer is due, or nil.
func (p *pipeline) first() *exchange {
	if len(p.queue) == 0 {
		return nil
	}
	return p.queue[0]
}

// pop removes the first request, which was answered.
func (p *pipeline) pop() {
	p.queue[0] = nil
	p.queue = p.queue[1:]
}

// start marks the requests that may run now as started and returns them.
func (p *pipeline) start() []*exchange {
	if p.ended {
		return nil
	}
	var started []*exchange
	for i, x := range p.queue {
		if i > 0 && (p.closing || !p.mayRunAhead(x)) {
			break
		}
		if !x.started {
			x.started = true
			started = append(started, x)
		}
		if i+1 < len(p.queue) && (x.inParts || !p.mayRunAhead(x) || !p.isShort(x)) {
			break
		}
	}
	return started
}

// hasStartedBehind reports whether a request behind the first one was started.
func (p *pipeline) hasStartedBehind() bool { return len(p.queue) > 1 && p.queue[1].started }

// mayRunAhead reports whether x may run before earlier requests are answered and
// whether later ones may run before x is. An answer to HTTP/1.0 may end with the
// connection, so nothing runs behind it.
func (p *pipeline) mayRunAhead(x *exchange) bool {
	return !x.refused && x.body == nil && x.request.ProtoAtLeast(1, 1) && p.isIdempotent(x)
}

// chooseLast makes the answer to the first request the last one of a closing
// connection and returns true, unless a request behind it was started or was read
// whole. Requests that were read whole are answered at their turn, except behind an
// answer with isEnd set, which only the end of the connection can end.
func (p *pipeline) chooseLast(isEnd bool) bool {
	if !p.closing {
		return false
	}
	for _, x := range p.queue[1:] {
		if x.started || x.body == nil && !isEnd {
			return false
		}
	}
	p.ended = true
	return true
}

// mayRead reports whether another request may be read within the limit of requests.
func (p *pipeline) mayRead(aheadRequests int) bool {
	return !p.closing && len(p.queue) <= aheadRequests
}
