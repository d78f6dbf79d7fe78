// Package repeats bounds how often a daemon sends requests once more, so that
// repeats don't keep an overload going after its cause is gone.
package repeats
