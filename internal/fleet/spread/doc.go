// Package spread decides how the published lists reach every daemon: which daemons
// read them from the platform (the configuration service that publishes them),
// with which peers a daemon exchanges versions, what it fetches, and whether it
// has reason to believe that its lists are current.
//
// In each availability zone three readers watch the platform. Every daemon
// sends Digests with its list versions to a few neighbours: one every second, and
// several at once when a list changes. A daemon that learns of a newer version
// fetches it from that peer; an Archive answers with the changes since the
// version that the daemon has, or with the whole value. A daemon that starts, resumes
// after a pause or was isolated asks random peers, and takes callers only once
// enough of them, or the platform, have confirmed its versions: its Standing.
//
// The package does no input or output. The control goroutine passes received
// digests and read values to a Core and carries out the Work that it returns.
package spread
