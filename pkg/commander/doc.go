// Package commander implements the command line dogwoodledge for operators and callers.
package commander
