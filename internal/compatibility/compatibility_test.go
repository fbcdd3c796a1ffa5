// Package compatibility tests that names on which other processes, stored data and operators depend do not change.
package compatibility

import (
	"cmp"
	"flag"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// sourceDirs are the folders whose names are compared. Test files and testdata are skipped.
var sourceDirs = []string{"cmd", "internal"}

// TestTagsStay compares all JSON and YAML tags, and the set of tags of each struct that has any, with the golden files. An exported field
// without a tag is compared by its Go name, which is the name that the encoders use.
func TestTagsStay(t *testing.T) {
	tags, structs := map[string]bool{}, map[string]bool{}
	eachFile(t, func(file *ast.File) {
		ast.Inspect(file, func(n ast.Node) bool {
			s, ok := n.(*ast.StructType)
			if !ok {
				return true
			}
			for _, key := range []string{"json", "yaml"} {
				list := structTags(t, s, key)
				for _, tag := range list {
					tags[key+" "+tag] = true
				}
				if len(list) > 0 {
					structs[key+" {"+strings.Join(list, " ")+"}"] = true
				}
			}
			return true
		})
	})
	compare(t, "tags.txt", tags)
	compare(t, "structs.txt", structs)
}

// structTags returns the sorted tags of a struct's fields, or nil if no field has a tag.
func structTags(t *testing.T, s *ast.StructType, key string) (list []string) {
	t.Helper()
	tagged := false
	for _, field := range s.Fields.List {
		value, found := "", false
		if field.Tag != nil {
			text, err := strconv.Unquote(field.Tag.Value)
			if err != nil {
				t.Fatal(err)
			}
			value, found = reflect.StructTag(text).Lookup(key)
		}
		tagged = tagged || found
		switch {
		case value == "-":
		case found:
			list = append(list, value)
		default:
			for _, name := range field.Names {
				if name.IsExported() {
					list = append(list, "untagged:"+name.Name)
				}
			}
		}
	}
	if !tagged {
		return nil
	}
	slices.Sort(list)
	return list
}

// TestPathsAndMetricsStay compares the string literals that look like HTTP paths or metric names with the golden file.
func TestPathsAndMetricsStay(t *testing.T) {
	paths := map[string]bool{}
	eachFile(t, func(file *ast.File) {
		ast.Inspect(file, func(n ast.Node) bool {
			literal, ok := n.(*ast.BasicLit)
			if !ok || literal.Kind != token.STRING {
				return true
			}
			text, err := strconv.Unquote(literal.Value)
			if err != nil {
				t.Fatal(err)
			}
			for _, prefix := range []string{"/fleet", "/health", "/metrics", "/status", "/capture", "robindrum_"} {
				if path := strings.TrimPrefix(strings.TrimPrefix(text, "GET "), "POST "); strings.HasPrefix(path, prefix) && !strings.Contains(path, " ") {
					paths[text] = true
				}
			}
			return true
		})
	})
	compare(t, "paths.txt", paths)
}

// eachFile calls visit with every parsed source file.
func eachFile(t *testing.T, visit func(*ast.File)) {
	t.Helper()
	for _, dir := range sourceDirs {
		err := filepath.WalkDir(filepath.Join("..", "..", dir), func(path string, d fs.DirEntry, err error) error {
			switch {
			case err != nil:
				return err
			case d.IsDir() && d.Name() == "testdata":
				return filepath.SkipDir
			case !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go"):
				return nil
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			visit(file)
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

// compare compares got with the lines of a golden file, which it first rewrites if the flag update is set.
func compare(t *testing.T, name string, got map[string]bool) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		text := strings.Join(slices.Sorted(maps.Keys(got)), "\n") + "\n"
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	want := map[string]bool{}
	for line := range strings.Lines(string(text)) {
		want[strings.TrimSuffix(line, "\n")] = true
	}
	for _, line := range slices.SortedFunc(maps.Keys(want), cmp.Compare[string]) {
		if !got[line] {
			t.Errorf("%s: missing in the code: %s", name, line)
		}
	}
	for _, line := range slices.Sorted(maps.Keys(got)) {
		if !want[line] {
			t.Errorf("%s: missing in the golden file: %s", name, line)
		}
	}
}
