// Package unknownfields decodes and encodes JSON objects without losing fields that this version of the program does not know. Processes
// of different versions thereby preserve each other's fields in messages and in stored state.
//
// A type that keeps its unknown fields has a field of type Fields, tagged `json:"-"`, and the following two methods. Their local type
// plain has no methods, which prevents infinite recursion:
//
//	func (v T) MarshalJSON() ([]byte, error) {
//		type plain T
//		return unknownfields.Marshal(plain(v), v.Unknown)
//	}
//
//	func (v *T) UnmarshalJSON(text []byte) error {
//		type plain T
//		return unknownfields.Unmarshal(text, (*plain)(v), &v.Unknown)
//	}
package unknownfields

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// Fields holds, by name, the fields of a JSON object that have no counterpart in a Go struct.
type Fields map[string]json.RawMessage

// Unmarshal decodes a JSON object into v, which must be a pointer to a struct without an UnmarshalJSON method. It sets unknown to the
// fields of the object that the struct does not have, or to nil if there are none.
func Unmarshal(text []byte, v any, unknown *Fields) error {
	if err := json.Unmarshal(text, v); err != nil {
		return err
	}
	var all Fields
	if err := json.Unmarshal(text, &all); err != nil {
		return err
	}
	known := fieldNames(reflect.TypeOf(v).Elem())
	maps.DeleteFunc(all, func(name string, _ json.RawMessage) bool {
		return slices.ContainsFunc(known, func(field string) bool {
			return strings.EqualFold(field, name) // encoding/json ignores case when it matches names
		})
	})
	*unknown = nil
	if len(all) > 0 {
		*unknown = all
	}
	return nil
}

// fieldNames returns the names that encoding/json uses for the fields of a struct, including those of embedded structs.
func fieldNames(structType reflect.Type) []string {
	var names []string
	for i := range structType.NumField() {
		field := structType.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		switch {
		case field.Anonymous && name == "" && field.Type.Kind() == reflect.Struct:
			names = append(names, fieldNames(field.Type)...)
		case name == "-" || !field.IsExported():
		case name != "":
			names = append(names, name)
		default:
			names = append(names, field.Name)
		}
	}
	return names
}

// Marshal encodes v, which must encode as a JSON object, and appends the unknown fields to the object, sorted by name.
func Marshal(v any, unknown Fields) ([]byte, error) {
	text, err := json.Marshal(v)
	if err != nil || len(unknown) == 0 {
		return text, err
	}
	var object bytes.Buffer
	object.Write(bytes.TrimSuffix(text, []byte("}")))
	for _, name := range slices.Sorted(maps.Keys(unknown)) {
		key, err := json.Marshal(name)
		if err != nil {
			return nil, err
		}
		if object.Len() > len("{") {
			object.WriteByte(',')
		}
		object.Write(key)
		object.WriteByte(':')
		object.Write(unknown[name])
	}
	object.WriteByte('}')
	return object.Bytes(), nil
}

// State is the state of a state machine that is stored as JSON.
type State interface {
	// Validate returns an error if no sequence of commands can produce the state.
	Validate() error
}

// Restore decodes a stored state into empty, validates it and returns it. Errors begin with name.
func Restore[S State](name string, text []byte, empty S) (S, error) {
	var zero S
	if err := json.Unmarshal(text, empty); err != nil {
		return zero, fmt.Errorf("%s: %w", name, err)
	}
	if err := empty.Validate(); err != nil {
		return zero, fmt.Errorf("%s: %w", name, err)
	}
	return empty, nil
}
