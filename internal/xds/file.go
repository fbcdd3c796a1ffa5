package xds

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"time"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	listenerv3 "github.com/envoyproxy/go-control-plane/envoy/config/listener/v3"
	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"github.com/fsnotify/fsnotify"
	"go.yaml.in/yaml/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
)

const (
	maxFileBytes = 64 << 20
	// pollInterval is how often the file is checked, in case the system does not report changes or loses events.
	pollInterval = 2 * time.Second
	// debounceDelay is the time between an event and reading the file, as one change may cause several events.
	debounceDelay = 20 * time.Millisecond
	// digestBytes and versionBytes are the lengths to which the digests of a file and of a resource are truncated.
	digestBytes  = 8
	versionBytes = 6
)

// FileSource reads resources from a file that contains a DiscoveryResponse in JSON or YAML (Envoy's path_config_source). To
// replace the file, move a new file over it, so that no partially written file is read. If the file cannot be read or parsed,
// all resources stay as they are. Otherwise each invalid resource keeps its previous version, as in a response of a control
// plane, and omitted resources are withdrawn. The methods of FileSource are safe for concurrent use.
type FileSource struct {
	path string
	now  func() time.Duration
	log  *slog.Logger
	sink Sink

	loadMu sync.Mutex // held while the file is loaded and its changes are passed to the sink, to preserve their order

	mu        sync.Mutex
	machine   *Machine
	digest    string // digest of the file in use
	readAt    time.Duration
	lastError string
}

// NewFileSource returns a FileSource that has not read the file yet. Options.Delta, Options.Node and Options.FetchTimeout are
// ignored.
func NewFileSource(path string, options Options, now func() time.Duration, log *slog.Logger, sink Sink) *FileSource {
	options.Delta = true
	options.FetchTimeout = 0
	return &FileSource{path: path, now: now, log: log, sink: sink, machine: NewMachine(options)}
}

// Load reads the file. It returns an error if the file or a resource in it is rejected.
func (f *FileSource) Load() error { return f.reload(false) }

// reload reads the file, and applies its resources if the file has changed or force is set.
func (f *FileSource) reload(force bool) error {
	f.loadMu.Lock()
	defer f.loadMu.Unlock()
	resources, digest, err := readResources(f.path)
	changes, err := f.apply(resources, digest, err, force)
	if len(changes) > 0 {
		f.sink.Changed(changes)
	}
	return err
}

// apply applies the resources that were read from the file, or records the error of reading it.
func (f *FileSource) apply(resources map[Type][]*discoveryv3.Resource, digest string, err error, force bool) ([]Change, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	defer func() { f.readAt = f.now() }()
	if err == nil && digest == f.digest && !force {
		return nil, nil
	}
	var changes []Change
	if err == nil {
		f.digest = digest
		bundle := &Bundle{Resources: resources, Full: true, Authoritative: true}
		changes, err = f.machine.Import(f.now(), bundle)
	}
	f.lastError = ""
	if err != nil {
		err = fmt.Errorf("%s: %w", f.path, err)
		f.lastError = truncate(err.Error())
	}
	return changes, err
}

// Subscribe replaces Options.Services and Options.Classes, and reads the file again.
func (f *FileSource) Subscribe(services []string, classes map[string]bool) {
	f.loadMu.Lock()
	f.mu.Lock()
	f.machine.SetClasses(classes)
	_, changes := f.machine.Subscribe(f.now(), services)
	f.mu.Unlock()
	if len(changes) > 0 {
		f.sink.Changed(changes)
	}
	f.loadMu.Unlock()
	_ = f.reload(true) // the error is available from Connection
}

// Connection returns the path of the file, the time when it was last read, and the error of reading it.
func (f *FileSource) Connection() Connection {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Connection{Server: f.path, LastResponseAt: f.readAt, LastError: f.lastError}
}

// Summaries returns the Summary of each type.
func (f *FileSource) Summaries() []Summary {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.machine.Summaries()
}

// Run reads the file whenever it changes, until ctx ends. It does not read the file at the start; see Load.
func (f *FileSource) Run(ctx context.Context) {
	watcher := f.watch()
	defer watcher.close()
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-poll.C:
		case err := <-watcher.errors:
			_ = err // after any error, events may have been lost
		case event := <-watcher.events:
			if filepath.Base(event.Name) != filepath.Base(f.path) {
				continue
			}
			if !watcher.debounce(ctx) {
				return
			}
		}
		f.loadAndLog()
	}
}

