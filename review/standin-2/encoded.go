package main

import (
	"net/http"
	"time"
)

// encodedPath names one photo whose name has a slash: the path has one segment behind /fotos/, which /fotos/inspector/ doesn't begin.
const encodedPath = "/fotos/inspector%2F7"

// playEncoded adds a route with a longer prefix than the one that requests use. Judged is ROUTE: a request is run by a service to which no
// configuration sends it.
func playEncoded(f *fleet, trouble bool) (bool, error) {
	const deadline = 5 * time.Second
	front, photos, err := f.add("archivo-foto", "a", 36)
	if err != nil {
		return false, err
	}
	if _, _, err := f.add("cobranza", "b", 36); err != nil {
		return false, err
	}
	f.route("fotos", "/fotos/", "upload", "archivo-foto", "5s", "1s")
	if err := f.begin(); err != nil {
		return false, err
	}
	c := newClient(f.record, tenantKey)
	if before := c.send(front, http.MethodPost, "recall.example", encodedPath+"?work=10", "photo", deadline); before.status != http.StatusOK {
		return false, errNotServed
	}
	if trouble {
		f.route("inspector", "/fotos/inspector/", "non_idempotent", "cobranza", "5s", "1s")
		f.configure()
	}
	time.Sleep(4 * time.Second)
	isBroken := false
	for range 5 {
		o := c.send(front, http.MethodPost, "recall.example", encodedPath+"?work=10", "photo", deadline)
		for _, r := range f.runsOf(o.id) {
			if r.instance != photos.id {
				f.record.line("%s was run by another service than archivo-foto", o.id)
				isBroken = true
			}
		}
	}
	return isBroken, nil
}
