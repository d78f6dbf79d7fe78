// Package budget bounds the runs that one request may cause over its whole call chain.
package budget
