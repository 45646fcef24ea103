// Package declarer holds the declarations that operators keep in version control and the snapshot made of them.
//
// It is pure data: reading files is the loader's work, agreeing on a revision the configurator's.
package declarer
