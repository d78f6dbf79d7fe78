package main

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// downloadBytes is the size of one large response, downloads how many clients of a machine ask for one, one each downloadGap.
	downloadBytes = 30_000_000
	downloads     = 24
	downloadGap   = 200 * time.Millisecond
	readRounds    = 3
	// readWindow is the receive buffer of a slow reader, readPiece what it takes each readPause.
	readWindow = 16 << 10
	readPiece  = 20_000
	readPause  = 100 * time.Millisecond
	// downloadTimeout is the clients' deadline: a slow reader leaves then.
	downloadTimeout = 5 * time.Second
)

// playReaders lets clients of two machines download large files, which they read slowly.
func playReaders(f *fleet, trouble bool) (int, error) {
	f.configure(7, map[string]any{
		"down": route("/down/", "download", "fwdepot", "5000ms"),
		"pay":  route("/pay/", "non_idempotent", "lockerd", "4000ms"),
	}, services("fwdepot", "lockerd"), tenants())
	if err := f.begin(); err != nil {
		return 0, err
	}
	front := f.machines[2:4]
	others := startBystanders(f, front, 6, "/pay/unlock?work=300ms")
	for range readRounds {
		time.Sleep(5 * time.Second)
		f.rec.addf("%d clients at each of %d machines download %d bytes each, slowly: %t", downloads, len(front), downloadBytes, trouble)
		var all sync.WaitGroup
		for _, m := range front {
			all.Go(func() {
				for range downloads {
					all.Go(func() { f.download(m, trouble) })
					time.Sleep(downloadGap)
				}
			})
		}
		all.Wait()
	}
	time.Sleep(2 * time.Second)
	others.end()
	return others.verdict(), nil
}

// download asks for one large response and reads it until its end or the deadline.
func (f *fleet) download(m *machine, slowly bool) {
	c, err := dial(m)
	if err != nil {
		f.rec.addf("client at %s: no connection: %v", m.name, err)
		return
	}
	defer func() { _ = c.Close() }()
	a := &attempt{
		id: newID(), method: http.MethodGet, target: "/down/bundle?work=50ms&bytes=" + strconv.Itoa(downloadBytes), host: "shop.example", key: key,
		deadline: downloadTimeout,
	}
	if !slowly {
		res := c.send(a)
		f.rec.addf("client at %s: download %s: status %d, %d bytes, error %v, after %d ms", m.name, a.id, res.status, len(res.body), res.err, res.took.Milliseconds())
		return
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(readWindow)
	}
	began := time.Now()
	_ = c.SetDeadline(began.Add(a.deadline))
	_, _ = io.WriteString(c, a.head())
	read, piece := 0, make([]byte, readPiece)
	for err == nil && time.Since(began) < a.deadline && read < downloadBytes {
		var n int
		n, err = io.ReadFull(c, piece)
		read += n
		time.Sleep(readPause)
	}
	f.rec.addf("client at %s: download %s: read %d bytes until %d ms, error %v", m.name, a.id, read, time.Since(began).Milliseconds(), err)
}
