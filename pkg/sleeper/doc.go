// Package sleeper sleeps for a duration and calls functions at an interval, both until a context ends.
package sleeper
