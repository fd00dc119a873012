package wire

import "unicode/utf8"

// NewHeader returns the wire form of an HTTP header field. HTTP permits values that are not UTF-8, which a protobuf string
// can't hold.
func NewHeader(name string, values []string) *Header {
	h := &Header{Name: name, Values: values}
	for _, v := range values {
		if utf8.ValidString(v) {
			continue
		}
		h.Values, h.RawValues = nil, make([][]byte, len(values))
		for i, value := range values {
			h.RawValues[i] = []byte(value)
		}
		break
	}
	return h
}

// All returns the values of the header field. They must not be modified.
func (h *Header) All() []string {
	if len(h.GetRawValues()) == 0 {
		return h.GetValues()
	}
	values := make([]string, len(h.RawValues))
	for i, v := range h.RawValues {
		values[i] = string(v)
	}
	return values
}
