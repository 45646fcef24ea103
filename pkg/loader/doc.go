// Package loader reads and checks the operators' files: the daemon's settings and the fleet's declarations.
package loader
