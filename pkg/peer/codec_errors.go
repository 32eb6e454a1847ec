package peer

import (
	"errors"
	"path"
	"sync"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/event"
)

// codecErrors reports the messages between nodes that this node cannot encode or decode. It
// counts each of them, and logs the first one of each call.
type codecErrors struct {
	*common.Common
	// logged holds names of calls, at most those of the protocol.
	logged sync.Map
}

func newCodecErrors(cm *common.Common) *codecErrors { return &codecErrors{Common: cm} }

// report counts and logs the error of a failed call if it is one of the encoding. rpc is the
// full name of the call, or its last part.
func (c *codecErrors) report(rpc string, err error) {
	if !errors.Is(err, proto.Error) {
		return
	}
	call := path.Base(rpc)
	c.Count(`hibiscusrock_peer_codec_errors_total{call="` + call + `"}`)
	if _, before := c.logged.LoadOrStore(call, true); !before {
		c.Event(event.PeerMessageInvalid).WithField("call", call).WithError(err).Error("a message between nodes cannot be encoded or decoded")
	}
}

// reportingHandler reports the calls of other nodes whose messages cannot be encoded or
// decoded.
type reportingHandler struct {
	next        drpc.Handler
	codecErrors *codecErrors
}

// HandleRPC implements drpc.Handler.
func (h *reportingHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	err := h.next.HandleRPC(stream, rpc)
	h.codecErrors.report(rpc, err)
	return err
}
