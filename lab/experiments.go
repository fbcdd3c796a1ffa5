// Package experiments embeds the experiments that come with the program, one YAML file each.
package experiments

import (
	"embed"
	"io/fs"
	"strings"
)

//go:embed *.yaml
var files embed.FS

// extension is the suffix of the file names, which follows the name of the experiment.
const extension = ".yaml"

// Names returns the names of the embedded experiments, sorted.
func Names() []string {
	paths, err := fs.Glob(files, "*"+extension)
	if err != nil { // only for a malformed pattern
		panic(err)
	}
	var names []string
	for _, path := range paths {
		names = append(names, strings.TrimSuffix(path, extension))
	}
	return names
}

// Read returns the text of the experiment with the given name, and false if there is none.
func Read(name string) (text []byte, ok bool) {
	text, err := files.ReadFile(name + extension)
	return text, err == nil
}
