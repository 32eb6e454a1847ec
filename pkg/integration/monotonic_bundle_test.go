package integration

import (
	"fmt"
	"testing"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/lab/deployment"
	"github.com/hibiscusrock/hibiscusrock/pkg/lab/faultproxy"
)

// TestHoldsBundleNeverGoesBack guards against a node that enforces an older bundle
// than one it enforced before: it restarts without a disk and asks a stale peer,
// or releases reach it out of order.
func TestHoldsBundleNeverGoesBack(t *testing.T) {
	first := bundleText(dataCentres[:1], service{name: "quote", version: "v1"})
	second := bundleText(dataCentres[:1], service{name: "quote", version: "v1"}, service{name: "archive", version: "v1"})
	tests := map[string]func(*testing.T, *fleet){
		"a stale peer after a restart without the platform": func(t *testing.T, f *fleet) {
			restartWithStalePeer(t, f, second)
		},
		"all nodes killed in turn": func(t *testing.T, f *fleet) {
			f.enforce(second)
			for _, h := range f.d.Hosts("") {
				h.Node.Kill()
				f.must(f.d.StartNode(h))
				wantEnforced(t, f, []*deployment.Host{h}, 2)
			}
		},
		"releases with different delays per host": func(t *testing.T, f *fleet) {
			for i, h := range f.d.Hosts("") {
				h.Proxy.SetFaults(faultproxy.Faults{Delay: time.Duration(i*40) * time.Millisecond})
			}
			last := uint64(0)
			for i := range 6 {
				last = f.rollOut(bundleText(dataCentres[:1], service{name: "quote", version: fmt.Sprintf("v%d", i)}))
			}
			wantEnforced(t, f, f.d.Hosts(""), last)
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, 4, dataCentres[0])
			f.enforce(first)
			stop := f.watchSequences()
			test(t, f)
			stop()
		})
	}
}

// restartWithStalePeer restarts a node that enforced the second release. The node
// is cut off from the platform and from all nodes but one, the stale one, which was
// paused before the second release and holds the first. The partition lasts longer
// than the stale node needs to declare the others dead.
func restartWithStalePeer(t *testing.T, f *fleet, second string) {
	hosts := f.d.Hosts("")
	restarted, stale, others := hosts[0], hosts[3], hosts[1:3]
	stale.Node.Pause()
	sequence := f.rollOut(second)
	wantEnforced(t, f, hosts[:3], sequence)
	f.d.PlatformProxy(dataCentres[0]).SetFaults(faultproxy.Faults{SilenceAll: true})
	restarted.Node.Kill()
	cut := faultproxy.Faults{SilenceAll: true}
	for _, h := range others {
		stale.Proxy.SetFaultsFrom(h.IP, cut)
		restarted.Proxy.SetFaultsFrom(h.IP, cut)
		h.Proxy.SetFaultsFrom(stale.IP, cut)
		h.Proxy.SetFaultsFrom(restarted.IP, cut)
	}
	stale.Node.Resume()
	f.must(f.d.AddSeeds(restarted, stale, others[0], others[1]))
	f.must(f.d.StartNode(restarted))
	time.Sleep(2 * partitionTime)
	for _, h := range others {
		stale.Proxy.SetFaultsFrom(h.IP, faultproxy.Faults{})
		restarted.Proxy.SetFaultsFrom(h.IP, faultproxy.Faults{})
		h.Proxy.SetFaultsFrom(stale.IP, faultproxy.Faults{})
		h.Proxy.SetFaultsFrom(restarted.IP, faultproxy.Faults{})
	}
	wantEnforced(t, f, []*deployment.Host{restarted}, sequence)
}
