// Package docs holds the rules of the pages: their links lead somewhere and every page can be found.
package docs
