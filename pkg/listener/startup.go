package listener

import (
	"context"
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/sleeper"
)

const (
	// startupWindow is the time after the start within which requests wait for what the VM is about to read from the store. The load
	// balancer sends requests to VMs that are not ready only if most VMs are not, so another VM would not serve them sooner.
	startupWindow = 2 * time.Second
	// maxStartupWait is the longest wait of one request: reading the configuration, the endpoints and the list of VMs takes 100 to
	// 200 ms if many VMs start at once.
	maxStartupWait = 400 * time.Millisecond
	startupPoll    = 10 * time.Millisecond
)

// awaitRegistry returns the current registry. While the VM starts, it first waits until the configuration, the endpoints and the
// peers are known, for maxStartupWait at most.
func (l *Listener) awaitRegistry(ctx context.Context) *registrar.Registry {
	limit := l.startedAt.Add(startupWindow)
	if byNow := time.Now().Add(maxStartupWait); byNow.Before(limit) {
		limit = byNow
	}
	for {
		reg := l.registry()
		if reg.IsReady() && l.cfg.HasPeers() || !time.Now().Before(limit) || l.isClosed.Load() {
			return reg
		}
		if !sleeper.Sleep(ctx, startupPoll) {
			return reg
		}
	}
}
