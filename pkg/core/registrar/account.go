package registrar

import (
	"cmp"
	"crypto/sha256"
	"fmt"
	"slices"

	"github.com/dogwoodledge/dogwoodledge/pkg/option"
)

// KeyDigest is the SHA-256 digest of an account's key. Keys are compared by digest, so that the time of a look-up reveals nothing
// about how much of a key was right.
type KeyDigest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Account is a customer whose callers authenticate by keys.
type Account struct {
	Name string
	// Priority takes precedence over that of the route, if it is set; 0 is the highest.
	Priority option.Option[int]
	// Rate bounds the account's online requests a second over all VMs, with a burst of Burst requests; 0 means no bound.
	Rate  float64
	Burst float64
}

// AccountError reports what can't be used of an account of the configuration, or is likely a mistake. It never names a key.
type AccountError struct {
	// Account is the account's name; empty if it has none that can be used.
	Account string
	// Position is that of the account in the configuration's list.
	Position int
	Problem  string
}

func (e *AccountError) Error() string {
	return fmt.Sprintf("account %q at position %d: %s", e.Account, e.Position, e.Problem)
}

// accounts holds the accounts of a configuration.
type accounts struct {
	// isRequired says that routes which are not public require a key, even if no account is usable.
	isRequired bool
	byName     map[string]Account
	byKey      map[KeyDigest]string
	// named holds the largest accounts.
	named map[string]bool
}

// RequireKeys makes all routes that are not public require a key.
func (c *Config) RequireKeys() { c.accounts.isRequired = true }

// AddAccount adds the account at the position of the configuration's list with its keys. A name that was added before keeps its
// first settings and gets the further keys; a key belongs to the first account that has it.
func (c *Config) AddAccount(position int, a Account, keys []KeyDigest) {
	c.RequireKeys()
	s := &c.accounts
	if s.byName == nil {
		s.byName, s.byKey = map[string]Account{}, map[KeyDigest]string{}
	}
	if _, ok := s.byName[a.Name]; ok {
		c.warn(position, a.Name, "the name is used before; the first entry's settings and the keys of both are valid")
	} else {
		s.byName[a.Name] = a
		c.Accounts = append(c.Accounts, a)
	}
	if len(keys) == 0 {
		c.warn(position, a.Name, "there is no key; nobody can send requests for it")
	}
	for _, k := range keys {
		if holder, ok := s.byKey[k]; ok && holder != a.Name {
			c.warn(position, a.Name, fmt.Sprintf("one of the keys belongs to account %q before it", holder))
			continue
		}
		s.byKey[k] = a.Name
	}
}

func (c *Config) warn(position int, account, problem string) {
	c.AccountErrors = append(c.AccountErrors, &AccountError{Account: account, Position: position, Problem: problem})
}

// HasAccounts reports whether routes that are not public require a key; false while no configuration is known.
func (c *Config) HasAccounts() bool { return c != nil && c.accounts.isRequired }

// AccountOf returns the account that the key with the digest belongs to.
func (c *Config) AccountOf(digest KeyDigest) (Account, bool) {
	name, ok := c.accounts.byKey[digest]
	if !ok {
		return Account{}, false
	}
	a, ok := c.accounts.byName[name]
	return a, ok
}

// Account returns the account with the name.
func (c *Config) Account(name string) (Account, bool) {
	a, ok := c.accounts.byName[name]
	return a, ok
}

// maxNamedAccounts is the number of accounts that have metrics of their own.
const maxNamedAccounts = 20

// IsLargeAccount reports whether the account is one of the maxNamedAccounts with the highest rates.
func (c *Config) IsLargeAccount(name string) bool { return c.accounts.named[name] }

// rankAccounts finds the largest accounts.
func (c *Config) rankAccounts() {
	list := slices.Clone(c.Accounts)
	slices.SortStableFunc(list, func(a, b Account) int {
		if isUnbounded := a.Rate <= 0; isUnbounded != (b.Rate <= 0) {
			if isUnbounded {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.Rate, a.Rate)
	})
	c.accounts.named = map[string]bool{}
	for _, a := range list[:min(len(list), maxNamedAccounts)] {
		c.accounts.named[a.Name] = true
	}
}
