package integration

import (
	"syscall"
	"testing"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/lab/deployment"
	"github.com/hibiscusrock/hibiscusrock/pkg/lab/faultproxy"
	"github.com/hibiscusrock/hibiscusrock/pkg/lab/standin"
)

// partitionTime is longer than the connection timeout and the time after which
// a suspected peer is declared dead.
const partitionTime = 6 * time.Second

var dataCentres = []string{"plateau", "almadies", "rufisque"}

// TestHoldsBundleInForceEverywhere guards against a node that does not enforce a
// signed release within 12 s: the platform, the network or other nodes fail before
// or during its distribution. A data centre that is cut off from the others
// keeps the old bundle and has 12 s from its reconnection.
func TestHoldsBundleInForceEverywhere(t *testing.T) {
	first := bundleText(dataCentres, service{name: "quote", version: "v1"})
	second := bundleText(dataCentres, service{name: "quote", version: "v1"}, service{name: "archive", version: "v1"})
	tests := map[string]func(*testing.T, *fleet){
		"platform down once one node enforces the release": func(t *testing.T, f *fleet) {
			sequence := f.rollOut(second)
			f.must(deployment.WaitFor(maxConvergeTime, func() error { return firstHostEnforces(f, sequence) }))
			f.must(f.d.SetPlatformFaults(standin.PlatformFaults{Down: true}))
			wantEnforced(t, f, f.d.Hosts(""), sequence)
		},
		"a third of the nodes restarted at once": func(t *testing.T, f *fleet) {
			sequence := f.rollOut(second)
			for i, h := range f.d.Hosts("") {
				if i%3 == 0 {
					h.Node.Kill()
					f.must(f.d.StartNode(h))
				}
			}
			wantEnforced(t, f, f.d.Hosts(""), sequence)
		},
		"a data centre without the platform": func(t *testing.T, f *fleet) {
			f.d.PlatformProxy("rufisque").SetFaults(faultproxy.Faults{SilenceAll: true})
			sequence := f.rollOut(second)
			wantEnforced(t, f, f.d.Hosts(""), sequence)
		},
		"a data centre cut off and rejoined": func(t *testing.T, f *fleet) {
			cutOff(f, "rufisque", true)
			sequence := f.rollOut(second)
			wantEnforced(t, f, append(f.d.Hosts("plateau"), f.d.Hosts("almadies")...), sequence)
			time.Sleep(partitionTime)
			for _, h := range f.d.Hosts("rufisque") {
				s, err := h.State(f.ctx)
				f.must(err)
				if s.Enforced != sequence-1 {
					t.Fatalf("%s enforces %d while cut off, want %d", h.Name, s.Enforced, sequence-1)
				}
			}
			cutOff(f, "rufisque", false)
			wantEnforced(t, f, f.d.Hosts("rufisque"), sequence)
		},
		"a data centre cut off before the rollout": func(t *testing.T, f *fleet) {
			cutOff(f, "rufisque", true)
			time.Sleep(partitionTime / 2)
			sequence := f.rollOut(second)
			wantEnforced(t, f, append(f.d.Hosts("plateau"), f.d.Hosts("almadies")...), sequence)
		},
		"open connections to the platform silent": func(t *testing.T, f *fleet) {
			for _, dataCentre := range dataCentres {
				f.d.PlatformProxy(dataCentre).SetFaults(faultproxy.Faults{SilenceOpen: true})
				f.d.PlatformProxy(dataCentre).SetFaults(faultproxy.Faults{})
			}
			sequence := f.rollOut(second)
			wantEnforced(t, f, f.d.Hosts(""), sequence)
		},
		"a node killed and another paused": func(t *testing.T, f *fleet) {
			// The killed node is a relay: the hash of its name is the lowest of the
			// four in its data centre (see fleet.Relays).
			f.d.Hosts("plateau")[1].Node.Signal(syscall.SIGSTOP)
			f.d.Hosts("almadies")[0].Node.Kill()
			sequence := f.rollOut(second)
			time.Sleep(time.Second)
			f.d.Hosts("plateau")[1].Node.Signal(syscall.SIGCONT)
			f.must(f.d.StartNode(f.d.Hosts("almadies")[0]))
			wantEnforced(t, f, f.d.Hosts(""), sequence)
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, 4, dataCentres...)
			f.enforce(first)
			stop := f.watchSequences()
			test(t, f)
			stop()
		})
	}
}

func firstHostEnforces(f *fleet, sequence uint64) error {
	_, err := deployment.WaitEnforced(f.ctx, f.d.Hosts("")[:1], sequence, 0)
	return err
}

func wantEnforced(t *testing.T, f *fleet, hosts []*deployment.Host, sequence uint64) {
	t.Helper()
	took, err := deployment.WaitEnforced(f.ctx, hosts, sequence, maxConvergeTime)
	f.must(err)
	t.Logf("in force on %d nodes after %v", len(hosts), took.Round(time.Millisecond))
}

// cutOff cuts a data centre off from the platform and all other data centres, or
// reconnects it if cut is false.
func cutOff(f *fleet, dataCentre string, cut bool) {
	f.d.PlatformProxy(dataCentre).SetFaults(faultproxy.Faults{SilenceAll: cut})
	for _, other := range dataCentres {
		if other != dataCentre {
			f.d.SetPartition(dataCentre, other, cut)
		}
	}
}
