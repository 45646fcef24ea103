// Package jobmanager stores batch jobs and answers HTTP calls about them.
//
// A job is a row. Its items are rows written in the same transaction, or an object written before it if they are too large.
// Each result is one row or more, written in one transaction with the job's row, which assigns the position of the result.
// Every VM watches the rows and can answer any call.
package jobmanager
