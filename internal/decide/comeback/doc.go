// Package comeback spreads the times at which refused requests are told to come back.
package comeback
