package admission

import (
	"math"
	"time"
)

// offeredTime is the time over which the offered load is averaged: long beside
// a request, short beside a burst.
const offeredTime = time.Second

// offered is the work that comes to a gate, as the number of slots that it
// would keep busy.
type offered struct {
	slots float64
	at    time.Time
}

func (o *offered) add(now time.Time, work time.Duration) {
	o.slots = o.load(now) + float64(work)/float64(offeredTime)
	o.at = now
}

func (o *offered) load(now time.Time) float64 {
	if o.at.IsZero() {
		return 0
	}
	return o.slots * math.Exp(-float64(now.Sub(o.at))/float64(offeredTime))
}
