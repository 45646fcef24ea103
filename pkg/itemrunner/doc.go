// Package itemrunner runs the items of the batch jobs whose rows name this VM as holder, on slots that online requests do
// not use.
//
// A preempted item closes its connection, keeps the events that it received, and resumes after them at any endpoint.
package itemrunner
