package main

import (
	"bufio"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

var errNotServed = errors.New("a request without any disruption wasn't served")

// Bytes of a head without end: a first part at once, and then a few more each second.
const (
	headBegin = 128 << 10
	headRate  = 20 << 10
)

// The trouble of the instances: when it begins, how long it lasts, and the fraction of their answers that have it.
const (
	troubleBegin    = 4 * time.Second
	troubleLength   = 16 * time.Second
	troubledAnswers = 0.4
)

// endlessHead writes a response whose head has no end: short header lines, until the caller closes the connection.
func endlessHead(_ *http.Request, c net.Conn, _ *bufio.ReadWriter) bool {
	if _, err := c.Write([]byte("HTTP/1.1 200 OK\r\n")); err != nil {
		return true
	}
	const digits = "abcdefghijklmnopqrstuvwxyz0123456789"
	var piece []byte
	for n, length := 0, headBegin; ; length = headRate {
		piece = piece[:0]
		for len(piece) < length {
			piece = append(piece, digits[n%36], digits[n/36%36], digits[n/36/36%36], ':', '\r', '\n')
			n++
		}
		if _, err := c.Write(piece); err != nil {
			return true
		}
		time.Sleep(time.Second)
	}
}

// playHeads lets two of four instances of a service write heads without end in part of their answers. Judged is LOST for clients of the machines beside
// them whose requests run elsewhere.
func playHeads(f *fleet, trouble bool) (bool, error) {
	var troubled atomic.Bool
	const deadline, length, perHost = 6 * time.Second, 24 * time.Second, 50
	for n := range 4 {
		_, i, err := f.add("calendario", []string{"a", "b", "c", "c"}[n], 113)
		if err != nil {
			return false, err
		}
		if n < 2 {
			i.answer = endlessHead
			i.inTrouble = func() bool { return troubled.Load() && rand.Float64() < troubledAnswers }
		}
	}
	if err := f.addBystanderService("c"); err != nil {
		return false, err
	}
	f.route("lista", "/lista/", "idempotent", "calendario", "6s", "1500ms")
	if err := f.begin(); err != nil {
		return false, err
	}
	c := newFreshClient(f.record, tenantKey)
	watch, others := f.watchMemory(), f.startBystanders(f.hosts[:2])
	var sending sync.WaitGroup
	if trouble {
		time.AfterFunc(troubleBegin, func() {
			f.record.line("two instances are in trouble for %v", troubleLength)
			troubled.Store(true)
			time.AfterFunc(troubleLength, func() { troubled.Store(false) })
		})
	}
	var served, sent atomic.Int64
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(time.Second / perHost) {
		for _, h := range f.hosts[:4] {
			target := "/lista/?work=60"
			sent.Add(1)
			sending.Go(func() {
				if o := c.send(h, http.MethodGet, "recall.example", target, "", deadline); o.status == http.StatusOK {
					served.Add(1)
				}
			})
		}
	}
	sending.Wait()
	f.record.line("%d requests sent, %d served", sent.Load(), served.Load())
	watch.end()
	return others.end(), nil
}
