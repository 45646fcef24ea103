// Package worker runs the items of the batch jobs that this VM holds, on slots that online requests leave.
//
// An item yields by closing its connection, keeps the events that it has, and goes on behind them at any endpoint.
package worker
