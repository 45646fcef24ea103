package assembler

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/admitter"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/itemrunner"
	"github.com/dogwoodledge/dogwoodledge/platform"
)

// TestReloadKeepsGoodSettings reloads the settings while another goroutine reads them, as a shutdown during a change does. A
// file with errors must leave the active settings as they are.
func TestReloadKeepsGoodSettings(t *testing.T) {
	text, err := os.ReadFile("../../platform/testdata/settings.toml")
	require.NoError(t, err)
	file := filepath.Join(t.TempDir(), "settings.toml")
	t.Setenv(platform.SettingsVariable, file)
	write := func(text string) { require.NoError(t, os.WriteFile(file, []byte(text), 0o600)) }
	write(string(text))
	first, err := platform.ReadSettings(file)
	require.NoError(t, err)
	log := logrus.New()
	log.SetOutput(&strings.Builder{})
	cfg := &registrar.Config{}
	cfg.RequireKeys()
	registry := func() *registrar.Registry { return registrar.NewRegistry(cfg, nil) }
	a := admitter.New(admitter.Headers{}, revocation(first), registry, nil, nil, admitter.Unlimited{}, nil, log)
	items := itemrunner.New(platform.Headers(), nil, registry, nil, nil, nil, nil, nil, nil, nil, log)
	g := &gateway{gatewayParts: gatewayParts{Settings: first, Log: log, Admitter: a, ItemRunner: items}}
	g.active.Store(&first)

	read := make(chan time.Duration)
	go func() { read <- g.active.Load().Grace }()
	write(strings.Replace(string(text), "graceS = 8", "graceS = 5", 1))
	g.reload()
	assert.Contains(t, []time.Duration{8 * time.Second, 5 * time.Second}, <-read)
	assert.Equal(t, 5*time.Second, g.active.Load().Grace)

	assert.Zero(t, a.MaxWatch())
	write(strings.Replace(string(text), "graceS = 8", "graceS = 5\nstrictRevoke = true", 1))
	g.reload()
	assert.Equal(t, 1500*time.Millisecond, a.MaxWatch(), "strict revocation is not active")

	write("nodeName = 5")
	g.reload()
	assert.Equal(t, 5*time.Second, g.active.Load().Grace, "a settings file with errors changed the active settings")
}
