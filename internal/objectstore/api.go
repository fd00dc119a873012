package objectstore

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// The HTTP form of the object API:
//
//	GET    /v1/objects/KEY             200 value, ETag holds the version; 404
//	PUT    /v1/objects/KEY             If-Match or If-None-Match: *; 200 with ETag; 412; 413
//	DELETE /v1/objects/KEY             If-Match; 204; 404; 412
//	GET    /v1/objects?prefix=P        200 ListReply
//	GET    /v1/watch?prefix=P&from=N   200 stream of WatchLine, one JSON value a line
//
// 429 and 503 mean that the request was refused without effect.
const (
	ObjectsPath = "/v1/objects"
	WatchPath   = "/v1/watch"
	// HeartbeatInterval is the longest time between two lines of a watch.
	HeartbeatInterval = 5 * time.Second
)

// ListReply is the answer to a list.
type ListReply struct {
	// Revision is the store's version counter at the time of the list.
	Revision int64        `json:"revision"`
	Objects  []ListObject `json:"objects"`
}

// ListObject is one object in a list.
type ListObject struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"` // base64 in JSON
	Version int64  `json:"version"`
}

// WatchLine is one line of a watch: an event, or a heartbeat when Key is empty.
type WatchLine struct {
	Key     string `json:"key,omitempty"`
	Version int64  `json:"version,omitempty"`
	Value   []byte `json:"value,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// SetCondition sets the request header that makes a write conditional.
func SetCondition(h http.Header, ifVersion int64) {
	if ifVersion == MustNotExist {
		h.Set("If-None-Match", "*")
		return
	}
	h.Set("If-Match", FormatETag(ifVersion))
}

// Condition returns the ifVersion that SetCondition stored.
func Condition(h http.Header) (int64, error) {
	if h.Get("If-None-Match") == "*" {
		return MustNotExist, nil
	}
	return ParseETag(h.Get("If-Match"))
}

// FormatETag returns the entity tag of a version.
func FormatETag(version int64) string {
	return `"` + strconv.FormatInt(version, 10) + `"`
}

// ParseETag returns the version in an entity tag.
func ParseETag(tag string) (int64, error) {
	digits := strings.TrimSuffix(strings.TrimPrefix(tag, `"`), `"`)
	version, err := strconv.ParseInt(digits, 10, 64)
	return version, errors.Wrapf(err, "objectstore: entity tag %q", tag)
}
