// Package outcome says how attempts and whole requests end.
package outcome
