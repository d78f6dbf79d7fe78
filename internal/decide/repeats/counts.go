package repeats

import "time"

const (
	// bucketsPerWindow is the number of buckets that a window is divided into.
	bucketsPerWindow = 20
	// bucketCount is the number of buckets kept: two windows.
	bucketCount = 2 * bucketsPerWindow
	// recentBuckets is the number of buckets that the current rate of requests is computed from.
	recentBuckets = 2
)

// counts counts events in time buckets over the last two windows.
type counts struct {
	buckets [bucketCount]float64
	// newest is the number of the newest bucket, counted from the Unix epoch.
	newest int64
	// sums are the totals of the windows that end now, half a window ago and one window ago; recent are the totals of the newest
	// recentBuckets buckets of each.
	sums, recent [3]float64
}

func (c *counts) add(now time.Time, window time.Duration, amount float64) {
	c.advance(now, window)
	c.buckets[c.newest%bucketCount] += amount
	c.sums[0] += amount
	c.recent[0] += amount
}

// advance clears the buckets up to the current one and recomputes the totals.
func (c *counts) advance(now time.Time, window time.Duration) {
	current := now.UnixNano()/max(int64(window)/bucketsPerWindow, 1) + bucketCount
	if current <= c.newest {
		return
	}
	for n := max(c.newest+1, current-bucketCount+1); n <= current; n++ {
		c.buckets[n%bucketCount] = 0
	}
	c.newest = current
	for i := range c.sums {
		c.sums[i] = c.sum(int64(i)*bucketsPerWindow/2, bucketsPerWindow)
		c.recent[i] = c.sum(int64(i)*bucketsPerWindow/2, recentBuckets)
	}
}

// sum adds up a number of buckets, going back from the one that is offset buckets before the newest.
func (c *counts) sum(offset, length int64) float64 {
	total := 0.0
	for n := offset; n < min(offset+length, bucketCount); n++ {
		total += c.buckets[(c.newest-n)%bucketCount]
	}
	return total
}
