// Package jobber holds the record of a batch job and its transitions, each a pure function of the record before.
//
// A record is written under the condition that the one before it still stands, so whoever writes, a result has one position
// and an item one result.
package jobber
