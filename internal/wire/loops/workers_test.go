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
		{"more than are kept", mostIdle + 50, mostIdle},
	}
	Convey("Every function runs beside the others, and no more goroutines stay than are kept", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				synctest.Test(t, func(*testing.T) {
					var w Workers
					for range 3 {
						runTogether(&w, c.burst)
						synctest.Wait()
						if len(w.idle) != c.idle {
							t.Errorf("%d goroutines wait, not %d", len(w.idle), c.idle)
						}
					}
					w.Close()
				})
			})
		}
	})
}

// runTogether runs functions of which none ends before all have begun.
func runTogether(w *Workers, count int) {
	var begun sync.WaitGroup
	begun.Add(count)
	for range count {
		w.Go(func() {
			begun.Done()
			begun.Wait()
		})
	}
	begun.Wait()
}

func TestWorkersAfterTheirEnd(t *testing.T) {
	// A request arrives while the process ends. It still runs, and its goroutine
	// doesn't stay behind in a program that embeds the daemon.
	synctest.Test(t, func(t *testing.T) {
		var w Workers
		runTogether(&w, 2)
		w.Close()
		runTogether(&w, 2)
		synctest.Wait()
		if len(w.idle) != 0 {
			t.Errorf("%d goroutines wait", len(w.idle))
		}
	})
}

// deep uses as much stack as a handler with a client's call below it.
func deep(depth int) int {
	var frame [512]byte
	frame[depth%len(frame)] = 1
	if depth == 0 {
		return int(frame[0])
	}
	return deep(depth-1) + int(frame[1])
}

// BenchmarkWorkers is what a goroutine for each request costs, against one that is kept.
func BenchmarkWorkers(b *testing.B) {
	var w Workers
	defer w.Close()
	ways := []struct {
		name string
		run  func(func())
	}{
		{"new", func(f func()) { go f() }},
		{"kept", w.Go},
	}
	for _, way := range ways {
		b.Run(way.name, func(b *testing.B) {
			done := make(chan int, 1)
			b.ReportAllocs()
			for b.Loop() {
				way.run(func() { done <- deep(16) })
				<-done
			}
		})
	}
}
