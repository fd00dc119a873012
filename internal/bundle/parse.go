package bundle

import (
	"bytes"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// Fault is one thing wrong in a bundle file.
type Fault struct {
	File string
	Line int // from 1
	// Key is the path of the key, such as "routes[1].service"; empty for a syntax error.
	Key     string
	Problem string
	// Allowed says what is accepted instead; empty for a syntax error.
	Allowed string
}

// Error implements error.
func (f Fault) Error() string {
	text := fmt.Sprintf("%s:%d: ", f.File, f.Line)
	if f.Key != "" {
		text += f.Key + ": "
	}
	text += f.Problem
	if f.Allowed != "" {
		text += "; allowed: " + f.Allowed
	}
	return text
}

// Parse decodes and validates a bundle in TOML. The bundle has its defaults set; it is nil when there are faults.
func Parse(filename string, data []byte) (*Bundle, []Fault) {
	b := &Bundle{}
	decoder := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := decoder.Decode(b); err != nil {
		return nil, decodeFaults(filename, err)
	}
	b.SetDefaults()
	faults := b.Validate()
	if len(faults) == 0 {
		return b, nil
	}
	where := locate(data)
	for i := range faults {
		faults[i].File = filename
		faults[i].Line = where.line(faults[i].Key)
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return a.Line - b.Line })
	return nil, faults
}

func decodeFaults(filename string, err error) []Fault {
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) {
		faults := make([]Fault, len(missing.Errors))
		for i := range missing.Errors {
			faults[i] = unknownKey(filename, &missing.Errors[i])
		}
		return faults
	}
	fault := Fault{File: filename, Line: 1, Problem: err.Error()}
	var wrong *toml.DecodeError
	if errors.As(err, &wrong) {
		fault.Line, _ = wrong.Position()
		fault.Key = strings.Join(wrong.Key(), ".")
		fault.Allowed = allowedValue(wrong.Key())
	}
	return []Fault{fault}
}

func unknownKey(filename string, e *toml.DecodeError) Fault {
	line, _ := e.Position()
	key := e.Key()
	fault := Fault{File: filename, Line: line, Key: strings.Join(key, "."), Problem: "unknown key"}
	if parent := typeAt(key[:max(0, len(key)-1)]); parent != nil && parent.Kind() == reflect.Struct {
		fault.Allowed = strings.Join(fieldNames(parent), ", ")
	}
	return fault
}

// typeAt returns the type that the schema has at a key path, or nil.
func typeAt(path []string) reflect.Type {
	t := reflect.TypeFor[Bundle]()
	for _, key := range path {
		for t.Kind() == reflect.Slice {
			t = t.Elem()
		}
		switch t.Kind() {
		case reflect.Map:
			t = t.Elem()
		case reflect.Struct:
			i := slices.Index(fieldNames(t), key)
			if i < 0 {
				return nil
			}
			t = t.Field(i).Type
		default:
			return nil
		}
	}
	for t.Kind() == reflect.Slice || t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	return t
}

// fieldNames returns the TOML keys of a struct of the schema, in order of its fields.
func fieldNames(t reflect.Type) []string {
	names := make([]string, t.NumField())
	for i := range names {
		names[i] = t.Field(i).Tag.Get("toml")
	}
	return names
}

// allowedValue describes the values that a key takes.
func allowedValue(path []string) string {
	t := typeAt(path)
	if len(path) == 0 || t == nil {
		return ""
	}
	if t == reflect.TypeFor[Duration]() {
		return `a duration such as "250ms", "2s" or "24h"`
	}
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.Uint64:
		return "an integer from 0"
	case reflect.Int, reflect.Int64:
		return "an integer"
	case reflect.Float64:
		return "a number"
	case reflect.String:
		return "a string"
	default:
		return "a table"
	}
}
