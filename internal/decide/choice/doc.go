// Package choice picks the instance that a request is sent to, from the loads that the instances' hosts report and from the
// results of earlier requests.
package choice
