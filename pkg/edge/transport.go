package edge

import (
	"context"
	"net"

	"github.com/lilacweir/lilacweir/pkg/control"
)

// tcp is the Transport of an instance that runs as a process.
type tcp struct{}

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}

// Dial implements control.Transport.
func (tcp) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: keepAlive}
	return dialer.DialContext(ctx, network, address)
}

// Listen implements control.Transport.
func (tcp) Listen(ctx context.Context, network, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive}
	return config.Listen(ctx, network, address)
}

func (o *Options) transport() control.Transport {
	if o.Transport == nil {
		return tcp{}
	}
	return o.Transport
}
