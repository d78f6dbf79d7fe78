// Package admission decides which requests an upstream runs now, which wait in its queue and which are refused. A Gate
// joins the concurrency limit of package limit and an order of package queue. Each daemon has one gate for its local
// upstream or instance.
package admission
