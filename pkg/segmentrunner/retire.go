package segmentrunner

import "context"

// retire releases the work for endpoints whose slots another VM allocates now: their items return to their segments, and the
// segments of models that this VM no longer serves return to the store.
func (r *Runner) retire(ctx context.Context) {
	kept := map[string]bool{}
	for _, e := range r.fleet.AllocatedEndpoints() {
		kept[e.Name] = true
	}
	models := r.servedModels()
	for _, seg := range r.retireItems(kept, models) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		r.release(ctx, seg)
		cancel()
	}
}

// retireItems ends the items of endpoints that are not in kept. It returns the held segments whose model is not in models and
// that have no running item, and marks them as committing, so that nothing else uses them.
func (r *Runner) retireItems(kept, models map[string]bool) []*heldSegment {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, it := range r.items {
		if !kept[it.endpoint.Name] && !it.isDropped {
			it.seg.tracker.Release(it.index)
			it.cancel()
		}
	}
	idle := []*heldSegment{}
	for _, seg := range r.held {
		if !models[seg.job.File.Model] && seg.tracker.Running() == 0 && !seg.isCommitting {
			seg.isCommitting = true
			idle = append(idle, seg)
		}
	}
	return idle
}
