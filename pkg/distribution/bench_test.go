package distribution

import (
	"context"
	"fmt"
	"testing"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
)

// plannedServices is the number of services that the deployment is designed for.
const plannedServices = 2500

// BenchmarkOffer measures the verification and activation of a release that
// changes one of plannedServices services.
func BenchmarkOffer(b *testing.B) {
	c := newChain(b)
	services := make([]string, plannedServices)
	for i := range services {
		services[i] = fmt.Sprintf("s%d", i)
	}
	h := New(common.New(), c.ring)
	h.Start(0)
	if err := h.Offer(context.Background(), c.add(services...), c.source()); err != nil {
		b.Fatal(err)
	}
	for i := 0; b.Loop(); i++ {
		b.StopTimer()
		services[0] = fmt.Sprintf("t%d", i)
		signed := c.add(services...)
		b.StartTimer()
		if err := h.Offer(context.Background(), signed, c.source()); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportAllocs()
}
