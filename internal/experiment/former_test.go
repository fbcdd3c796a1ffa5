package experiment

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// TestFormerExperimentIsRead opens an experiment that sets every field, and compares the fields with those that an earlier version read.
// tools/fixtures/write recorded the expected values.
func TestFormerExperimentIsRead(t *testing.T) {
	e, err := Open(filepath.Join("..", "..", "tools", "fixtures", "every-field.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile(filepath.Join("testdata", "former", "every-field.txt"))
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	describe(&b, "", reflect.ValueOf(*e))
	if b.String() != string(want) {
		t.Errorf("fields of the experiment:\n%s\nwant:\n%s", b.String(), want)
	}
}

// describe writes a line for each exported field, with its name in the experiment file.
func describe(b *strings.Builder, path string, v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			describe(b, path, v.Elem())
		}
	case reflect.Slice:
		for i := range v.Len() {
			describe(b, fmt.Sprintf("%s[%d]", path, i), v.Index(i))
		}
	case reflect.Struct:
		for i := range v.NumField() {
			field := v.Type().Field(i)
			if !field.IsExported() {
				continue
			}
			name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
			describe(b, strings.TrimPrefix(path+"."+name, "."), v.Field(i))
		}
	default:
		fmt.Fprintf(b, "%s = %v\n", path, v.Interface())
	}
}
