package store

import (
	"context"
	"net"

	"github.com/hibiscusrock/hibiscusrock/pkg/common"
)

// dialDuplex returns a function that dials for http.Transport, which writes a call while it
// reads the answer.
func dialDuplex(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return common.NewDuplexConn(raw), nil
	}
}
