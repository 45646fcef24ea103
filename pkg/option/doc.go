// Package option holds a generic optional value.
package option
