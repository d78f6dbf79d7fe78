// Package reference writes the tables of settings and reasons, so that the pages can't differ from the program.
package reference
