// Package placer chooses the endpoint of each request, refuses requests that no endpoint can serve in time, and limits
// the number of batch items at each endpoint.
//
// It decides by the counts of requests that VMs reported: an assigner (core/assigner) has those of all VMs, a VM that decides
// alone only its own. Engines admit requests in order of arrival, so the wait depends on the number of requests ahead of a new
// one. An endpoint that names a rate limit gets no more requests than that.
package placer
