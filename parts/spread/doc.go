// Package spread decides how published values with versions reach every host:
// who reads the source, whom a host exchanges versions with, what it fetches,
// and whether it has reason to believe that what it holds is current.
//
// It sends nothing by itself. The embedding program feeds a Core with what it
// hears and the time, and carries out the Work that comes back.
package spread
