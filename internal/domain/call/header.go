package call

// Header holds header fields by canonical name. It is assignable to and from
// http.Header; the domain must not import a package that opens sockets.
type Header = map[string][]string
