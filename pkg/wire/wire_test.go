package wire

import (
	"testing"

	"google.golang.org/protobuf/proto"
)

// TestBytesOnTheWire guards against an encoding of the byte fields that nodes of an earlier
// version, in which they were strings, cannot read.
func TestBytesOnTheWire(t *testing.T) {
	tests := map[string]struct {
		message proto.Message
		want    string
	}{
		"value of a field": {&Header{Name: "n", Value: []byte("v")}, "\x0a\x01n\x12\x01v"},
		"target":           {&CallRequest{Target: []byte("/")}, "\x32\x01/"},
		"idempotency key":  {&CallRequest{IdempotencyKey: []byte("k")}, "\x62\x01k"},
		"request id":       {&CallRequest{RequestId: []byte("i")}, "\xa2\x01\x01i"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := proto.Marshal(test.message)
			if err != nil || string(got) != test.want {
				t.Errorf("got %q, %v, want %q", got, err, test.want)
			}
		})
	}
}
