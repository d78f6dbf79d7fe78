// Package pressure feeds the overload of deep services back up the call chain.
package pressure
