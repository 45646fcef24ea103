// Package relayer takes online requests to endpoints and brings their answers back.
//
// A request that is not idempotent is sent once; a status that promises "not run" is given only when no byte was offered to
// an endpoint, or on the endpoint's own word.
package relayer
