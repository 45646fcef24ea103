// Package listener answers callers' connections and the balancer's questions for readiness, and hands requests on by route.
package listener
