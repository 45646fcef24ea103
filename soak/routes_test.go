package soak

import (
	"fmt"
	"time"
)

// readsWithoutRoute is how often each VM is asked for the results of a job whose route was removed.
const readsWithoutRoute = 4

// nestRoute adds a route of another service below that of the batch jobs, on the paths of their items, and removes it.
func (s *soak) nestRoute(inj *injection) {
	below := kind{prefix: batchJobs.prefix + itemPath, service: status.service, extra: batchJobs.extra}
	below.routeKind = []string{status.routeKind, book.routeKind, draft.routeKind, batchJobs.routeKind}[inj.n%4]
	s.recordInjection(inj, below.routeKind+" route below that of batch jobs")
	s.fleet.setRoute(below, true)
	time.Sleep(inj.duration)
	s.fleet.setRoute(below, false)
	if n := s.fleet.runsAt(below.service, below.prefix); n > 0 {
		s.addViolation("ROUTE: %d items ran at the service of a route below theirs", n)
	}
}

// removeRoute removes the only batch route of a host once the results of its job were read. They are read until the end.
func (s *soak) removeRoute(inj *injection) {
	k := batchJobs
	k.host, k.prefix = "gone.example", "/gone/"
	j := s.callers.newJob(fmt.Sprintf("gone%d", s.seed), k)
	s.recordInjection(inj, "batch route removed after its job")
	s.fleet.setRoute(k, true)
	for began := time.Now(); time.Since(began) < waitTimeout; time.Sleep(readInterval) {
		v := s.fleet.vms[inj.n%len(s.fleet.vms)]
		inj.n++
		if !j.isAccepted() {
			s.callers.submit(j, v)
			continue
		}
		if s.callers.read(j, v, false); j.isDone() {
			break
		}
	}
	s.fleet.setRoute(k, false)
	for range readsWithoutRoute {
		for _, v := range s.fleet.vms {
			s.callers.read(j, v, true)
			time.Sleep(readInterval)
		}
	}
}
