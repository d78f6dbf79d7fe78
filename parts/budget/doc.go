// Package budget limits the number of upstream runs that one request may cause in its whole call chain.
package budget
