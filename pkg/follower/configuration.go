package follower

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/allocator"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/configurator"
	"github.com/dogwoodledge/dogwoodledge/pkg/declarer"
)

const keyHashPrefix = "sha256:"

// Configuration is the active configuration. It is immutable; a new revision replaces it as a whole.
type Configuration struct {
	Head     configurator.Head
	Snapshot declarer.Snapshot
	Preset   declarer.Preset

	raw      []byte
	accounts map[string]declarer.Account
	weights  map[string]int
}

func newConfiguration(h configurator.Head, s declarer.Snapshot) (*Configuration, error) {
	raw, _, err := s.Encode()
	if err != nil {
		return nil, err
	}
	c := &Configuration{Head: h, Snapshot: s, raw: raw, accounts: map[string]declarer.Account{}, weights: map[string]int{}}
	c.Preset, _ = s.Preset(h.Preset)
	for _, a := range s.Accounts {
		c.weights[a.Name] = a.Weight
		for _, hash := range a.KeyHashes {
			c.accounts[hash] = a
		}
	}
	return c, nil
}

// HashKey returns the hash of a key in the form in which declarations hold it.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return keyHashPrefix + hex.EncodeToString(sum[:])
}

// Account returns the account that the key belongs to, if there is one.
func (c *Configuration) Account(key string) (declarer.Account, bool) {
	hash := HashKey(key)
	a, ok := c.accounts[hash]
	if !ok {
		return a, false
	}
	for _, known := range a.KeyHashes {
		if subtle.ConstantTimeCompare([]byte(known), []byte(hash)) == 1 {
			return a, true
		}
	}
	return a, false
}

// AllocatorPolicy returns the policy of the endpoint's slot allocator; it reports false if the endpoint is not declared.
func (c *Configuration) AllocatorPolicy(endpoint string) (allocator.Policy, bool) {
	e, ok := c.Snapshot.Endpoint(endpoint)
	if !ok {
		return allocator.Policy{}, false
	}
	return allocator.Policy{
		Slots:            e.Slots,
		FirstTokenTarget: c.Preset.Online.FirstTokenTarget,
		TokenGapTarget:   c.Preset.Online.TokenGapTarget,
		QueueLimit:       c.Preset.Online.QueueLimit,
		IsBatchPaused:    c.Preset.Batch.IsPaused,
		ReservedShare:    c.Preset.Batch.ReservedShare,
		YieldFactor:      c.Preset.Batch.YieldFactor,
		YieldFrom:        c.Preset.Batch.YieldFrom,
		LatencyHeadroom:  c.Preset.Batch.LatencyHeadroom,
		MayPressOnOnline: c.Preset.Batch.MayPressOnOnline,
		PressShare:       c.Preset.Batch.PressShare,
		IsLeaving:        e.IsLeaving,
		AccountWeights:   c.weights,
	}, true
}
