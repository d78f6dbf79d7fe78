// Package comeback spreads the Retry-After delays of refused requests.
package comeback
