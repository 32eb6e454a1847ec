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

// answerCase is one way in which answers are endangered.
type answerCase struct {
	faults standin.BackendFaults
	path   string
	during func(*fleet)
	// most is the largest part of requests, in percent, that may go without an answer.
	most int
	// perSecond is the rate of requests, for two seconds; 200 if it is 0.
	perSecond int
}

// TestHoldsWholeOwnAnswer: every caller receives the whole answer to its own
// request, or none; never a part and never another's.
func TestHoldsWholeOwnAnswer(t *testing.T) {
	tests := map[string]answerCase{
		"large answers":      {path: "/quote/1?size=300000"},
		"answers cut short":  {path: "/quote/1?size=300000", faults: standin.BackendFaults{CutPercent: 20}, most: 30},
		"small answers cut":  {path: "/quote/1", faults: standin.BackendFaults{CutPercent: 20}, most: 10},
		"answers duplicated": {path: "/quote/1", faults: standin.BackendFaults{Duplicate: true}, perSecond: 900},
		"answers that come after the timeout": {
			path:   "/quote/1",
			faults: standin.BackendFaults{SlowMS: 500, OverInFlight: 2},
			most:   100,
		},
		"connections between nodes cut in the middle": {
			path:   "/quote/1?size=300000",
			most:   40,
			during: cutAgainAndAgain,
		},
		"connections silent for a while": {
			path: "/quote/1",
			most: 40,
			during: func(f *fleet) {
				for range 4 {
					time.Sleep(300 * time.Millisecond)
					setAll(f, faultproxy.Faults{Silence: true})
					setAll(f, faultproxy.Faults{})
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
		f.backend(h, "quote", "v1", test.faults)
	}
	f.waitEndpoints("quote", 2)
	perSecond := cmp.Or(test.perSecond, 200)
	done := make(chan load.Result, 1)
	go func() { done <- f.load(http.MethodGet, test.path, float64(perSecond), 2*perSecond) }()
	if test.during != nil {
		test.during(f)
	}
	result := <-done
	t.Logf("%d of %d answered; others: %v", result.Succeeded(), len(result.Answers), result.Failures())
	for _, a := range result.Answers {
		if a.Status == http.StatusOK && a.Err == "" && !a.IsOwn() {
			t.Errorf("request %s got another's answer or a part: %.200q", a.Mark, a.Body)
		}
	}
	if missing := len(result.Answers) - result.Succeeded(); missing*100 > test.most*len(result.Answers) {
		t.Errorf("%d of %d requests went without an answer, want at most %d %%", missing, len(result.Answers), test.most)
	}
}

// TestSilentConnections: open connections go silent for good while new ones
// work; requests go on over new ones.
func TestSilentConnections(t *testing.T) {
	f := startFleet(t, 3, dataCentres[0])
	f.enforce(bundleText(dataCentres[:1], service{name: "order", version: "v1", route: `"timeout_ms": 2000`}))
	f.backend(f.d.Hosts("")[0], "order", "v1", standin.BackendFaults{})
	f.waitEndpoints("order", 1)
	f.unkeyed("/order/1", 100, 100)
	setAll(f, faultproxy.Faults{Silence: true})
	setAll(f, faultproxy.Faults{})
	time.Sleep(time.Second)
	result := f.unkeyed("/order/1", 50, 100)
	if result.Succeeded() != len(result.Answers) {
		t.Errorf("%d of %d orders answered after the connections went silent, want all: %v", result.Succeeded(), len(result.Answers), result.Failures())
	}
}