// loadAndLog reads the file, and logs an error unless it is the same as the last one.
func (f *FileSource) loadAndLog() {
	previous := f.Connection().LastError
	err := f.Load()
	if err != nil && truncate(err.Error()) != previous {
		f.log.Warn("file rejected, previous resources stay in use", "error", err)
	}
}

// fileWatcher reports changes in a directory. Its channels are nil if the system does not report changes.
type fileWatcher struct {
	events <-chan fsnotify.Event
	errors <-chan error
	close  func()
}

// watch watches the directory of the file, as a watch on the file would end when another file is moved over it.
func (f *FileSource) watch() fileWatcher {
	watcher, err := fsnotify.NewWatcher()
	if err == nil {
		err = watcher.Add(filepath.Dir(f.path))
		if err == nil {
			return fileWatcher{events: watcher.Events, errors: watcher.Errors, close: func() { _ = watcher.Close() }}
		}
		_ = watcher.Close()
	}
	f.log.Warn("cannot watch file, falling back to polling", "file", f.path, "error", err)
	return fileWatcher{close: func() {}}
}

// debounce waits for debounceDelay and discards the events received meanwhile. It returns false if ctx ends.
func (w *fileWatcher) debounce(ctx context.Context) bool {
	timer := time.NewTimer(debounceDelay)
	defer timer.Stop()
	for {
		select {
		case <-w.events:
		case err := <-w.errors:
			_ = err // the file is read regardless of the error
		case <-timer.C:
			return true
		case <-ctx.Done():
			return false
		}
	}
}

// readResources reads a file, and returns its resources by type and the digest of the file.
func readResources(path string) (map[Type][]*discoveryv3.Resource, string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, "", err
	}
	if info.Size() > maxFileBytes {
		return nil, "", fmt.Errorf("file size of %d bytes exceeds the maximum of %d", info.Size(), maxFileBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, "", err
	}
	resources, err := ParseFile(text)
	digest := sha256.Sum256(text)
	return resources, hex.EncodeToString(digest[:digestBytes]), err
}

// ParseFile parses a DiscoveryResponse in JSON or YAML, and returns its resources by type. The version of each resource is a
// digest of its contents.
func ParseFile(text []byte) (map[Type][]*discoveryv3.Resource, error) {
	var document any
	if err := yaml.Unmarshal(text, &document); err != nil { // JSON is a subset of YAML
		return nil, fmt.Errorf("invalid YAML: %w", err)
	}
	asJSON, err := json.Marshal(document)
	if err != nil {
		return nil, fmt.Errorf("invalid DiscoveryResponse: %w", err)
	}
	var response discoveryv3.DiscoveryResponse
	if err := protojson.Unmarshal(asJSON, &response); err != nil {
		return nil, fmt.Errorf("invalid DiscoveryResponse: %w", err)
	}
	resources := map[Type][]*discoveryv3.Resource{}
	for i, body := range response.GetResources() {
		name, err := resourceName(body)
		if err != nil {
			return nil, fmt.Errorf("resources[%d]: %w", i, err)
		}
		digest := sha256.Sum256(body.GetValue())
		t := Type(body.GetTypeUrl())
		version := hex.EncodeToString(digest[:versionBytes])
		resources[t] = append(resources[t], &discoveryv3.Resource{Name: name, Version: version, Resource: body})
	}
	return resources, nil
}

// resourceName returns the name of an encoded resource of a supported type.
func resourceName(body *anypb.Any) (string, error) {
	unmarshal := func(m proto.Message, name func() string) (string, error) {
		if err := proto.Unmarshal(body.GetValue(), m); err != nil {
			return "", err
		}
		if name() == "" {
			return "", errors.New("resource has no name")
		}
		return name(), nil
	}
	switch Type(body.GetTypeUrl()) {
	case ClusterType:
		var m clusterv3.Cluster
		return unmarshal(&m, m.GetName)
	case EndpointType:
		var m endpointv3.ClusterLoadAssignment
		return unmarshal(&m, m.GetClusterName)
	case ListenerType:
		var m listenerv3.Listener
		return unmarshal(&m, m.GetName)
	case RouteType:
		var m routev3.RouteConfiguration
		return unmarshal(&m, m.GetName)
	}
	return "", fmt.Errorf("resource type %q is not supported", body.GetTypeUrl())
}
