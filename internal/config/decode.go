package config

import (
	"encoding"
	"errors"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

const (
	maxDepth     = 32
	maxFileBytes = 64 << 20
)

// position is a line and a column of a file, both counted from 1. The zero position is unknown.
type position struct {
	line   int
	column int
}

// decoder decodes YAML into Go values by their `yaml` tags. It continues after an error, so that all errors are returned
// together, and records the position of each field. It rejects aliases, because they let a small file expand without bound.
type decoder struct {
	file      string
	errs      Errors
	positions map[string]position // by field path
	depth     int                 // nesting depth of the value that is being decoded
}

// errorAtNode adds an error about a node. A nil node has no position.
func (d *decoder) errorAtNode(node *yaml.Node, field, reason string, args ...any) {
	e := &Error{File: d.file, Field: field, Reason: fmt.Sprintf(reason, args...)}
	if node != nil {
		e.Line = node.Line
		e.Column = node.Column
	}
	d.errs = append(d.errs, e)
}

// errorAt adds an error about a field. If the file does not contain the field, the position is that of its nearest ancestor.
func (d *decoder) errorAt(field, reason string, args ...any) {
	p := d.positionOf(field)
	e := &Error{File: d.file, Line: p.line, Column: p.column, Field: field, Reason: fmt.Sprintf(reason, args...)}
	d.errs = append(d.errs, e)
}

// positionOf returns the position of the field at path, or that of its nearest ancestor in the file.
func (d *decoder) positionOf(path string) position {
	for {
		p, ok := d.positions[path]
		if ok || path == "" {
			return p
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
}

// err returns the errors as Errors, sorted by position, or nil if there are none.
func (d *decoder) err() error {
	if len(d.errs) == 0 {
		return nil
	}
	slices.SortStableFunc(d.errs, func(x, y *Error) int {
		if x.Line != y.Line {
			return x.Line - y.Line
		}
		return x.Column - y.Column
	})
	return d.errs
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// decode decodes text into target, a pointer to a struct.
func (d *decoder) decode(text []byte, target any) {
	d.positions = map[string]position{}
	if len(text) > maxFileBytes {
		d.errorAtNode(nil, "", "the file has %d bytes, at most %d are accepted", len(text), maxFileBytes)
		return
	}
	var document yaml.Node
	if err := yaml.Unmarshal(text, &document); err != nil {
		d.addSyntaxError(err)
		return
	}
	if document.Kind == 0 || len(document.Content) == 0 {
		d.errorAtNode(nil, "", "the file is empty")
		return
	}
	d.decodeValue(document.Content[0], "", reflect.ValueOf(target).Elem())
}

// addSyntaxError adds an error of the YAML library. Its text begins with the line number if the library knows it.
func (d *decoder) addSyntaxError(err error) {
	e := &Error{File: d.file, Column: 1}
	text := strings.TrimPrefix(err.Error(), "yaml: ")
	if rest, ok := strings.CutPrefix(text, "line "); ok {
		if line, reason, ok := strings.Cut(rest, ": "); ok {
			e.Line, _ = strconv.Atoi(line)
			text = reason
		}
	}
	e.Reason = "invalid YAML: " + text
	d.errs = append(d.errs, e)
}

var textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

func (d *decoder) decodeValue(node *yaml.Node, path string, target reflect.Value) {
	d.depth++
	defer func() { d.depth-- }()
	if d.depth > maxDepth {
		d.errorAtNode(node, path, "nested too deeply")
		return
	}
	d.positions[path] = position{line: node.Line, column: node.Column}
	if node.Kind == yaml.AliasNode || node.Anchor != "" {
		d.errorAtNode(node, path, "anchors and aliases are not supported")
		return
	}
	if node.Kind == yaml.ScalarNode && node.Tag == "!!null" {
		d.errorAtNode(node, path, "has no value")
		return
	}
	if target.Kind() != reflect.Pointer && reflect.PointerTo(target.Type()).Implements(textUnmarshaler) {
		d.decodeText(node, path, target)
		return
	}
	switch target.Kind() {
	case reflect.Pointer:
		target.Set(reflect.New(target.Type().Elem()))
		d.decodeValue(node, path, target.Elem())
	case reflect.Struct:
		d.decodeStruct(node, path, target)
	case reflect.Slice:
		d.decodeSlice(node, path, target)
	case reflect.Map:
		d.decodeMap(node, path, target)
	default:
		d.decodeScalar(node, path, target)
	}
}

// decodeText decodes into an encoding.TextUnmarshaler.
func (d *decoder) decodeText(node *yaml.Node, path string, target reflect.Value) {
	if node.Kind != yaml.ScalarNode {
		d.errorAtNode(node, path, "must be a single value")
		return
	}
	unmarshaler, ok := target.Addr().Interface().(encoding.TextUnmarshaler)
	if !ok {
		return // cannot happen: decodeValue has checked the type
	}
	if err := unmarshaler.UnmarshalText([]byte(node.Value)); err != nil {
		d.errorAtNode(node, path, "%v", err)
	}
}

func (d *decoder) decodeSlice(node *yaml.Node, path string, target reflect.Value) {
	if node.Kind != yaml.SequenceNode {
		d.errorAtNode(node, path, "must be a list")
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(node.Content), len(node.Content)))
	for i, element := range node.Content {
		d.decodeValue(element, fmt.Sprintf("%s[%d]", path, i), target.Index(i))
	}
}

// decodeMap decodes into a map with string keys.
func (d *decoder) decodeMap(node *yaml.Node, path string, target reflect.Value) {
	if node.Kind != yaml.MappingNode {
		d.errorAtNode(node, path, "must be a mapping of names to values")
		return
	}
	target.Set(reflect.MakeMap(target.Type()))
	for i := 0; i+1 < len(node.Content); i += 2 {
		keyNode := node.Content[i]
		name := join(path, keyNode.Value)
		key := reflect.ValueOf(keyNode.Value)
		if target.MapIndex(key).IsValid() {
			d.errorAtNode(keyNode, name, "duplicate key")
			continue
		}
		value := reflect.New(target.Type().Elem()).Elem()
		d.decodeValue(node.Content[i+1], name, value)
		target.SetMapIndex(key, value)
	}
}

func (d *decoder) decodeStruct(node *yaml.Node, path string, target reflect.Value) {
	if node.Kind != yaml.MappingNode {
		d.errorAtNode(node, path, "must be a mapping of fields")
		return
	}
	fields := fieldIndexes(target.Type())
	seen := map[string]bool{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		keyNode := node.Content[i]
		index, ok := fields[keyNode.Value]
		name := join(path, keyNode.Value)
		switch {
		case !ok:
			d.errorAtNode(keyNode, name, "there is no such field")
		case seen[keyNode.Value]:
			d.errorAtNode(keyNode, name, "duplicate field")
		default:
			seen[keyNode.Value] = true
			d.decodeValue(node.Content[i+1], name, target.FieldByIndex(index))
		}
	}
}

// fieldIndexes returns the index of each field of a struct by its name in YAML, including the fields of embedded structs.
func fieldIndexes(t reflect.Type) map[string][]int {
	fields := map[string][]int{}
	for _, field := range reflect.VisibleFields(t) {
		name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
		if name != "" && name != "-" {
			fields[name] = field.Index
		}
	}
	return fields
}

var (
	errNotBool   = errors.New("must be true or false")
	errNotInt    = errors.New("must be a whole number")
	errNotUint32 = errors.New("must be a whole number from 0 to 4294967295")
	errNotNumber = errors.New("must be a number")
)

func (d *decoder) decodeScalar(node *yaml.Node, path string, target reflect.Value) {
	if node.Kind != yaml.ScalarNode {
		d.errorAtNode(node, path, "must be a single value")
		return
	}
	if err := setScalar(target, node); err != nil {
		d.errorAtNode(node, path, "%v, got %q", err, node.Value)
	}
}

func setScalar(target reflect.Value, node *yaml.Node) error {
	switch target.Kind() {
	case reflect.String:
		target.SetString(node.Value)
	case reflect.Bool:
		value, err := strconv.ParseBool(node.Value)
		if err != nil || node.Tag != "!!bool" {
			return errNotBool
		}
		target.SetBool(value)
	case reflect.Int, reflect.Int64:
		value, err := strconv.ParseInt(node.Value, 10, 64)
		if err != nil {
			return errNotInt
		}
		target.SetInt(value)
	case reflect.Uint32:
		value, err := strconv.ParseUint(node.Value, 10, 32)
		if err != nil {
			return errNotUint32
		}
		target.SetUint(value)
	case reflect.Float64:
		value, err := strconv.ParseFloat(node.Value, 64)
		if err != nil || math.IsNaN(value) || math.IsInf(value, 0) {
			return errNotNumber
		}
		target.SetFloat(value)
	default:
		return fmt.Errorf("unsupported type %v", target.Type())
	}
	return nil
}
