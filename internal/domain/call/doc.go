// Package call defines a request that passes through the fleet, its response, and the outcome and
// reason that the response carries. The type Answer is a response; comments say response, and reply
// for what answers a message between daemons.
package call
