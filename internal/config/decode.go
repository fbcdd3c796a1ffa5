package config

import (
	"encoding"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Error is one thing wrong with a file.
type Error struct {
	File         string
	Line, Column int // from 1; 0 where the place is not known
	Field        string
	Reason       string
}

func (e *Error) Error() string {
	at := e.File
	if e.Line > 0 {
		at = fmt.Sprintf("%s:%d:%d", e.File, e.Line, e.Column)
	}
	if e.Field == "" {
		return at + ": " + e.Reason
	}
	return at + ": " + e.Field + ": " + e.Reason
}

// Errors is all that is wrong with a file, in the order of its lines.
type Errors []*Error

func (l Errors) Error() string {
	s := make([]string, len(l))
	for i, e := range l {
		s[i] = e.Error()
	}
	return strings.Join(s, "\n")
}

type position struct{ line, column int }

// decoder reads nodes into Go values by their `yaml` tags. It goes on after an error, so that all come at once, and
// remembers where each field stands.
type decoder struct {
	file      string
	errs      Errors
	positions map[string]position
	depth     int
}

// Bounds of what a file may hold: aliases can make a small one expand without end, so there are none.
const (
	maxDepth = 32
	maxBytes = 64 << 20
)

func (d *decoder) errorAtNode(n *yaml.Node, field, reason string, args ...any) {
	e := &Error{File: d.file, Field: field, Reason: fmt.Sprintf(reason, args...)}
	if n != nil {
		e.Line, e.Column = n.Line, n.Column
	}
	d.errs = append(d.errs, e)
}

// errorAt adds an error about a field by its path; one that is not in the file stands where its parent does.
func (d *decoder) errorAt(field, reason string, args ...any) {
	e := &Error{File: d.file, Field: field, Reason: fmt.Sprintf(reason, args...)}
	for path := field; ; path = path[:max(strings.LastIndexAny(path, ".["), 0)] {
		if p, ok := d.positions[path]; ok || path == "" {
			e.Line, e.Column = p.line, p.column
			break
		}
	}
	d.errs = append(d.errs, e)
}

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

// decode reads text into v, a pointer to a struct.
func (d *decoder) decode(text []byte, v any) {
	d.positions = map[string]position{}
	if len(text) > maxBytes {
		d.errorAtNode(nil, "", "%d bytes, %d at most", len(text), maxBytes)
		return
	}
	var doc yaml.Node
	if err := yaml.Unmarshal(text, &doc); err != nil {
		d.addSyntaxError(err)
		return
	}
	if doc.Kind == 0 || len(doc.Content) == 0 {
		d.errorAtNode(nil, "", "the file is empty")
		return
	}
	d.decodeValue(doc.Content[0], "", reflect.ValueOf(v).Elem())
}

// addSyntaxError words the library's errors, which give a line at the most.
func (d *decoder) addSyntaxError(err error) {
	e := &Error{File: d.file, Column: 1}
	text := strings.TrimPrefix(err.Error(), "yaml: ")
	if rest, ok := strings.CutPrefix(text, "line "); ok {
		if number, why, ok := strings.Cut(rest, ": "); ok {
			e.Line, _ = strconv.Atoi(number)
			text = why
		}
	}
	e.Reason = "not YAML: " + text
	d.errs = append(d.errs, e)
}

var textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

func (d *decoder) decodeValue(n *yaml.Node, path string, v reflect.Value) {
	if d.depth++; d.depth > maxDepth {
		d.errorAtNode(n, path, "nested too deep")
	}
	defer func() { d.depth-- }()
	if d.depth > maxDepth {
		return
	}
	d.positions[path] = position{n.Line, n.Column}
	if n.Kind == yaml.AliasNode || n.Anchor != "" {
		d.errorAtNode(n, path, "anchors and aliases are not read")
		return
	}
	if n.Kind == yaml.ScalarNode && n.Tag == "!!null" {
		d.errorAtNode(n, path, "has no value")
		return
	}
	if v.Kind() != reflect.Pointer && reflect.PointerTo(v.Type()).Implements(textUnmarshaler) {
		if n.Kind != yaml.ScalarNode {
			d.errorAtNode(n, path, "want one value")
		} else if err := v.Addr().Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(n.Value)); err != nil {
			d.errorAtNode(n, path, "%v", err)
		}
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		d.decodeValue(n, path, v.Elem())
	case reflect.Struct:
		d.decodeMapping(n, path, v)
	case reflect.Slice:
		if n.Kind != yaml.SequenceNode {
			d.errorAtNode(n, path, "want a list")
			return
		}
		v.Set(reflect.MakeSlice(v.Type(), len(n.Content), len(n.Content)))
		for i, c := range n.Content {
			d.decodeValue(c, fmt.Sprintf("%s[%d]", path, i), v.Index(i))
		}
	case reflect.Map: // of names that the user gives
		if n.Kind != yaml.MappingNode {
			d.errorAtNode(n, path, "want names with values")
			return
		}
		v.Set(reflect.MakeMap(v.Type()))
		for i := 0; i+1 < len(n.Content); i += 2 {
			k := n.Content[i]
			name := join(path, k.Value)
			key := reflect.ValueOf(k.Value)
			if v.MapIndex(key).IsValid() {
				d.errorAtNode(k, name, "stands twice")
				continue
			}
			x := reflect.New(v.Type().Elem()).Elem()
			d.decodeValue(n.Content[i+1], name, x)
			v.SetMapIndex(key, x)
		}
	default:
		d.decodeScalar(n, path, v)
	}
}

