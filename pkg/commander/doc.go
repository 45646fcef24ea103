// Package commander is the command line of operators and callers.
package commander
