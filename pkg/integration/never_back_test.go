package integration

import (
	"fmt"
	"testing"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/lab/deployment"
	"github.com/hibiscusrock/hibiscusrock/pkg/lab/faultproxy"
)

// TestHoldsBundleNeverGoesBack: no node returns to an older bundle than one it
// has enforced, restarts without a disk included.
func TestHoldsBundleNeverGoesBack(t *testing.T) {
	first := bundleText(dataCentres[:1], service{name: "quote", version: "v1"})
	second := bundleText(dataCentres[:1], service{name: "quote", version: "v1"}, service{name: "archive", version: "v1"})
	tests := map[string]func(*testing.T, *fleet){
		"a stale peer after a restart without the platform": func(t *testing.T, f *fleet) {
			restartBesideStalePeer(t, f, second)
		},
		"all relays killed in turn": func(t *testing.T, f *fleet) {
			f.enforce(second)
			for _, h := range f.d.Hosts("") {
				h.Node.Kill()
				f.must(f.d.StartNode(h))
				wantEnforced(t, f, []*deployment.Host{h}, 2)
			}
		},
		"updates that cross each other": func(t *testing.T, f *fleet) {
			for i, h := range f.d.Hosts("") {
				h.Proxy.Set(faultproxy.Faults{Delay: time.Duration(i*40) * time.Millisecond})
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

// restartBesideStalePeer restarts a node that enforced the second release while
// a node that was frozen since the first is the one that answers soonest.
func restartBesideStalePeer(t *testing.T, f *fleet, second string) {
	hosts := f.d.Hosts("")
	restarted, stale := hosts[0], hosts[3]
	stale.Node.Pause()
	sequence := f.rollOut(second)
	wantEnforced(t, f, hosts[:3], sequence)
	f.d.PlatformProxy(dataCentres[0]).Set(faultproxy.Faults{SilenceAll: true})
	restarted.Node.Kill()
	for _, h := range hosts[1:3] {
		h.Proxy.Set(faultproxy.Faults{Delay: 300 * time.Millisecond})
	}
	stale.Proxy.SetFrom(hosts[1].IP, faultproxy.Faults{SilenceAll: true})
	stale.Proxy.SetFrom(hosts[2].IP, faultproxy.Faults{SilenceAll: true})
	stale.Node.Resume()
	f.must(f.d.AddSeeds(restarted, stale, hosts[1], hosts[2]))
	f.must(f.d.StartNode(restarted))
	wantEnforced(t, f, []*deployment.Host{restarted}, sequence)
}
