package catalog

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/hibiscusrock/hibiscusrock/pkg/fault"
	"github.com/hibiscusrock/hibiscusrock/pkg/rollout"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// PutReport stores a report and replaces an earlier one of the same data centre on
// the same move.
func (c *Catalog) PutReport(ctx context.Context, r Report) error {
	data, err := json.Marshal(r)
	if err != nil {
		return fault.Wrap(err, fault.KindInternal, "cannot encode a report", "")
	}
	return c.client.Put(ctx, reportKey(r), data, 0)
}

// Report returns the latest report of a data centre on a move, and false when
// there is none that can be decoded.
func (c *Catalog) Report(ctx context.Context, sequence uint64, dataCentre, service string) (Report, bool, error) {
	want := Report{Sequence: sequence, DataCentre: dataCentre, Service: service}
	kv, found, err := c.client.Get(ctx, reportKey(want))
	if err != nil || !found {
		return want, false, err
	}
	err = json.Unmarshal(kv.Value, &want)
	return want, err == nil, nil
}

// Reports returns up to 1000 reports on the moves that the release with a
// sequence declared. Reports that cannot be decoded are left out.
func (c *Catalog) Reports(ctx context.Context, sequence uint64) ([]Report, error) {
	kvs, err := c.client.List(ctx, reportPrefix(sequence), maxListedKeys)
	if err != nil {
		return nil, err
	}
	reports := make([]Report, 0, len(kvs))
	for _, kv := range kvs {
		var r Report
		if json.Unmarshal(kv.Value, &r) == nil {
			reports = append(reports, r)
		}
	}
	return reports, nil
}

// Outcome is the status of one move over all data centres.
type Outcome struct {
	Service string   `json:"service"`
	To      string   `json:"to"`
	State   string   `json:"state"`
	Reports []Report `json:"reports"`
	// Unreported names the data centres without a report.
	Unreported []string `json:"silent,omitempty"`
}

// Summarise returns the outcome of a move: done once every data centre reports it as
// done, taken_back (rolled back) as soon as one does, and moving otherwise.
func Summarise(move *wire.Move, dataCentres []string, reports []Report) Outcome {
	o := Outcome{Service: move.GetService(), To: move.GetTo(), State: rollout.NameDone}
	for _, dataCentre := range dataCentres {
		i := slices.IndexFunc(reports, func(r Report) bool {
			return r.DataCentre == dataCentre && r.Service == move.GetService() && r.Sequence == move.GetSequence()
		})
		if i < 0 {
			o.Unreported = append(o.Unreported, dataCentre)
			continue
		}
		o.Reports = append(o.Reports, reports[i])
	}
	for _, r := range o.Reports {
		if r.State == rollout.NameRolledBack {
			o.State = rollout.NameRolledBack
			return o
		}
		if r.State != rollout.NameDone {
			o.State = rollout.NameMoving
		}
	}
	if len(o.Unreported) > 0 {
		o.State = rollout.NameMoving
	}
	return o
}

// Describe returns the status of the move as text: a line for the move and one for
// each data centre.
func (o Outcome) Describe() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s to %s: %s\n", o.Service, o.To, strings.ReplaceAll(o.State, "_", " "))
	for _, r := range o.Reports {
		fmt.Fprintf(&b, "  %-12s %5.1f %%  %s\n", r.DataCentre, float64(r.Permille)/10, r.Note)
	}
	for _, dataCentre := range o.Unreported {
		fmt.Fprintf(&b, "  %-12s not heard from\n", dataCentre)
	}
	return b.String()
}
