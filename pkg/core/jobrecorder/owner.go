package jobrecorder

// Owner says what a request with the form of a call about a job is.
type Owner int

// The owners of a request with the form of a call.
const (
	// OwnedByJob is a call; if its job is not cached, the store says whether there is one.
	OwnedByJob Owner = iota + 1
	// OwnedByRoute is a request of the route that has its host and path, if there is one.
	OwnedByRoute
	// OwnerInStore is a call if the store has its job, and a request without a route if not.
	OwnerInStore
	// OwnerUnknown may be a call about a job that this VM doesn't know of.
	OwnerUnknown
)

// CallFacts is what a VM knows about a request with the form of a call.
type CallFacts struct {
	// IsJobCached says that the request names a cached job of its host.
	IsJobCached bool
	// HasBatchRoute says that the host has a route for batch jobs, HasJobs that it has cached jobs.
	HasBatchRoute, HasJobs bool
	// HasRoute says that a route has the host and path, HasOwnRoute that its prefix is all of the path but the job's id.
	HasRoute, HasOwnRoute bool
	// IsSynced says that the jobs were read from the store once, IsFollowing that the store answers, and IsCurrent that it did so
	// within the time in which callers expect a job to be known at all VMs.
	IsSynced, IsFollowing, IsCurrent bool
}

// Owner returns what the request is. A job is its caller's until it expires, whatever routes the configuration has by then.
func (f CallFacts) Owner() Owner {
	switch {
	case f.IsJobCached, f.HasBatchRoute:
		return OwnedByJob
	case !f.IsSynced:
		return OwnerUnknown
	case f.HasOwnRoute:
		return OwnedByRoute
	case f.HasJobs:
		return OwnedByJob
	case !f.IsFollowing:
		return OwnerUnknown
	case f.HasRoute, f.IsCurrent:
		return OwnedByRoute
	default:
		return OwnerInStore
	}
}
