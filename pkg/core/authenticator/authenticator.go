package authenticator

import (
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/option"
)

// Facts are what the decision about a request is based on.
type Facts struct {
	Config *registrar.Config
	// IsPublic says that the request's route is public.
	IsPublic bool
	// Key is the digest of the request's key, if it has one.
	Key option.Option[registrar.KeyDigest]
	// IsStale says that the configuration may have been replaced for so long that its keys no longer count.
	IsStale bool
}

// Decision is the result of Decide: Accepted, Anonymous, Unknown or Stale.
type Decision interface{ isDecision() }

// Accepted says that the request is one of the account.
type Accepted struct{ Account registrar.Account }

// Anonymous says that the request needs no key.
type Anonymous struct{}

// Unknown says that the request has no key, or one that belongs to no account.
type Unknown struct{}

// Stale says that this VM can't tell whether the key is valid; another VM may know.
type Stale struct{}

func (Accepted) isDecision()  {}
func (Anonymous) isDecision() {}
func (Unknown) isDecision()   {}
func (Stale) isDecision()     {}

// Decide returns whose request it is.
//
// A VM whose configuration is stale refuses unknown keys as Stale too: they may be new.
func Decide(f Facts) Decision {
	if !f.Config.HasAccounts() || f.IsPublic {
		return Anonymous{}
	}
	key, ok := f.Key.Get()
	if !ok {
		return Unknown{}
	}
	if f.IsStale {
		return Stale{}
	}
	account, ok := f.Config.AccountOf(key)
	if !ok {
		return Unknown{}
	}
	return Accepted{Account: account}
}
