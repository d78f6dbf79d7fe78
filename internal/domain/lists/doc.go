// Package lists defines the lists that operators and the platform publish, and validates them: a
// value is accepted or rejected as a whole. A plan in these lists is what an organisation has
// subscribed to: it names the operations that the organisation may use. It has nothing to do with
// the plan of a collector (package collect).
package lists
