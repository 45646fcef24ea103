package jobrecorder

// Owner says what a request with the form of a call about a job is.
type Owner int

// The owners of a request with the form of a call.
const (
	// OwnedByJob is a call; if its job is not cached, the store says whether there is one.
	OwnedByJob Owner = iota + 1
	// OwnedByRoute is a request of the route that has its host and path, if there is one.
	OwnedByRoute
	// OwnerUnknown may be a call about a job that this VM doesn't know of.
	OwnerUnknown
)

// CallFacts is what a VM knows about a request with the form of a call.
type CallFacts struct {
	// IsJobCached says that the request names a cached job of its host.
	IsJobCached bool
	// HasBatchRoute says that the host has a route for batch jobs, HasJobs that it has cached jobs.
	HasBatchRoute, HasJobs bool
	// HasOwnRoute says that a route has the host, and as its prefix all of the path but the job's id.
	HasOwnRoute bool
	// IsSynced says that the jobs were read from the store once, IsCurrent that the cache has the present ones.
	IsSynced, IsCurrent bool
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
	case !f.IsCurrent:
		return OwnerUnknown
	default:
		return OwnedByRoute
	}
}
