// Package architecture holds the rules of the folders: what may import what.
package architecture
