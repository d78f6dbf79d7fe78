package limit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// peak feeds a learner for some time and returns the highest limit.
func (m *model) peak(l Learner, now time.Time, length time.Duration) int {
	highest := 0
	for end := now.Add(length); now.Before(end); {
		_, last, next := m.drive(l, now, 10*time.Millisecond)
		now, highest = next, max(highest, last)
	}
	return highest
}

// Guards against taking the end of a slowdown for the effect of a trial: the learner would start trial after trial below the number of
// slots, and callers would be refused for seconds at a healthy service.
func TestSlowdownEndsDuringTrial(t *testing.T) {
	const slots, slowdowns, maxLate = 6, 80, 4
	for _, factor := range []float64{2, 5, 10} {
		Convey(fmt.Sprintf("%g times as slow: 1 s after the end the limit is back at the slots, wherever in a trial the end falls, with few exceptions", factor), t, func() {
			late := 0
			for i := range slowdowns {
				r := rand.New(rand.NewPCG(uint64(i), 7))
				sample := func(factor float64) func() (string, time.Duration) {
					return func() (string, time.Duration) {
						return "op", time.Duration(factor * (1 + r.ExpFloat64()) * float64(10*time.Millisecond))
					}
				}
				l, m := NewGradient(2*slots), model{slots: slots, sample: sample(1)}
				_, _, now := m.drive(l, time.Unix(0, 0), 6*time.Second)
				m.sample = sample(factor)
				_, _, now = m.drive(l, now, time.Duration(i+1)*100*time.Millisecond)
				m.sample = sample(1)
				_, _, now = m.drive(l, now, time.Second)
				// A trial takes the limit below the slots for a moment.
				if m.peak(l, now, 400*time.Millisecond) < slots-1 {
					late++
				}
			}
			So(late, ShouldBeLessThanOrEqualTo, maxLate)
		})
	}
}
