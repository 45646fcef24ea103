// Package informer passes the configuration and the endpoint list on between VMs, for those that can't reach the store.
package informer
