// Package rate keeps every organisation within its rate and burst over all hosts together.
package rate
