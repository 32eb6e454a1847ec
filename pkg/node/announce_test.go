package node

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscusrock/hibiscusrock/pkg/fleet"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// TestAnnounceLeavesRecordAlone guards against a write to a record that other goroutines
// read, as the registration in the store does: they could see a part of a string.
func TestAnnounceLeavesRecordAlone(t *testing.T) {
	tests := map[string]*wire.Endpoint{
		"without a node":         {Instance: "i", Service: "quotes"},
		"of this node":           {Instance: "i", Service: "quotes", Node: "self", DataCentre: "plateau"},
		"of another data centre": {Instance: "i", Service: "quotes", Node: "self", DataCentre: "rufisque"},
	}
	for name, record := range tests {
		t.Run(name, func(t *testing.T) {
			r := newTestRollouts(t)
			before := proto.Clone(record)
			r.announce(record)
			if !proto.Equal(record, before) {
				t.Errorf("announce changed the record to %v, want %v", record, before)
			}
			published := r.records.Get(fleet.EndpointKey("self", "i")).GetEndpoint()
			if published.GetNode() != "self" || published.GetDataCentre() != "plateau" {
				t.Errorf("the published record is of %s in %s, want of self in plateau", published.GetNode(), published.GetDataCentre())
			}
		})
	}
}
