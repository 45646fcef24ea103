// Package placer decides which endpoint a request goes to, when one is refused, and how many batch items run where.
//
// Every VM decides alone, from its own counts of requests under way and from those that its peers last told. Engines
// admit requests in order of arrival, so what counts is how many requests are ahead of a new one.
package placer
