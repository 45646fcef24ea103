// Package ranker orders VMs for a key by rendezvous hashing, so that all who know the same VMs agree.
package ranker
