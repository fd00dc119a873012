package objectstore

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// The object API over HTTP:
//
//	GET    /v1/objects/KEY             200 with the value, and the version in ETag; 404
//	PUT    /v1/objects/KEY             If-Match or If-None-Match: *; 200 with ETag; 412; 413
//	DELETE /v1/objects/KEY             If-Match; 204; 404; 412
//	GET    /v1/objects?prefix=P        200 with a ListResponse
//	GET    /v1/watch?prefix=P&from=N   200 with a stream of WatchLine, one JSON value per line
//
// Status 429 and 503 mean that the server refused the request and that it had no effect.
const (
	ObjectsPath = "/v1/objects"
	WatchPath   = "/v1/watch"
	// HeartbeatInterval is the maximum time between two lines of a watch.
	HeartbeatInterval = 5 * time.Second
)

// ListResponse is the response body of a list request.
type ListResponse struct {
	// Revision is the value of the store's version counter at the time of the list.
	Revision int64        `json:"revision"`
	Objects  []ListObject `json:"objects"`
}

// ListObject is one object of a ListResponse.
type ListObject struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"` // base64 in JSON
	Version int64  `json:"version"`
}

// WatchLine is one line of a watch response: an event, or a heartbeat if Key is empty.
type WatchLine struct {
	Key     string `json:"key,omitempty"`
	Version int64  `json:"version,omitempty"`
	Value   []byte `json:"value,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// SetPrecondition sets the request header that makes a write conditional on the version ifVersion.
func SetPrecondition(h http.Header, ifVersion int64) {
	if ifVersion == MustNotExist {
		h.Set("If-None-Match", "*")
		return
	}
	h.Set("If-Match", FormatETag(ifVersion))
}

// ParsePrecondition returns the ifVersion that SetPrecondition has set.
func ParsePrecondition(h http.Header) (int64, error) {
	if h.Get("If-None-Match") == "*" {
		return MustNotExist, nil
	}
	return ParseETag(h.Get("If-Match"))
}

// FormatETag returns the entity tag for a version.
func FormatETag(version int64) string {
	return `"` + strconv.FormatInt(version, 10) + `"`
}

// ParseETag returns the version in an entity tag.
func ParseETag(tag string) (int64, error) {
	digits := strings.TrimSuffix(strings.TrimPrefix(tag, `"`), `"`)
	version, err := strconv.ParseInt(digits, 10, 64)
	return version, errors.Wrapf(err, "objectstore: entity tag %q", tag)
}
