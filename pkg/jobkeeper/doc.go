// Package jobkeeper keeps batch jobs in the store and answers the calls about them.
//
// A job is a row; its items lie in an object that is written before the row; each result is one row or more, written
// together with the job's row, which gives it its position. All VMs follow the rows, and any of them answers.
package jobkeeper
