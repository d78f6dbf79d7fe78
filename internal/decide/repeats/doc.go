// Package repeats limits how many retries a daemon sends, so that retries don't
// sustain an overload after its cause is gone.
package repeats
