package integration

import (
	"syscall"
	"testing"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/lab/deployment"
	"github.com/hibiscusrock/hibiscusrock/pkg/lab/faultproxy"
	"github.com/hibiscusrock/hibiscusrock/pkg/lab/standin"
)

// cutTime is longer than the timeouts of connections and of suspicion.
const cutTime = 6 * time.Second

var dataCentres = []string{"plateau", "almadies", "rufisque"}

// TestHoldsBundleInForceEverywhere: a signed-off bundle is in force on every
// node within 12 s.
func TestHoldsBundleInForceEverywhere(t *testing.T) {
	first := bundleText(dataCentres, service{name: "quote", version: "v1"})
	second := bundleText(dataCentres, service{name: "quote", version: "v1"}, service{name: "archive", version: "v1"})
	tests := map[string]func(*testing.T, *fleet){
		"platform out after sign-off": func(t *testing.T, f *fleet) {
			sequence := f.rollOut(second)
			f.must(deployment.WaitFor(convergeLimit, func() error { return anyHolds(f, sequence) }))
			f.must(f.d.SetPlatformFaults(standin.Faults{Down: true}))
			wantEnforced(t, f, f.d.Hosts(""), sequence)
		},
		"a third of the nodes restarted in a storm": func(t *testing.T, f *fleet) {
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
			f.d.PlatformProxy("rufisque").Set(faultproxy.Faults{SilenceAll: true})
			sequence := f.rollOut(second)
			wantEnforced(t, f, f.d.Hosts(""), sequence)
		},
		"a data centre cut off and rejoined": func(t *testing.T, f *fleet) {
			cutOff(f, "rufisque", true)
			sequence := f.rollOut(second)
			wantEnforced(t, f, append(f.d.Hosts("plateau"), f.d.Hosts("almadies")...), sequence)
			time.Sleep(cutTime)
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
		"a data centre silent for a while already": func(t *testing.T, f *fleet) {
			cutOff(f, "rufisque", true)
			time.Sleep(cutTime / 2)
			sequence := f.rollOut(second)
			wantEnforced(t, f, append(f.d.Hosts("plateau"), f.d.Hosts("almadies")...), sequence)
		},
		"the platform's watches silent": func(t *testing.T, f *fleet) {
			for _, dataCentre := range dataCentres {
				f.d.PlatformProxy(dataCentre).Set(faultproxy.Faults{Silence: true})
				f.d.PlatformProxy(dataCentre).Set(faultproxy.Faults{})
			}
			sequence := f.rollOut(second)
			wantEnforced(t, f, f.d.Hosts(""), sequence)
		},
		"relays killed and a node frozen": func(t *testing.T, f *fleet) {
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

func anyHolds(f *fleet, sequence uint64) error {
	_, err := deployment.WaitEnforced(f.ctx, f.d.Hosts("")[:1], sequence, 0)
	return err
}

func wantEnforced(t *testing.T, f *fleet, hosts []*deployment.Host, sequence uint64) {
	t.Helper()
	took, err := deployment.WaitEnforced(f.ctx, hosts, sequence, convergeLimit)
	f.must(err)
	t.Logf("in force on %d nodes after %v", len(hosts), took.Round(time.Millisecond))
}

// cutOff cuts a data centre off from the platform and all others.
func cutOff(f *fleet, dataCentre string, cut bool) {
	f.d.PlatformProxy(dataCentre).Set(faultproxy.Faults{SilenceAll: cut})
	for _, other := range dataCentres {
		if other != dataCentre {
			f.d.Partition(dataCentre, other, cut)
		}
	}
}
