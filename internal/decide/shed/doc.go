// Package shed rejects callers' requests at the ingress daemon while a service that they need is saturated,
// lower-priority classes first. It applies the fractions that package allot computes at a collector; without a current
// plan it goes by the saturation that responses report.
package shed
