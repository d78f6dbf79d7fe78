// Package bounded reads what others send within bounds on the bytes of one message and of all messages together, since bytes without end would take
// the process beyond its memory.
package bounded
