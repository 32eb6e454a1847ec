package peer

import (
	"bytes"
	"context"
	"net"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// beyondUTF8 is valid in no string of a message.
const beyondUTF8 = "\xff"

// unencodablePeer answers with records that cannot be encoded.
type unencodablePeer struct {
	wire.DRPCPeerUnimplementedServer
}

func (*unencodablePeer) Exchange(context.Context, *wire.ExchangeRequest) (*wire.ExchangeResponse, error) {
	return &wire.ExchangeResponse{Node: beyondUTF8}, nil
}

// logged returns a Common that logs to the buffer.
func logged(b *bytes.Buffer) *common.Common {
	log := logrus.New()
	log.SetOutput(b)
	return common.New(common.WithLog(logrus.NewEntry(log)))
}

// TestCodecErrors guards against messages that cannot be encoded and that no counter and no
// log line shows.
func TestCodecErrors(t *testing.T) {
	tests := map[string]*wire.ExchangeRequest{
		"call":   {Node: beyondUTF8},
		"answer": {},
	}
	for name, in := range tests {
		t.Run(name, func(t *testing.T) {
			const counter = `hibiscusrock_peer_codec_errors_total{call="Exchange"} 2`
			var log, metrics bytes.Buffer
			cm := logged(&log)
			exchangeTwice(t, cm, in)
			if cm.Metrics().WritePrometheus(&metrics); !strings.Contains(metrics.String(), counter) {
				t.Errorf("got the metrics\n%s\nwant %s", metrics.String(), counter)
			}
			if got := strings.Count(log.String(), "peer_message_invalid"); got != 1 {
				t.Errorf("got %d log lines, want one:\n%s", got, log.String())
			}
		})
	}
}

// exchangeTwice sends a message to an unencodablePeer, which must fail.
func exchangeTwice(t *testing.T, cm *common.Common, in *wire.ExchangeRequest) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server, err := NewServer(cm, []byte("secret"), &unencodablePeer{})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := server.Serve(ctx, listener)
	client, cleanUp := NewClient(cm, []byte("secret"), nil)
	for range 2 {
		if _, err := client.Exchange(t.Context(), listener.Addr().String(), in); err == nil {
			t.Error("a message that cannot be encoded was exchanged")
		}
	}
	cleanUp()
	cancel()
	<-done
}
