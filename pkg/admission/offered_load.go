package admission

import (
	"math"
	"time"
)

// offeredLoadWindow is the time constant of the moving average of the offered
// load. It is long compared with a request and short compared with a burst.
const offeredLoadWindow = time.Second

// offeredLoad is an exponentially decaying average of the work that arrives at a
// gate, as the number of slots that the work would keep busy.
type offeredLoad struct {
	slots     float64
	updatedAt time.Time
}

// add records a request that arrived with the given expected work.
func (o *offeredLoad) add(now time.Time, work time.Duration) {
	o.slots = o.current(now) + float64(work)/float64(offeredLoadWindow)
	o.updatedAt = now
}

// current returns the average, in slots, decayed since the last request.
func (o *offeredLoad) current(now time.Time) float64 {
	if o.updatedAt.IsZero() {
		return 0
	}
	return o.slots * math.Exp(-float64(now.Sub(o.updatedAt))/float64(offeredLoadWindow))
}
