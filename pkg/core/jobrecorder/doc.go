// Package jobrecorder defines the record of a batch job and its transitions, which are pure functions of the previous record.
//
// A record is written by compare-and-swap on the version of the previous one. So whichever VM writes, an item has at most
// one result, and a result keeps its position in the job's list of results.
package jobrecorder
