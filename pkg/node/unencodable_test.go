package node

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/gossip"
	"github.com/hibiscusrock/hibiscusrock/pkg/rollout"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// beyondUTF8 can be encoded in no string of a record.
const beyondUTF8 = "\xff"

// TestUnencodableEvidence guards against evidence that cannot be encoded and is sent to the
// relays in one message with sound evidence.
func TestUnencodableEvidence(t *testing.T) {
	n := &Node{Common: common.New(), records: gossip.New()}
	n.unencodable = newUnencodableRecords(n.Common)
	g := newGossiper(n)
	for _, version := range []string{"v1", "v" + beyondUTF8, "v" + beyondUTF8, "v2"} {
		g.queueForRelays(&wire.Record{Key: gossip.PrefixEvidence + "self/quotes", Body: &wire.Record_Evidence{Evidence: &wire.Evidence{
			Totals: []*wire.RouteTotals{{Version: version}},
		}}})
	}
	if got, want := len(g.relayQueue), 2; got != want {
		t.Errorf("%d records wait for the relays, want %d", got, want)
	}
	const counter = "hibiscusrock_records_unencodable_total 2"
	var metrics bytes.Buffer
	if n.Metrics().WritePrometheus(&metrics); !strings.Contains(metrics.String(), counter) {
		t.Errorf("got the metrics\n%s\nwant %s", metrics.String(), counter)
	}
}

// TestUnencodableDecision guards against a leader that steps down, and so leaves all moves
// undecided, because its decision on one of them cannot be encoded.
func TestUnencodableDecision(t *testing.T) {
	for name, version := range map[string]string{"sound": "v2", "beyond UTF-8": "v" + beyondUTF8} {
		t.Run(name, func(t *testing.T) {
			r := newTestRollouts(t, "v1", "v2")
			r.adapter.DecodeOrder = func([]byte) (rollout.Order, error) {
				return rollout.Order{Service: "quotes", Version: version, Duration: 16 * time.Second}, nil
			}
			r.leadership.epoch.Store(testOrderRevision)
			r.receiveTestOrder()
			r.decide()
			if r.leadership.superseded.Load() {
				t.Error("the leader steps down")
			}
			if got, want := r.records.Get(gossip.PrefixRollout+"quotes") != nil, version == "v2"; got != want {
				t.Errorf("a decision was published: %v, want %v", got, want)
			}
		})
	}
}
