package delegator

import (
	"cmp"
	"time"

	core "github.com/dogwoodledge/dogwoodledge/pkg/core/delegator"
)

const (
	// MaxConnections bounds the connections of other VMs if the limits don't say.
	MaxConnections = 384
	// MaxRequests bounds the requests of other VMs that are in flight if the limits don't say.
	MaxRequests = 256
	// maxPerAddress has room for the requests that one VM may have in flight here and for its idle connections.
	maxPerAddress = 2 * core.MaxNear
	// maxHeadBytes bounds the head of a request: the largest that a caller may send, with the headers that VMs add.
	maxHeadBytes = 256<<10 + 4<<10
	// serverSlack keeps the server from refusing heads that the port refuses with a marked answer.
	serverSlack = 32 << 10
	headTimeout = 5 * time.Second
	// idleTimeout is longer than VMs keep idle connections, so that they close them before the server does.
	idleTimeout = 8 * time.Second
	// restTimeout bounds how long the rest of a body is read that the answer did not need.
	restTimeout = 2 * time.Second
	// refusalLines bounds the log lines a second about refused requests, by cause.
	refusalLines = 20
)

// Limits bound what other VMs may take of this one; what is 0 is set to its default.
type Limits struct {
	// Connections bounds the connections, PerAddress those from one address, and Requests the requests in flight.
	Connections, PerAddress, Requests int
}

func (l Limits) withDefaults() Limits {
	return Limits{
		Connections: cmp.Or(l.Connections, MaxConnections),
		PerAddress:  cmp.Or(l.PerAddress, maxPerAddress),
		Requests:    cmp.Or(l.Requests, MaxRequests),
	}
}
