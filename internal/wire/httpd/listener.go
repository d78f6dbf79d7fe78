package httpd

import (
	"context"
	"net"
	"sync"
)

// listener accepts no more connections after closePort. Accept blocks from then
// on until the engine is shut down, since nbhttp would call it in a busy loop.
type listener struct {
	net.Listener
	// closing is closed with the port, engineStopping right before the shutdown of the engine.
	closing        chan struct{}
	engineStopping chan struct{}
	once           sync.Once
}

// listen opens the port as plain TCP. The multipath TCP sockets that the net package
// opens by default accept no filter, so drainBacklog would have no effect: some
// callers that connect while the port closes would be reset.
func listen(network, address string) (*listener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	l, err := config.Listen(context.Background(), network, address)
	if err != nil {
		return nil, err
	}
	return &listener{Listener: l, closing: make(chan struct{}), engineStopping: make(chan struct{})}, nil
}

// Accept returns the next connection; after closePort it blocks until the engine is shut down.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		return c, nil
	}
	select {
	case <-l.closing:
		<-l.engineStopping
	default:
	}
	return nil, err
}

// closePort closes the port once the connections in its backlog are accepted; the error
// is the reason why connections made in the meantime may have been reset. After ctx
// has ended it takes at most minBacklogTime more.
func (l *listener) closePort(ctx context.Context) (err error) {
	l.once.Do(func() {
		err = drainBacklog(ctx, l.Listener)
		close(l.closing)
		_ = l.Listener.Close()
	})
	return err
}
