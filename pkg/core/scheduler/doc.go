// Package scheduler orders the batch items of a VM so that as many as possible complete by their due times.
package scheduler
