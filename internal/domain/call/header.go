package call

// Header holds header fields by canonical name; it is assignable to and from
// net/http's type, so that the domain needs no package that opens sockets.
type Header = map[string][]string
