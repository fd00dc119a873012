package httpconn

import (
	"bufio"
	"bytes"
	"net/http"
)

// bodyLength returns the length of the body that follows a request head. It reports false if the head does not give the
// length or if net/http may parse the head differently: for a chunked body, a protocol other than HTTP/1.1, or lines
// that end without a CR.
func bodyLength(head []byte) (int64, bool) {
	if bytes.Count(head, []byte("\n")) != bytes.Count(head, []byte("\r\n")) {
		return 0, false
	}
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil {
		return 0, false
	}
	supported := r.ProtoMajor == 1 && r.ProtoMinor == 1 && r.Method != http.MethodConnect && r.Header.Get("Upgrade") == ""
	if !supported || r.Close || len(r.TransferEncoding) > 0 || r.ContentLength < 0 {
		return 0, false
	}
	return r.ContentLength, true
}
