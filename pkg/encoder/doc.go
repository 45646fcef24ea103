// Package encoder holds the types of the published chat API, which callers and model engines use, and reads and writes its
// event streams.
package encoder
