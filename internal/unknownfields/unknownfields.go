// Package unknownfields reads JSON objects without losing the fields that this program does not know: processes of different versions
// pass on what the other one wrote, in messages and in stored state.
//
// A type that keeps its unknown fields has a field of type Fields, tagged `json:"-"`, and these two methods, whose type plain has no
// methods of its own and thus prevents their recursion:
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

// Fields are the fields of a JSON object that a Go struct has no field for, by name.
type Fields map[string]json.RawMessage

// Unmarshal decodes a JSON object into v, a pointer to a struct without an UnmarshalJSON method, and sets unknown to the other
// fields of the object; to nil where there are none.
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
			return strings.EqualFold(field, name) // as encoding/json matches names
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

// Marshal encodes v, whose JSON must be an object, and appends the unknown fields to it in the order of their names.
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

// State is the stored form of a state machine.
type State interface {
	// Validate returns an error where no sequence of commands can have led to the state.
	Validate() error
}

// Restore decodes a stored state into empty and validates it. Errors begin with the name of the state.
func Restore[S State](name string, text []byte, empty S) (S, error) {
	var none S
	if err := json.Unmarshal(text, empty); err != nil {
		return none, fmt.Errorf("%s: %w", name, err)
	}
	if err := empty.Validate(); err != nil {
		return none, fmt.Errorf("%s: %w", name, err)
	}
	return empty, nil
}
