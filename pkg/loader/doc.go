// Package loader reads and validates the files that operators write: the daemon's settings and the fleet's declarations.
package loader
