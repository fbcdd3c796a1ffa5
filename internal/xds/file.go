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
	// pollInterval is how often the file is read where the system does not report its changes.
	pollInterval = 2 * time.Second
	// settleTime is how long after an event the file is read, as one change may cause several events.
	settleTime = 20 * time.Millisecond
	// digestBytes and versionBytes are how much is used of a digest of a file and of a resource.
	digestBytes  = 8
	versionBytes = 6
)

// FileSource reads resources from a file that contains a DiscoveryResponse in JSON or YAML (Envoy's path_config_source). A
// new file is to be moved over the former one, so that it is never read half written. A file that cannot be read changes
// nothing. Of one that can, invalid resources keep their former version, as from a control plane, and omitted ones are
// withdrawn. Its methods may be called concurrently.
type FileSource struct {
	path string
	now  func() time.Duration
	log  *slog.Logger
	sink Sink

	loading sync.Mutex // held while the file is loaded and its changes are passed on, to keep their order

	mu        sync.Mutex
	machine   *Machine
	digest    string // of the file in use
	readAt    time.Duration
	lastError string
}

// NewFileSource returns a FileSource that has not read the file yet. It does not use the node and the timeout of options.
func NewFileSource(path string, options Options, now func() time.Duration, log *slog.Logger, sink Sink) *FileSource {
	options.Delta = true
	options.FetchTimeout = 0
	return &FileSource{path: path, now: now, log: log, sink: sink, machine: NewMachine(options)}
}

// Load reads the file. The error says why it, or some resource in it, is not used.
func (f *FileSource) Load() error { return f.reload(false) }

// reload reads the file, and applies its resources if it has changed or always is set.
func (f *FileSource) reload(always bool) error {
	f.loading.Lock()
	defer f.loading.Unlock()
	resources, digest, err := readResources(f.path)
	changes, err := f.apply(resources, digest, err, always)
	if len(changes) > 0 {
		f.sink.Changed(changes)
	}
	return err
}

// apply applies what was read from the file, or the error of reading it.
func (f *FileSource) apply(resources map[Type][]*discoveryv3.Resource, digest string, err error, always bool) ([]Change, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	defer func() { f.readAt = f.now() }()
	if err == nil && digest == f.digest && !always {
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
	f.loading.Lock()
	f.mu.Lock()
	f.machine.SetClasses(classes)
	_, changes := f.machine.Subscribe(f.now(), services)
	f.mu.Unlock()
	if len(changes) > 0 {
		f.sink.Changed(changes)
	}
	f.loading.Unlock()
	_ = f.reload(true) // Connection returns the error
}

// Connection returns when the file was read and what is wrong with it.
func (f *FileSource) Connection() Connection {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Connection{Server: f.path, LastResponseAt: f.readAt, LastError: f.lastError}
}

// Summaries returns a Summary of each type.
func (f *FileSource) Summaries() []Summary {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.machine.Summaries()
}

// Run reads the file whenever it changes, until ctx ends.
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
			_ = err // whatever it is, events may be lost
		case event := <-watcher.events:
			if filepath.Base(event.Name) != filepath.Base(f.path) {
				continue
			}
			if !watcher.settle(ctx) {
				return
			}
		}
		f.loadAndLog()
	}
}

// loadAndLog reads the file, and logs an error that is not the former one.
func (f *FileSource) loadAndLog() {
	former := f.Connection().LastError
	err := f.Load()
	if err != nil && truncate(err.Error()) != former {
		f.log.Warn("file rejected, its former resources stay in use", "error", err)
	}
}

// fileWatcher reports changes in a directory. Its channels are nil where the system does not report changes.
type fileWatcher struct {
	events <-chan fsnotify.Event
	errors <-chan error
	close  func()
}

// watch watches the directory of the file, as a file that is moved over another one is a new one.
func (f *FileSource) watch() fileWatcher {
	watcher, err := fsnotify.NewWatcher()
	if err == nil {
		err = watcher.Add(filepath.Dir(f.path))
		if err == nil {
			return fileWatcher{events: watcher.Events, errors: watcher.Errors, close: func() { _ = watcher.Close() }}
		}
		_ = watcher.Close()
	}
	f.log.Warn("cannot watch the file, polling it", "file", f.path, "error", err)
	return fileWatcher{close: func() {}}
}

// settle waits for settleTime and discards the events meanwhile. It returns false if ctx ends.
func (w *fileWatcher) settle(ctx context.Context) bool {
	timer := time.NewTimer(settleTime)
	defer timer.Stop()
	for {
		select {
		case <-w.events:
		case err := <-w.errors:
			_ = err // the file is read in any case
		case <-timer.C:
			return true
		case <-ctx.Done():
			return false
		}
	}
}

// readResources reads the resources of a file by type, and returns the digest of the file.
func readResources(path string) (map[Type][]*discoveryv3.Resource, string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, "", err
	}
	if info.Size() > maxFileBytes {
		return nil, "", fmt.Errorf("%d bytes, %d at most", info.Size(), maxFileBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, "", err
	}
	resources, err := ParseFile(text)
	digest := sha256.Sum256(text)
	return resources, hex.EncodeToString(digest[:digestBytes]), err
}

// ParseFile returns the resources of a DiscoveryResponse in JSON or YAML by type. The version of each is a digest.
func ParseFile(text []byte) (map[Type][]*discoveryv3.Resource, error) {
	var document any
	if err := yaml.Unmarshal(text, &document); err != nil { // JSON is YAML
		return nil, fmt.Errorf("not YAML: %w", err)
	}
	asJSON, err := json.Marshal(document)
	if err != nil {
		return nil, fmt.Errorf("not a DiscoveryResponse: %w", err)
	}
	var response discoveryv3.DiscoveryResponse
	if err := protojson.Unmarshal(asJSON, &response); err != nil {
		return nil, fmt.Errorf("not a DiscoveryResponse: %w", err)
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

// resourceName returns the name of a resource.
func resourceName(body *anypb.Any) (string, error) {
	unmarshal := func(m proto.Message, name func() string) (string, error) {
		if err := proto.Unmarshal(body.GetValue(), m); err != nil {
			return "", err
		}
		if name() == "" {
			return "", errors.New("has no name")
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
	return "", fmt.Errorf("a %q is not taken", body.GetTypeUrl())
}
