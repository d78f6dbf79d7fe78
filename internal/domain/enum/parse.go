package enum

import "fmt"

// Enum is a type whose values count up from 0 and have names.
type Enum interface {
	~uint8
	fmt.Stringer
}

// Parse returns the value up to last with the given name, or false.
func Parse[E Enum](name string, last E) (E, bool) {
	for e := E(0); e <= last; e++ {
		if e.String() == name {
			return e, true
		}
	}
	return 0, false
}
