package main

import (
	"net/http"
	"sync"
	"time"
)

const (
	// largeUpload is below max-body-bytes, smallUpload the largest upload on the pages' sheets.
	largeUpload   = 60_000_000
	smallUpload   = 360_000
	uploadRounds  = 3
	uploadTimeout = 10 * time.Second
)

// playUploads lets one client on each of six machines upload one file at the same time, three times. The files are no larger than max-body-bytes.
func playUploads(f *fleet, trouble bool) (int, error) {
	size := smallUpload
	if trouble {
		size = largeUpload
	}
	f.configure(7, map[string]any{
		"up":  route("/up/", "upload", "campaigns", "10000ms"),
		"pay": route("/pay/", "non_idempotent", "dispatch", "4000ms"),
	}, services("campaigns", "dispatch"), tenants())
	if err := f.begin(); err != nil {
		return 0, err
	}
	receivers, senders := f.machines[:2], f.machines[2:]
	others := startBystanders(f, receivers, 6, "/pay/notice?work=300ms")
	for range uploadRounds {
		time.Sleep(6 * time.Second)
		f.rec.addf("%d clients upload %d bytes each", len(senders), size)
		var uploads sync.WaitGroup
		for _, m := range senders {
			uploads.Go(func() { f.upload(m, size) })
		}
		uploads.Wait()
	}
	time.Sleep(2 * time.Second)
	others.end()
	return others.verdict(), nil
}

func (f *fleet) upload(m *machine, size int) {
	c, err := dial(m)
	if err != nil {
		f.rec.addf("client at %s: no connection: %v", m.name, err)
		return
	}
	defer func() { _ = c.Close() }()
	a := &attempt{
		id: newID(), method: http.MethodPost, target: "/up/file?work=200ms", host: "shop.example", key: key, body: zeros{}, bytes: size,
		deadline: uploadTimeout,
	}
	res := c.send(a)
	f.rec.addf("client at %s: upload %s, %d bytes: status %d, error %v, after %d ms, ran %d times", m.name, a.id, size, res.status, res.err, res.took.Milliseconds(), len(f.runsOf(a.id)))
}
