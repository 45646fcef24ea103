// Package watcher follows tables of the store by their change feeds and keeps the registry of routes and endpoints.
package watcher
