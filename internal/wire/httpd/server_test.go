package httpd

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/proof/loopback"
)

// startServer serves the handler until the end of the test and returns its URL.
func startServer(t *testing.T, handler http.HandlerFunc, opts ...Option) string {
	address := loopback.Address()
	s := New(address, handler, opts...)
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = s.Stop(ctx)
	})
	return "http://" + address.String()
}

func TestCallerDisconnects(t *testing.T) {
	// Guards against a request that keeps its slot, for which others wait, after its caller has disconnected.
	started, ended := make(chan struct{}), make(chan struct{})
	url := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(ended)
	})
	Convey("The request's context is cancelled while its handler is running", t, func() {
		ctx, disconnect := context.WithCancel(t.Context())
		go func() {
			<-started
			disconnect()
		}()
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		So(err, ShouldBeNil)
		_, err = http.DefaultClient.Do(req)
		So(err, ShouldNotBeNil)
		<-ended
	})
}

func TestCallerClosesItsSendingSide(t *testing.T) {
	// Guards against a part of a response, or another's, to a caller that counts as disconnected once it sends no more.
	started, ended := make(chan struct{}), make(chan error, 1)
	s, _ := startStoppable(t, func(w http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		w.Header().Set("Content-Length", "4")
		_, _ = io.WriteString(w, "body")
		ended <- r.Context().Err()
	})
	Convey("Its request's context is cancelled, and nothing is sent", t, func() {
		conn := dial(s)
		defer func() { _ = conn.Close() }()
		pipelineRequests(conn, "/")
		<-started
		So(conn.(*net.TCPConn).CloseWrite(), ShouldBeNil)
		So(<-ended, ShouldEqual, context.Canceled)
		for s.connectionCount() > 0 {
			time.Sleep(time.Millisecond)
		}
		raw, _ := io.ReadAll(conn)
		So(string(raw), ShouldBeEmpty)
	})
}

func TestManyWaitingHandlers(t *testing.T) {
	// Guards against quick requests that wait because thousands of others wait for a slow service, as they would
	// with a pool of handlers of fixed size.
	const waiting = 300
	started, release := make(chan struct{}, waiting), make(chan struct{})
	url := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			started <- struct{}{}
			<-release
		}
		_, _ = io.Copy(w, r.Body)
	})
	Convey("A quick request is answered while others wait", t, func() {
		client := &http.Client{Transport: &http.Transport{}}
		for range waiting {
			go func() {
				res, err := client.Post(url+"/slow", "text/plain", strings.NewReader("slow"))
				if err == nil {
					_ = res.Body.Close()
				}
			}()
		}
		for range waiting {
			<-started
		}
		res, err := client.Post(url+"/quick", "text/plain", strings.NewReader("quick"))
		So(err, ShouldBeNil)
		raw, err := io.ReadAll(res.Body)
		So(err, ShouldBeNil)
		So(string(raw), ShouldEqual, "quick")
		close(release)
	})
}