func (d *decoder) decodeMapping(n *yaml.Node, path string, v reflect.Value) {
	if n.Kind != yaml.MappingNode {
		d.errorAtNode(n, path, "want fields")
		return
	}
	fields := map[string][]int{}
	for _, f := range reflect.VisibleFields(v.Type()) { // with those of embedded structs, as yaml's inline
		name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		if name != "" && name != "-" {
			fields[name] = f.Index
		}
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		k := n.Content[i]
		f, ok := fields[k.Value]
		name := join(path, k.Value)
		switch {
		case !ok:
			d.errorAtNode(k, name, "there is no such field")
		case seen[k.Value]:
			d.errorAtNode(k, name, "stands twice")
		default:
			seen[k.Value] = true
			d.decodeValue(n.Content[i+1], name, v.FieldByIndex(f))
		}
	}
}

func (d *decoder) decodeScalar(n *yaml.Node, path string, v reflect.Value) {
	if n.Kind != yaml.ScalarNode {
		d.errorAtNode(n, path, "want one value")
		return
	}
	var err error
	switch v.Kind() {
	case reflect.String:
		v.SetString(n.Value)
	case reflect.Bool:
		var b bool
		if b, err = strconv.ParseBool(n.Value); err != nil || n.Tag != "!!bool" {
			err = errors.New("want true or false")
		}
		v.SetBool(b)
	case reflect.Int, reflect.Int64:
		var i int64
		if i, err = strconv.ParseInt(n.Value, 10, 64); err != nil {
			err = errors.New("want a whole number")
		}
		v.SetInt(i)
	case reflect.Uint32:
		var u uint64
		if u, err = strconv.ParseUint(n.Value, 10, 32); err != nil {
			err = errors.New("want a whole number from 0 to 4294967295")
		}
		v.SetUint(u)
	case reflect.Float64:
		var f float64
		if f, err = strconv.ParseFloat(n.Value, 64); err != nil || f-f != 0 {
			f, err = 0, errors.New("want a number")
		}
		v.SetFloat(f)
	default:
		err = fmt.Errorf("a %v cannot be read", v.Type())
	}
	if err != nil {
		d.errorAtNode(n, path, "%v, not %q", err, n.Value)
	}
}
