// Package virtual provides the virtual clock of simulations, which advances from event to event without waiting.
package virtual
