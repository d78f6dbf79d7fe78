// Package repeats limits how many retries a daemon sends, so that retries don't sustain an overload after its cause is
// gone. Each daemon has a budget for each service; a collector grants it what other daemons leave unused. Package
// budget limits the runs of a single request.
package repeats
