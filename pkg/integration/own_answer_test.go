package integration

import (
	"cmp"
	"net/http"
	"testing"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/lab/faultproxy"
	"github.com/hibiscusrock/hibiscusrock/pkg/lab/load"
	"github.com/hibiscusrock/hibiscusrock/pkg/lab/standin"
)

// answerCase is a condition under which answers may be cut off or mismatched.
type answerCase struct {
	faults standin.BackendFaults
	path   string
	// during runs while requests are sent; may be nil.
	during func(*fleet)
	// maxMissingPercent bounds the requests without an answer, in percent.
	maxMissingPercent int
	// perSecond is the request rate, kept up for two seconds; 0 means 200.
	perSecond int
}

// TestHoldsWholeOwnAnswer guards against a caller that receives part of an answer
// or the answer to another request: connections are cut while an answer is
// transferred, and duplicate or late answers arrive on connections that are reused.
func TestHoldsWholeOwnAnswer(t *testing.T) {
	tests := map[string]answerCase{
		"large answers":         {path: "/quote/1?size=300000"},
		"large answers cut off": {path: "/quote/1?size=300000", faults: standin.BackendFaults{CutPercent: 20}, maxMissingPercent: 30},
		"small answers cut off": {path: "/quote/1", faults: standin.BackendFaults{CutPercent: 20}, maxMissingPercent: 10},
		"answers duplicated":    {path: "/quote/1", faults: standin.BackendFaults{DuplicateAnswers: true}, perSecond: 900},
		"answers that come after the timeout": {
			path:              "/quote/1",
			faults:            standin.BackendFaults{SlowMS: 500, OverInFlight: 2},
			maxMissingPercent: 100,
		},
		"connections between nodes cut during answers": {
			path:              "/quote/1?size=300000",
			maxMissingPercent: 40,
			during:            cutRepeatedly,
		},
		"connections silent for a while": {
			path:              "/quote/1",
			maxMissingPercent: 40,
			during: func(f *fleet) {
				for range 4 {
					time.Sleep(300 * time.Millisecond)
					setAllProxies(f, faultproxy.Faults{SilenceOpen: true})
					setAllProxies(f, faultproxy.Faults{})
				}
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { runAnswers(t, test) })
	}
}

func runAnswers(t *testing.T, test answerCase) {
	f := startFleet(t, 3, dataCentres[0])
	f.enforce(bundleText(dataCentres[:1], service{name: "quote", version: "v1", route: `"timeout_ms": 400`}))
	for _, h := range f.d.Hosts("")[:2] {
		f.startBackend(h, "quote", "v1", test.faults)
	}
	f.waitEndpoints("quote", 2)
	perSecond := cmp.Or(test.perSecond, 200)
	done := make(chan load.Result, 1)
	go func() { done <- f.sendLoad(http.MethodGet, test.path, float64(perSecond), 2*perSecond) }()
	if test.during != nil {
		test.during(f)
	}
	result := <-done
	t.Logf("%d of %d answered; others: %v", result.Succeeded(), len(result.Answers), result.Failures())
	for _, a := range result.Answers {
		if a.Status == http.StatusOK && a.Err == "" && !a.MatchesRequest() {
			t.Errorf("request %s got a mismatched or partial answer: %.200q", a.Mark, a.Body)
		}
	}
	if missing := len(result.Answers) - result.Succeeded(); missing*100 > test.maxMissingPercent*len(result.Answers) {
		t.Errorf("%d of %d requests went without an answer, want at most %d %%", missing, len(result.Answers), test.maxMissingPercent)
	}
}

// TestSilentConnections guards against requests that are lost because they were
// sent over an idle connection that no longer carries data. The open connections
// go silent for good while new ones work; all requests have to succeed over the new ones.
func TestSilentConnections(t *testing.T) {
	f := startFleet(t, 3, dataCentres[0])
	f.enforce(bundleText(dataCentres[:1], service{name: "order", version: "v1", route: `"timeout_ms": 2000`}))
	f.startBackend(f.d.Hosts("")[0], "order", "v1", standin.BackendFaults{})
	f.waitEndpoints("order", 1)
	f.sendUnkeyed("/order/1", 100, 100)
	setAllProxies(f, faultproxy.Faults{SilenceOpen: true})
	setAllProxies(f, faultproxy.Faults{})
	time.Sleep(time.Second)
	result := f.sendUnkeyed("/order/1", 50, 100)
	if result.Succeeded() != len(result.Answers) {
		t.Errorf("%d of %d orders answered after the connections went silent, want all: %v", result.Succeeded(), len(result.Answers), result.Failures())
	}
}
