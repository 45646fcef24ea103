package jobrecorder

import (
	"iter"
	"slices"
)

// ListedJob is an accepted job of an account in the list that orders the account's acceptances on one route.
type ListedJob struct {
	ID     string `json:"id"`
	Tokens int64  `json:"tokens"`
}

// maxListed bounds the list. It is needed for jobs that a VM has not read yet, some seconds' worth.
const maxListed = 100

// Room counts the waiting tokens of an account's jobs on a route.
type Room struct {
	Host, PathPrefix, Account string
	// List holds the last jobs that were accepted for the account.
	List []ListedJob
	// IsListRead says that all jobs of the list were read: one that is not known any more was deleted.
	IsListRead bool
}

// holds reports whether the job counts for the account. A job whose record lost its account, because an earlier build wrote it,
// counts while it is listed.
func (r Room) holds(j Job) bool {
	if j.Host != r.Host || j.PathPrefix != r.PathPrefix {
		return false
	}
	return j.Account == r.Account || j.Account == "" && r.lists(j.ID)
}

func (r Room) lists(id string) bool {
	return slices.ContainsFunc(r.List, func(l ListedJob) bool { return l.ID == id })
}

// Waiting returns the tokens of the account's items without a result, among the known jobs and those that are only listed.
func (r Room) Waiting(known iter.Seq[Job]) int64 {
	waiting := int64(0)
	isKnown := map[string]bool{}
	for j := range known {
		if r.holds(j) {
			waiting += j.WaitingTokens()
			isKnown[j.ID] = true
		}
	}
	for _, l := range r.List {
		if !isKnown[l.ID] && !r.IsListRead {
			waiting += l.Tokens
		}
	}
	return waiting
}

// Add returns the list with the accepted job, without those that have no waiting tokens or were deleted.
func (r Room) Add(job Job, known iter.Seq[Job]) []ListedJob {
	isOver, isKnown := map[string]bool{}, map[string]bool{}
	for j := range known {
		if r.lists(j.ID) {
			isKnown[j.ID] = true
			isOver[j.ID] = j.IsOver()
		}
	}
	var list []ListedJob
	for _, l := range r.List {
		isDeleted := r.IsListRead && !isKnown[l.ID]
		if l.ID != job.ID && !isOver[l.ID] && !isDeleted {
			list = append(list, l)
		}
	}
	list = append(list, ListedJob{ID: job.ID, Tokens: job.AllTokens()})
	return list[max(0, len(list)-maxListed):]
}
