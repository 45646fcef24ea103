package runner

import "context"

// retire gives up what belongs to endpoints that another VM keeps now: their items go back to their segments, and
// segments of models that this VM no longer serves go back to the store.
func (r *Runner) retire(ctx context.Context) {
	kept := map[string]bool{}
	for _, e := range r.fleet.KeptEndpoints() {
		kept[e.Name] = true
	}
	models := r.servedModels()
	for _, seg := range r.retireItems(kept, models) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		r.release(ctx, seg)
		cancel()
	}
}

// retireItems ends the items of endpoints that are not kept and returns the segments without any endpoint left.
func (r *Runner) retireItems(kept, models map[string]bool) []*heldSegment {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, it := range r.items {
		if !kept[it.endpoint.Name] && !it.isDropped {
			it.seg.core.Release(it.index)
			it.cancel()
		}
	}
	idle := []*heldSegment{}
	for _, seg := range r.held {
		if !models[seg.job.File.Model] && seg.core.Running() == 0 && !seg.inCommit {
			seg.inCommit = true
			idle = append(idle, seg)
		}
	}
	return idle
}
