// Package call defines a request that passes through the fleet, its response,
// and the outcome and reason that the response carries.
package call
