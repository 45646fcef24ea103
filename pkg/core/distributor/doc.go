// Package distributor decides from whom a VM hears the rows of a large table: a few VMs of a region read the store, the others
// hear from them.
//
// The load pattern: hundreds of VMs read a table of thousands of rows at once after a restart of all of them, and follow it
// while most rows are rewritten, or follow one large row. If each read the store, the bytes over the link between regions
// would grow with rows times VMs.
package distributor
