// Package fresh decides whether what a daemon knows of the published state is current, and who must follow the store itself.
package fresh
