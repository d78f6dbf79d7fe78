// Package spread decides how the published lists reach every daemon: who reads
// the platform, whom a daemon exchanges versions with, what it fetches, and
// whether it has reason to believe that what it holds is current.
//
// It does no input or output. The control thread feeds a Core with what it
// hears and carries out the Work that comes back.
package spread
