// Package recoverer turns a panic in one unit of work into an error, so that the work of others goes on.
//
// It is for work whose state is its own and is given up after a panic. A panic that may leave shared state half changed must end
// the process.
package recoverer
