package bodyreader

import (
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// TooLargeError says that a body is larger than Limit bytes.
type TooLargeError struct {
	Limit int64
}

func (e *TooLargeError) Error() string {
	return "the body has more than " + strconv.FormatInt(e.Limit, 10) + " bytes: send less"
}

// NoRoomError says that the VM has no room for a request now. RetryAfter is when it probably has; WasIncomplete says that a part
// of the body was held and given up for the sake of others, since it made no progress.
type NoRoomError struct {
	RetryAfter    time.Duration
	WasIncomplete bool
}

func (e *NoRoomError) Error() string {
	if e.WasIncomplete {
		return "this VM has no room, and the body came too slowly"
	}
	return "this VM has no room for the request now"
}

// StalledError says that a body made no progress for too long.
type StalledError struct{}

func (e *StalledError) Error() string { return "the body came too slowly: send it faster" }

// Status returns the HTTP status for an error of Read, and the Retry-After if the request is refused for lack of room.
func Status(err error) (status int, retryAfter time.Duration) {
	if tooLarge := (*TooLargeError)(nil); errors.As(err, &tooLarge) {
		return http.StatusRequestEntityTooLarge, 0
	}
	if noRoom := (*NoRoomError)(nil); errors.As(err, &noRoom) {
		return http.StatusServiceUnavailable, noRoom.RetryAfter
	}
	if stalled := (*StalledError)(nil); errors.As(err, &stalled) {
		return http.StatusRequestTimeout, 0
	}
	return http.StatusBadRequest, 0
}
