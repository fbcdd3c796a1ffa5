// Package unknownfields reads JSON objects without losing the fields that this program does not know: processes of two versions pass on what
// the other one wrote, in messages and in what is stored.
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

// Fields are those of an object that the program has no place for, by name.
type Fields map[string]json.RawMessage

// Unmarshal reads an object into v, a pointer to a struct without methods of its own for that, and gives all other fields.
func Unmarshal(text []byte, v any, more *Fields) error {
	if err := json.Unmarshal(text, v); err != nil {
		return err
	}
	var all Fields
	if err := json.Unmarshal(text, &all); err != nil {
		return err
	}
	known := names(reflect.TypeOf(v).Elem(), nil)
	maps.DeleteFunc(all, func(name string, _ json.RawMessage) bool {
		return slices.ContainsFunc(known, func(k string) bool { return strings.EqualFold(k, name) }) // as encoding/json matches
	})
	if *more = nil; len(all) > 0 {
		*more = all
	}
	return nil
}

// names are the fields that encoding/json knows of a struct.
func names(t reflect.Type, l []string) []string {
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		switch {
		case f.Anonymous && name == "" && f.Type.Kind() == reflect.Struct:
			l = names(f.Type, l)
		case name == "-" || !f.IsExported():
		case name != "":
			l = append(l, name)
		default:
			l = append(l, f.Name)
		}
	}
	return l
}

// Marshal writes v, whose JSON is an object, with more fields behind its own, in the order of their names.
func Marshal(v any, more Fields) ([]byte, error) {
	text, err := json.Marshal(v)
	if err != nil || len(more) == 0 {
		return text, err
	}
	var b bytes.Buffer
	b.Write(text[:len(text)-1])
	for _, name := range slices.Sorted(maps.Keys(more)) {
		if b.Len() > 1 {
			b.WriteByte(',')
		}
		key, err := json.Marshal(name)
		if err != nil {
			return nil, err
		}
		b.Write(key)
		b.WriteByte(':')
		b.Write(more[name])
	}
	b.WriteByte('}')
	return b.Bytes(), nil
}

// State is a state machine's stored form. Validate returns an error where no sequence of commands can have led to it.
type State interface {
	Validate() error
}

// Restore decodes a stored state into an empty one and validates it. Errors begin with the name of the state.
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
