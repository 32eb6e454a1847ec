package request

import (
	"strconv"
	"strings"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/admission"
	"github.com/hibiscusrock/hibiscusrock/pkg/verdict"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// applyLoad records how long work takes on the machine of the backend server now, if a load
// header tells it.
func (b *Backend) applyLoad(header string) {
	const fields, usual = 4, 100.0
	parts := strings.Split(header, ",")
	if len(parts) < fields {
		return
	}
	if percent, err := strconv.ParseFloat(strings.TrimSpace(parts[fields-1]), 64); err == nil {
		b.gate.SetSlowdown(percent / usual)
	}
}

// correctPlacement changes the wait that a request accepts by how much longer it takes on
// this backend server than the entry node expected. If that is more than the entry node
// accepts, another backend server is better, and the request is refused before it reaches
// this one. Entry nodes hear of a backend server too rarely to know its present speed.
func correctPlacement(b *Backend, in *wire.CallRequest, work admission.Work) (admission.Work, *verdict.Refusal) {
	if work.MaxWait == 0 {
		return work, nil
	}
	longer, known := b.gate.SlowdownWait(work, time.Duration(in.GetExpectedWorkMicros())*time.Microsecond)
	if !known {
		return work, nil
	}
	if longer >= work.MaxWait {
		return work, verdict.Refuse(verdict.NotRun, verdict.Busy).WithRetryAfter(longer)
	}
	work.MaxWait -= longer
	return work, nil
}
