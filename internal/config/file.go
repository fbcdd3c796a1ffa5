// Package config reads the gateway's configuration file. It defines the schema, the defaults and the checks. A file is read
// and checked completely before it is used. All errors are returned together, each with file, line, column and field.
package config

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"
)

// File is the configuration of a gateway. The order of the fields, here and in the other types of this package, must not
// change: Print writes them in this order, and the gateways of a fleet compare the printed text.
type File struct {
	Zone      string     `yaml:"zone"` // of this gateway
	Gateway   Gateway    `yaml:"gateway"`
	Listeners []Listener `yaml:"listeners"`
	Admin     Admin      `yaml:"admin"`
	Log       Log        `yaml:"log"`
	Limits    Limits     `yaml:"limits"`
	Classes   []Class    `yaml:"classes"`
	XDS       *XDS       `yaml:"xds,omitempty"`
	Clusters  []Cluster  `yaml:"clusters"`
	Zones     *Zones     `yaml:"zones,omitempty"`
	Fleet     *Fleet     `yaml:"fleet,omitempty"`
	Sites     *Sites     `yaml:"sites,omitempty"`
	Routes    []Route    `yaml:"routes"`

	RateLimits []RateLimit `yaml:"rate_limits,omitempty"`

	path string
	dir  string // against which Resolve resolves relative names
	text []byte // without the sections of a release
}

// Load reads and checks a configuration file. The error is of type Errors.
func Load(path string) (*File, error) {
	text, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

func readFile(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, Errors{{File: path, Reason: err.Error()}}
	}
	return text, nil
}

// Parse parses and checks the text of a file and sets the defaults. The path is only used for errors and for resolving
// relative file names. The error is of type Errors.
func Parse(path string, text []byte) (*File, error) {
	d := &decoder{file: path}
	f := &File{path: path, dir: filepath.Dir(path), text: text}
	d.decode(text, f)
	if err := d.err(); err != nil {
		return nil, err
	}
	f.setDefaults()
	f.check(d)
	if err := d.err(); err != nil {
		return nil, err
	}
	return f, nil
}

// releaseSections are the sections that a release may replace. The other sections are specific to each process.
var releaseSections = []string{"classes", "clusters", "routes", "rate_limits", "zones", "xds"}

var errNoSections = errors.New("release: must be a mapping of sections")

// WithRelease returns the configuration in which the sections of a release replace those of the file. Earlier releases have no
// effect on the result.
func (f *File) WithRelease(release string) (*File, error) {
	var base, replacement yaml.Node
	if err := yaml.Unmarshal(f.text, &base); err != nil {
		return nil, err
	}
	if err := yaml.Unmarshal([]byte(release), &replacement); err != nil {
		return nil, fmt.Errorf("release: %w", err)
	}
	if !isMapping(&base) || !isMapping(&replacement) {
		return nil, errNoSections
	}
	sections := replacement.Content[0].Content
	for i := 0; i+1 < len(sections); i += 2 {
		name := sections[i].Value
		if !slices.Contains(releaseSections, name) {
			return nil, fmt.Errorf("release: %s is each process's own; a release may contain only %s", name, strings.Join(releaseSections, ", "))
		}
		replaceSection(base.Content[0], sections[i], sections[i+1])
	}
	text, err := yaml.Marshal(&base)
	if err != nil {
		return nil, fmt.Errorf("release: %w", err)
	}
	combined, err := Parse(f.path+" with the release", text)
	if err != nil {
		return nil, err
	}
	combined.dir = f.dir
	combined.text = f.text
	return combined, nil
}

func isMapping(document *yaml.Node) bool {
	return len(document.Content) == 1 && document.Content[0].Kind == yaml.MappingNode
}

// replaceSection sets the value of a key in a mapping, and adds the key if the mapping does not contain it.
func replaceSection(mapping, key, value *yaml.Node) {
	for i := len(mapping.Content) - 2; i >= 0; i -= 2 {
		if mapping.Content[i].Value == key.Value {
			mapping.Content[i+1] = value
			return
		}
	}
	mapping.Content = append(mapping.Content, key, value)
}

// Path returns the path that was passed to Load or Parse.
func (f *File) Path() string { return f.path }

// Resolve resolves a relative file name in the configuration against the directory of the configuration file.
func (f *File) Resolve(name string) string { return resolveIn(f.dir, name) }

func resolveIn(dir, name string) string {
	if filepath.IsAbs(name) || name == "" {
		return name
	}
	return filepath.Join(dir, name)
}

// Print returns the configuration as YAML, including all defaults.
func (f *File) Print() ([]byte, error) {
	var text strings.Builder
	encoder := yaml.NewEncoder(&text)
	encoder.SetIndent(2)
	if err := encoder.Encode(f); err != nil {
		return nil, fmt.Errorf("printing the configuration: %w", err)
	}
	return []byte(text.String()), nil
}

// Warnings describes settings that are valid but questionable.
func (f *File) Warnings() []string {
	if f.Fleet == nil {
		return nil
	}
	return f.Fleet.warnings()
}

// setDefaults sets the defaults of fields that are not set. `robindrum check --print` prints the result.
func (f *File) setDefaults() {
	setDefault(&f.Gateway.Count, 1)
	setDefault(&f.Admin.Address, "127.0.0.1:9901")
	setDefault(&f.Log.Format, "text")
	setDefault(&f.Log.Level, "info")
	f.Limits.setDefaults(len(f.Clusters))
	f.setClassDefaults()
	for i := range f.Clusters {
		f.Clusters[i].SetDefaults()
	}
	for i := range f.Routes {
		f.Routes[i].setDefaults()
	}
	for i := range f.RateLimits {
		f.RateLimits[i].setDefaults()
	}
	if f.Zones != nil {
		f.Zones.setDefaults()
	}
	if f.Sites != nil {
		f.Sites.setDefaults()
	}
	if f.Fleet != nil {
		f.Fleet.setDefaults()
		f.Fleet.Quorum.Directory = f.Resolve(f.Fleet.Quorum.Directory)
	}
	if f.XDS != nil {
		f.XDS.setDefaults()
	}
}

// check adds all errors in the file to d.
func (f *File) check(d *decoder) {
	names := uniqueNames{decoder: d, fields: map[nameKey]string{}}
	f.checkListeners(d, &names)
	f.checkAdmin(d)
	f.checkLog(d)
	f.checkGateway(d)
	f.checkClasses(d, &names)
	f.checkClusters(d, &names)
	f.checkXDS(d)
	f.checkZones(d)
	if f.Sites != nil {
		f.checkSites(d)
	}
	if f.Fleet != nil {
		f.Fleet.check(d)
		if f.Fleet.Subscription != nil && (f.XDS == nil || len(f.XDS.Servers) == 0) {
			d.errorAt("fleet.subscription", "requires xds.servers to subscribe to")
		}
	}
	f.checkLimits(d)
	f.checkRateLimits(d)
	f.checkRoutes(d)
}

// uniqueNames checks that names are set, and unique among the names of their kind.
type uniqueNames struct {
	decoder *decoder
	fields  map[nameKey]string // first field in which each name occurs
}

// nameKey is a name together with its kind, such as "cluster".
type nameKey struct {
	kind string
	name string
}

// add records the name in a field, or adds an error if the name is empty or already used.
func (u *uniqueNames) add(kind, field, name string) {
	if name == "" {
		u.decoder.errorAt(field, "is missing")
		return
	}
	key := nameKey{kind: kind, name: name}
	if first, ok := u.fields[key]; ok {
		u.decoder.errorAt(field, "%q is already used by %s", name, first)
		return
	}
	u.fields[key] = field
}
