package quarantiner

import "time"

const (
	// A turn is how long some VMs may probe before others may: minTurn, or the turnsPerWait-th part of the time until the probe was
	// due. Rows of the store usually reach all VMs in half of minTurn, so those whose turn is next know of a probe that began.
	minTurn = 500 * time.Millisecond
	// minRequestTurn is minTurn for whole requests: a later probe holds up one request only, a needless one ends an endpoint.
	minRequestTurn = 2 * minTurn
	turnsPerWait   = 20
	// minLaterTurn is minTurn after a probe if ends delay later ones: the first turns, of few VMs, are long enough for a request
	// to come.
	minLaterTurn = 4 * minTurn
	// Of n VMs n/vmsPerProber have a turn together at most, or minProbers if that is more; minProbers for whole requests.
	vmsPerProber = 8
	minProbers   = 2
)

// HasTurn reports whether a VM may send a probe of the part after a number of turns, by the VM's rank in the part's order of live
// VMs.
//
// Load pattern: requests with a quarantined part come to random VMs, few to each, or all to one VM, or several at once after a
// pause; the first VMs in the order may be frozen, or cut off from callers. Each VM may probe until it learns of another one's
// probe. So the VM of rank 0 has the first turn, the next two the second one, and so on in rounds. No turn is for so many VMs
// that requests which come at once send many probes, and the more endpoints ended under the part, the longer the turns are.
func HasTurn(part string, turn, rank, vms int) bool {
	if turn < 0 || rank < 0 || rank >= vms {
		return false
	}
	most := minProbers
	if !IsRequest(part) {
		most = max(vms/vmsPerProber, minProbers)
	}
	first, size := 0, 1
	for range turn {
		first += size
		size = min(2*size, most)
	}
	return (rank-first%vms+vms)%vms < size
}

// turn returns the number of turns that are over since the next probe became due; it is negative before.
func (r *record) turn(now time.Time) int {
	dueFor := now.Sub(r.nextProbe())
	if dueFor < 0 {
		return -1
	}
	length := max(minTurn, r.probeWait()/turnsPerWait)
	if r.furtherEnds > 0 && r.laterEnds > 0 {
		length = max(length, minLaterTurn)
	}
	if r.isRequest {
		length = max(length, minRequestTurn)
	}
	return int(dueFor / length)
}
