package bench

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

func (r *Report) print(w io.Writer) {
	row := func(name, format string, args ...any) {
		_, _ = fmt.Fprintf(w, "  %-34s %s\n", name, fmt.Sprintf(format, args...))
	}
	_, _ = fmt.Fprintf(w, "%s, %d nodes\n", r.Site, r.Nodes)
	c := r.Convergence
	row("convergence", "median %.0f ms, 99 in 100 %.0f ms, worst %.0f ms over %d releases (bound 12 s)", c.MedianMS, c.P99MS, c.WorstMS, c.Releases)
	k := r.Control
	row("control bytes for each node", "%.0f B/s at rest, %.0f B for each change (budget 17 KB/s)", k.RestBytesPerSecond, k.BytesPerChange)
	row("control CPU for each node", "%.2f %% at rest, %.1f ms for each change (budget 1.6 %%)", k.RestCPUPercent, k.CPUMillisPerChange)
	row("resident memory", "%.1f MB (budget 32 MB)", k.ResidentMegabytes)
	row("platform calls at rest", "%s a second", rates(k.PlatformCallsPerSec))
	row("platform calls for each change", "%s", rates(k.PlatformCallsAtChange))
	a := r.Added
	row("direct call", "median %.2f ms, 99 in 100 %.2f ms", a.DirectMedianMS, a.DirectP99MS)
	row("added by one node", "median %.2f ms, 99 in 100 %.2f ms (budget 0.56 ms)", a.OneMedianMS, a.OneP99MS)
	row("added by two nodes", "median %.2f ms, 99 in 100 %.2f ms (budget 0.56 ms)", a.TwoMedianMS, a.TwoP99MS)
	row("processor time for one call", "%.0f us over all nodes", a.CPUMicros)
	g := r.Goodput
	row("goodput at twice the capacity", "%.0f of %.0f a second, %.0f offered", g.AnsweredPerSecond, g.CapacityPerSecond, g.OfferedPerSecond)
	b := r.Bookings
	row("bookings", "%d of %d answered, most runs of one %d", b.Answered, b.Sent, b.MostRuns)
	m := r.Moves
	row("control bytes during moves", "%.0f B/s for each node", m.BytesPerSecond)
	row("good versions moved in time", "%d of %d", m.GoodInTime, m.Good)
	row("bad versions taken back", "%d of %d, %.1f permille of requests, last one %d ms after the fault", m.BadRolledBack, m.Bad, m.BadPermille, m.WorstAfterMS)
	for _, move := range m.All {
		if !move.AsExpected() {
			row("  wrong: "+move.Scenario, "%s: %s", move.State, move.Note)
		}
	}
}

func rates(calls map[string]float64) string {
	var parts []string
	for _, method := range slices.Sorted(maps.Keys(calls)) {
		parts = append(parts, fmt.Sprintf("%s %.2f", method, calls[method]))
	}
	return strings.Join(parts, ", ")
}
