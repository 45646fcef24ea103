package registrar

import (
	"strconv"
	"strings"
)

// LeavingKey identifies the incarnation of an endpoint in updates between VMs which say that it leaves.
func (e Endpoint) LeavingKey() string { return e.ID + "@" + strconv.FormatInt(e.StartedAtMs, 10) }

// Leaving holds the endpoints that said in an answer that they leave, with the start time of the incarnation that did.
//
// An endpoint says so before its row does, or without its row ever saying so. An incarnation that has said so stays leaving,
// whatever older or later rows of it say; a later incarnation under the same id is not affected.
type Leaving map[string]int64

// Add records that an incarnation leaves, by its LeavingKey; it returns false if that was known or the key is malformed.
func (l Leaving) Add(key string) bool {
	i := strings.LastIndexByte(key, '@')
	if i <= 0 {
		return false
	}
	id := key[:i]
	startedAt, err := strconv.ParseInt(key[i+1:], 10, 64)
	if err != nil {
		return false
	}
	if known, ok := l[id]; ok && known >= startedAt {
		return false
	}
	l[id] = startedAt
	return true
}

// Apply returns the endpoint, marked as draining if its incarnation has said that it leaves.
func (l Leaving) Apply(e Endpoint) Endpoint {
	if startedAt, ok := l[e.ID]; ok && startedAt == e.StartedAtMs {
		e.IsDraining = true
	}
	return e
}
