// Package choice picks the instance that a request is sent to, from the loads that the instances' hosts report and
// from the results of earlier requests. It is the router's load balancer; package offers says which instances a
// further attempt must leave out. The daemon of package daemon chooses hosts with package placing instead.
package choice
