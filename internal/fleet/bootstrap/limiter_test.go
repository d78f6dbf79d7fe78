package bootstrap

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestLimiter guards against a seed whose link is full of copies, and against a list that is too long to be sent at all.
func TestLimiter(t *testing.T) {
	cases := []struct {
		name                 string
		linkBytes, copyBytes int
		// want is the highest number of copies in ten seconds.
		want int
	}{
		{"a quarter of a megabyte over 25 MB a second", 25_000_000, 250_000, 260},
		{"the same over an unknown link", 0, 250_000, 260},
		{"copies that are longer than what is sent at once", 1_000_000, 500_000, 6},
	}
	start := time.Unix(1000, 0)
	for _, c := range cases {
		Convey(c.name, t, func() {
			limiter, sent := NewLimiter(c.linkBytes), 0
			for d := time.Duration(0); d < 10*time.Second; d += time.Millisecond {
				if limiter.Allow(c.copyBytes, start.Add(d)) {
					sent++
				}
			}
			So(sent, ShouldBeBetween, c.want*9/10, c.want+2)
		})
	}
	Convey("Copies that are sent in any case leave less for others", t, func() {
		limiter := NewLimiter(1_000_000)
		limiter.Count(1_000_000, start)
		So(limiter.Allow(1, start.Add(3*time.Second)), ShouldBeFalse)
		So(limiter.Allow(1, start.Add(4*time.Second)), ShouldBeTrue)
	})
}
