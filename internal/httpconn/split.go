package httpconn

import (
	"bufio"
	"bytes"
	"net/http"
)

// bodyLength returns the length of the body that follows a head. It reports false when the head does not say it, or
// when net/http may read the head otherwise: a chunked body, another protocol, or lines that end without a CR.
func bodyLength(head []byte) (int64, bool) {
	if bytes.Count(head, []byte("\n")) != bytes.Count(head, []byte("\r\n")) {
		return 0, false
	}
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil {
		return 0, false
	}
	plain := r.ProtoMajor == 1 && r.ProtoMinor == 1 && r.Method != http.MethodConnect && r.Header.Get("Upgrade") == ""
	if !plain || r.Close || len(r.TransferEncoding) > 0 || r.ContentLength < 0 {
		return 0, false
	}
	return r.ContentLength, true
}
