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

// ConfigError describes one error in a bundle.
type ConfigError struct {
	File string // empty when the error comes from Validate
	Line int    // from 1; zero when File is empty
	// Key is the path of the key, such as "routes[1].service"; empty for a syntax error.
	Key     string
	Message string
	// Allowed describes the accepted values or keys; empty for a syntax error.
	Allowed string
}

// Error implements error.
func (e ConfigError) Error() string {
	text := fmt.Sprintf("%s:%d: ", e.File, e.Line)
	if e.Key != "" {
		text += e.Key + ": "
	}
	text += e.Message
	if e.Allowed != "" {
		text += "; allowed: " + e.Allowed
	}
	return text
}

// Parse decodes and validates a bundle in TOML and sets its defaults. The bundle is nil when there are errors.
func Parse(filename string, data []byte) (*Bundle, []ConfigError) {
	b := &Bundle{}
	decoder := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := decoder.Decode(b); err != nil {
		return nil, decodeErrors(filename, err)
	}
	b.SetDefaults()
	errs := b.Validate()
	if len(errs) == 0 {
		return b, nil
	}
	positions := locateKeys(data)
	for i := range errs {
		errs[i].File = filename
		errs[i].Line = positions.lineOf(errs[i].Key)
	}
	slices.SortStableFunc(errs, func(a, b ConfigError) int { return a.Line - b.Line })
	return nil, errs
}

func decodeErrors(filename string, err error) []ConfigError {
	var strictErr *toml.StrictMissingError
	if errors.As(err, &strictErr) {
		errs := make([]ConfigError, len(strictErr.Errors))
		for i := range strictErr.Errors {
			errs[i] = unknownKeyError(filename, &strictErr.Errors[i])
		}
		return errs
	}
	configErr := ConfigError{File: filename, Line: 1, Message: err.Error()}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		configErr.Line, _ = decodeErr.Position()
		configErr.Key = strings.Join(decodeErr.Key(), ".")
		configErr.Allowed = allowedValue(decodeErr.Key())
	}
	return []ConfigError{configErr}
}

func unknownKeyError(filename string, e *toml.DecodeError) ConfigError {
	line, _ := e.Position()
	key := e.Key()
	configErr := ConfigError{File: filename, Line: line, Key: strings.Join(key, "."), Message: "unknown key"}
	if parent := schemaType(key[:max(0, len(key)-1)]); parent != nil && parent.Kind() == reflect.Struct {
		configErr.Allowed = strings.Join(fieldNames(parent), ", ")
	}
	return configErr
}

// schemaType returns the Go type that the schema has at a path of TOML keys, or nil if the path is unknown.
func schemaType(path []string) reflect.Type {
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

// fieldNames returns the TOML keys of a struct type of the schema, in the order of the fields.
func fieldNames(t reflect.Type) []string {
	names := make([]string, t.NumField())
	for i := range names {
		names[i] = t.Field(i).Tag.Get("toml")
	}
	return names
}

// allowedValue describes the values that the key at path accepts.
func allowedValue(path []string) string {
	t := schemaType(path)
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
