// Package delegator chooses the VM to which a VM that is partitioned from the endpoints hands a request over.
//
// Load pattern: some VMs, also most of a zone or a whole zone, lose their links to all endpoints at one moment, and hand their
// requests over for seconds. The VMs still in touch then get several times their load from many VMs that know nothing of each
// other; some refuse for lack of room, stop, or lose their own links. The link between regions carries little.
package delegator
