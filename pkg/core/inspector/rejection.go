package inspector

import "slices"

// rejections are the statuses with which a server answers a message that it can't read or whose head or body is too large.
var rejections = []int{400, 411, 413, 414, 417, 431, 501, 505}

// IsRejection reports whether a status in an answer without a signature says that the message is at fault, and not the endpoint.
func IsRejection(status int) bool { return slices.Contains(rejections, status) }
