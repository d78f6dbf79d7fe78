package enum

import "fmt"

// Enum is an enum type with consecutive values from 0; String returns the name of a value.
type Enum interface {
	~uint8
	fmt.Stringer
}

// Parse returns the value with the given name among 0 to last, or false if there is none.
func Parse[E Enum](name string, last E) (E, bool) {
	for e := E(0); e <= last; e++ {
		if e.String() == name {
			return e, true
		}
	}
	return 0, false
}
