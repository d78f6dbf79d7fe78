package loops

import (
	"sync"
	"testing"
	"testing/synctest"

	. "github.com/smartystreets/goconvey/convey"
)

func TestWorkers(t *testing.T) {
	cases := []struct {
		name  string
		burst int
		idle  int
	}{
		{"one", 1, 1},
		{"a few", 20, 20},
		{"more than maxIdle", maxIdle + 50, maxIdle},
	}
	Convey("All functions run concurrently, and at most maxIdle goroutines stay idle", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				synctest.Test(t, func(*testing.T) {
					var w Workers
					for range 3 {
						runConcurrently(&w, c.burst)
						synctest.Wait()
						if len(w.idle) != c.idle {
							t.Errorf("%d goroutines are idle, want %d", len(w.idle), c.idle)
						}
					}
					w.Close()
				})
			})
		}
	})
}

// runConcurrently runs count functions, of which none ends before all have started.
func runConcurrently(w *Workers, count int) {
	var started sync.WaitGroup
	started.Add(count)
	for range count {
		w.Go(func() {
			started.Done()
			started.Wait()
		})
	}
	started.Wait()
}

func TestWorkersAfterClose(t *testing.T) {
	// Guards against a goroutine leak in a program that embeds the daemon: a request that arrives after Close still
	// runs, but its goroutine must end.
	synctest.Test(t, func(t *testing.T) {
		var w Workers
		runConcurrently(&w, 2)
		w.Close()
		runConcurrently(&w, 2)
		synctest.Wait()
		if len(w.idle) != 0 {
			t.Errorf("%d goroutines are idle, want 0", len(w.idle))
		}
	})
}

// useStack uses as much stack as a handler that calls an HTTP client.
func useStack(depth int) int {
	var frame [512]byte
	frame[depth%len(frame)] = 1
	if depth == 0 {
		return int(frame[0])
	}
	return useStack(depth-1) + int(frame[1])
}

// BenchmarkWorkers compares a new goroutine for each function with a reused one.
func BenchmarkWorkers(b *testing.B) {
	var w Workers
	defer w.Close()
	cases := []struct {
		name string
		run  func(func())
	}{
		{"new", func(f func()) { go f() }},
		{"reused", w.Go},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			done := make(chan int, 1)
			b.ReportAllocs()
			for b.Loop() {
				c.run(func() { done <- useStack(16) })
				<-done
			}
		})
	}
}
