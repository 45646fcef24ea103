// Package placer chooses the endpoint of each request, refuses requests that no endpoint can serve in time, and limits
// the number of batch items at each endpoint.
//
// Every VM decides on its own, from its counts of requests in flight and from those that its peers last reported. Engines
// admit requests in order of arrival, so the wait depends on the number of requests ahead of a new one.
package placer
