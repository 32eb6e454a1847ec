package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/fleet"
	"github.com/hibiscusrock/hibiscusrock/pkg/gossip"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// newTestPicker returns a picker that knows one backend server in its own data
// centre and one elsewhere, by what their nodes reported.
func newTestPicker(local, remote fleet.Report) *Picker {
	now := time.Unix(1000, 0)
	cm := common.New(common.WithClock(func() time.Time { return now }))
	records := gossip.New()
	members := fleet.NewMembers(cm, records, &wire.Member{Node: "self", DataCentre: "plateau"})
	endpoints := fleet.NewEndpoints(records, members)
	reports := map[string]fleet.Report{"local": local, "remote": remote}
	for node, dataCentre := range map[string]string{"local": "plateau", "remote": "rufisque"} {
		records.Set(&wire.Record{Key: gossip.PrefixMember + node, Epoch: 1, Body: &wire.Record_Member{Member: &wire.Member{Node: node, DataCentre: dataCentre}}})
		records.Set(&wire.Record{Key: fleet.EndpointKey(node, "i"), Epoch: 1, Body: &wire.Record_Endpoint{Endpoint: &wire.Endpoint{
			Node: node, Instance: "i", Service: "quotes", Version: "v1", DataCentre: dataCentre, Slots: 6,
		}}})
	}
	for _, e := range endpoints.Usable("quotes", func(*wire.Endpoint) bool { return true }) {
		e.Observed().Observe(now, "view", 1, reports[e.Record().GetNode()])
	}
	return NewPicker(cm.Now, endpoints, "plateau")
}

// TestPick: which of two backend servers a request goes to, by what was
// reported of them; the first is in this data centre, the second elsewhere.
func TestPick(t *testing.T) {
	const objective = 400 * time.Millisecond
	fast := fleet.Report{Work: 100 * time.Millisecond}
	tests := map[string]struct {
		local, remote fleet.Report
		want          string
	}{
		"equal":                        {fast, fast, "local"},
		"a short wait here":            {fleet.Report{Work: 100 * time.Millisecond, Wait: 50 * time.Millisecond}, fast, "local"},
		"late here":                    {fleet.Report{Work: 100 * time.Millisecond, Wait: 300 * time.Millisecond}, fast, "remote"},
		"slow here":                    {fleet.Report{Work: 350 * time.Millisecond}, fast, "remote"},
		"late everywhere":              {fleet.Report{Work: 600 * time.Millisecond}, fleet.Report{Work: 600 * time.Millisecond}, "local"},
		"failing here":                 {fleet.Report{Work: 100 * time.Millisecond, Failing: 0.5}, fast, "remote"},
		"a failure now and then":       {fleet.Report{Work: 100 * time.Millisecond, Failing: 0.02}, fast, "local"},
		"slower here, but on time yet": {fleet.Report{Work: 160 * time.Millisecond}, fast, "local"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newTestPicker(test.local, test.remote)
			choice, ok := p.Pick(Need{Service: "quotes", Version: "v1", Kind: "view", Priority: 1, Objective: objective, Left: objective, Kilobytes: 5}, nil)
			if !ok {
				t.Fatal("nothing was picked")
			}
			if got := choice.Endpoint.Record().GetNode(); got != test.want {
				t.Errorf("got %s, want %s (%s)", got, test.want, fmt.Sprintf("%+v", choice))
			}
			if choice.MaxWait < choice.State.Wait || choice.MaxWait > choice.State.Wait+objective {
				t.Errorf("accepts a wait of %v where %v is expected", choice.MaxWait, choice.State.Wait)
			}
		})
	}
}

func newReport(workMS int) fleet.Report {
	return fleet.Report{Work: time.Duration(workMS) * time.Millisecond}
}
