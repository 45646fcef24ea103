package quarantiner

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
)

const (
	// requestPrefix begins the parts that stand for whole requests; the ids of parts of prompts have no colon.
	requestPrefix = "request:"
	// requestHashBytes is the length of the hash in such a part.
	requestHashBytes = 16
	// maxProbeEnds is the number of endpoints that may end under probes of a quarantined request: only this request is refused then,
	// so that a wrong quarantine costs less than a further end.
	maxProbeEnds = 1
)

// RequestPart returns the part that stands for a whole request. It is the same each time that the request is sent.
func RequestPart(method, host, target string, body []byte) string {
	h := sha256.New()
	for _, field := range []string{method, host, target} {
		_, _ = h.Write([]byte(strconv.Itoa(len(field)) + ":" + field))
	}
	_, _ = h.Write(body)
	return requestPrefix + hex.EncodeToString(h.Sum(nil)[:requestHashBytes])
}

// IsRequest reports whether the part stands for a whole request.
func IsRequest(part string) bool { return strings.HasPrefix(part, requestPrefix) }

// roomFor returns the number of parts from which on the part isn't recorded.
func roomFor(part string) int {
	if IsRequest(part) {
		return maxRequests
	}
	return maxParts
}

// decideRequests quarantines the requests that explain the ends of endpoints, and returns the other candidates, except the parts
// of prompts that one of these requests explains.
//
// Load pattern: one request comes again and again and ends each endpoint that begins it, beside requests with the same parts. If
// several requests end endpoints, and each again when it is retried, what they have in common is the cause: a part is explained
// by one request only.
func decideRequests(candidates []*record) []*record {
	var requests, others []*record
	for _, r := range candidates {
		if r.isRequest {
			requests = append(requests, r)
		} else {
			others = append(others, r)
		}
	}
	quarantineUnexplained(requests)
	releaseExplained(requests)
	var left []*record
	for _, r := range others {
		if !isExplainedByOne(r, requests) {
			left = append(left, r)
		}
	}
	return left
}

// isExplainedByOne reports whether the part's strikes don't suffice without those at the endpoints of one quarantined request.
func isExplainedByOne(r *record, requests []*record) bool {
	for _, request := range requests {
		explained := map[string]int{}
		if request.explain(explained); request.isQuarantined && r.weight(explained) < threshold {
			return true
		}
	}
	return false
}
