package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Uploads of the case: each client sends one file after another in chunks, at a steady rate.
const (
	uploadBytes      = 40 << 20
	uploadRate       = 10 << 20
	uploadChunk      = 256 << 10
	uploadDeadline   = 20 * time.Second
	uploadsPerHost   = 24
	uploadsLength    = 60 * time.Second
	uploadRetryPause = 500 * time.Millisecond
)

// upload sends one file in chunks. A client that reads late looks for the answer once it has sent the whole file; any other reads meanwhile, and stops
// sending when there is an answer.
func upload(f *fleet, h *host, readsLate bool) (status int, retryAfter time.Duration) {
	id := fmt.Sprintf("%016x", lastID.Add(1))
	f.record.line("client sends %s (POST /files/, %d bytes in chunks) to %s", id, uploadBytes, h.name)
	c, err := net.DialTimeout("tcp", h.outbound(), time.Second)
	if err != nil {
		f.record.line("%s has no connection: %v", id, err)
		return 0, uploadRetryPause
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(uploadDeadline + 500*time.Millisecond))
	answered := make(chan *http.Response, 1)
	read := func() {
		res, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
		if err == nil {
			_, err = io.Copy(io.Discard, res.Body)
		}
		if err != nil {
			f.record.line("%s ends without a complete answer: %v", id, err)
			res = nil
		}
		answered <- res
	}
	if !readsLate {
		go read()
	}
	var res *http.Response
	if stopped := sendFile(c, id, answered); stopped != nil {
		res = stopped
	} else {
		if readsLate {
			read()
		}
		res = <-answered
	}
	if res == nil {
		return 0, uploadRetryPause
	}
	f.record.line("%s gets %d", id, res.StatusCode)
	seconds, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	return res.StatusCode, max(time.Duration(seconds*float64(time.Second)), 10*time.Millisecond)
}

// sendFile sends the request, and returns the answer that ended it early, or nil.
func sendFile(c net.Conn, id string, answered chan *http.Response) *http.Response {
	_, _ = fmt.Fprintf(c, "POST /files/%s?work=200 HTTP/1.1\r\nHost: recall.example\r\nFoxtailhook-Request-Id: %s\r\nFoxtailhook-Deadline-Ms: %d\r\n"+
		"Authorization: Bearer %s\r\nTransfer-Encoding: chunked\r\n\r\n", id, id, uploadDeadline.Milliseconds(), tenantKey)
	chunk := []byte(fmt.Sprintf("%x\r\n%s\r\n", uploadChunk, make([]byte, uploadChunk)))
	began := time.Now()
	for sent := 0; sent < uploadBytes; sent += uploadChunk {
		if _, err := c.Write(chunk); err != nil {
			return nil
		}
		due := began.Add(time.Duration(float64(sent) / uploadRate * float64(time.Second)))
		select {
		case res := <-answered:
			return res
		case <-time.After(time.Until(due)):
		}
	}
	_, _ = io.WriteString(c, "0\r\n\r\n")
	return nil
}

// playUploads lets clients upload files that together don't fit into the daemons' memory. Judged is LOST for other clients of the
// same machines, whose requests run elsewhere.
func playUploads(f *fleet, trouble bool) (bool, error) {
	for n := range 3 {
		if _, _, err := f.add("campaigns", string(rune('a'+n)), 56); err != nil {
			return false, err
		}
	}
	if err := f.addBystanderService("a"); err != nil {
		return false, err
	}
	f.route("files", "/files/", "upload", "campaigns", "20s", "5s")
	if err := f.begin(); err != nil {
		return false, err
	}
	watch, others := f.watchMemory(), f.startBystanders(f.hosts[:3])
	var served, refused, other atomic.Int64
	var sending sync.WaitGroup
	end := time.Now().Add(uploadsLength)
	for _, h := range f.hosts[:3] {
		for range uploadsPerHost {
			sending.Go(func() {
				for time.Now().Before(end) {
					status, pause := upload(f, h, trouble)
					switch status {
					case http.StatusOK:
						served.Add(1)
						pause = 0
					case http.StatusServiceUnavailable:
						refused.Add(1)
					default:
						other.Add(1)
					}
					time.Sleep(pause)
				}
			})
		}
	}
	sending.Wait()
	f.record.line("%d uploads served, %d refused with 503, %d others", served.Load(), refused.Load(), other.Load())
	watch.end()
	return others.end(), nil
}
