package itemrunner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
)

// TestVMWithoutAConfigurationStartsNoItems guards against a VM that ends because it holds a job before it knows a configuration.
func TestVMWithoutAConfigurationStartsNoItems(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, t, 1)
		reg := registrar.NewRegistry(nil, map[string]registrar.Endpoint{})
		f.vms[0].runner.registry = func() *registrar.Registry { return reg }
		f.settle(ctx)
		item := f.vms[0].item()
		require.NotNil(t, item)
		assert.Nil(t, item.run)
		assert.False(t, item.isOver)
		cancel()
		time.Sleep(10 * time.Second)
	})
}
