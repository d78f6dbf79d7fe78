// Package traffic drives mixed requests at a fleet and checks every answer.
package traffic
