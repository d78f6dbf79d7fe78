package call

// Header holds header fields by canonical name. It is the underlying type of http.Header, since the domain
// must not import net/http, which opens sockets.
type Header = map[string][]string
