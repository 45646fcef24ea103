// Package watcher follows tables of the store through their change feeds and maintains the registry of routes and endpoints.
package watcher
