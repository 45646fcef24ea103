// Package declarer defines the declarations that operators keep in version control, the snapshot of all of them, and the
// difference between two snapshots.
//
// It does no I/O: package loader reads the files, and package configurator selects the revision of the snapshot to use.
package declarer
