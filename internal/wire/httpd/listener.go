package httpd

import (
	"context"
	"net"
	"sync"
)

// listener takes no more connections after its end, while nbhttp, which would
// ask again and again, is kept waiting until it has been shut down itself.
type listener struct {
	net.Listener
	ending chan struct{}
	ended  chan struct{}
	once   sync.Once
}

// listen opens the port as plain TCP. The multipath sockets that the net package
// opens by itself take no filter, and settle would wait without effect: a
// caller that connects as the port closes would be reset now and then.
func listen(network, address string) (*listener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	l, err := config.Listen(context.Background(), network, address)
	if err != nil {
		return nil, err
	}
	return &listener{Listener: l, ending: make(chan struct{}), ended: make(chan struct{})}, nil
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		return c, nil
	}
	select {
	case <-l.ending:
		<-l.ended
	default:
	}
	return nil, err
}

// end closes the port once what the kernel has taken is accepted; the error
// tells why connections made meanwhile may have been reset.
func (l *listener) end() (err error) {
	l.once.Do(func() {
		err = settle(l.Listener)
		close(l.ending)
		_ = l.Listener.Close()
	})
	return err
}
