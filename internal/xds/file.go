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
	// pollInterval is for file systems that tell nothing; where they do, a change is noticed at once.
	pollInterval = 2 * time.Second
	// settleTime lets several events of one change pass as one.
	settleTime = 20 * time.Millisecond
)

// FileSource gives the resources of a file, in the form of a DiscoveryResponse in JSON or YAML (Envoy's
// path_config_source). A new file is to be moved over the old one, so that it is never read half written. One that
// cannot be read changes nothing; of one that can, what is refused keeps its former version as from a control plane, and
// what it lacks is withdrawn.
type FileSource struct {
	path string
	now  func() time.Duration
	log  *slog.Logger
	sink Sink

	loading sync.Mutex // one load at a time, and its changes told in order

	mu        sync.Mutex
	machine   *Machine
	digest    string
	readAt    time.Duration
	lastError string
}

// NewFileSource makes one that has read nothing yet. Of opt the node and the times are not used.
func NewFileSource(path string, opt Options, now func() time.Duration, log *slog.Logger, sink Sink) *FileSource {
	opt.Delta, opt.FetchTimeout = true, 0
	return &FileSource{path: path, now: now, log: log, sink: sink, machine: NewMachine(opt)}
}

// Load reads the file. The error is why it, or some resource in it, is not used.
func (f *FileSource) Load() error { return f.reload(false) }

func (f *FileSource) reload(anew bool) error {
	f.loading.Lock()
	defer f.loading.Unlock()
	set, sum, err := readResources(f.path)
	f.mu.Lock()
	if err == nil && sum == f.digest && !anew {
		f.readAt = f.now()
		f.mu.Unlock()
		return nil
	}
	var changes []Change
	if err == nil {
		f.digest = sum
		changes, err = f.importResources(set)
	}
	f.lastError = ""
	if err != nil {
		err = fmt.Errorf("%s: %w", f.path, err)
		f.lastError = truncate(err.Error())
	}
	f.readAt = f.now()
	f.mu.Unlock()
	if len(changes) > 0 {
		f.sink.Changed(changes)
	}
	return err
}

// importResources hands the file's contents to the machine.
func (f *FileSource) importResources(set map[Type][]*discoveryv3.Resource) ([]Change, error) {
	return f.machine.Import(f.now(), &Bundle{Resources: set, Full: true, Authoritative: true})
}

// Subscribe changes which ClusterLoadAssignments are taken, and which classes routes may name.
func (f *FileSource) Subscribe(names []string, classes map[string]bool) {
	f.loading.Lock()
	f.mu.Lock()
	f.machine.SetClasses(classes)
	_, changes := f.machine.Subscribe(f.now(), names)
	f.mu.Unlock()
	if len(changes) > 0 {
		f.sink.Changed(changes)
	}
	f.loading.Unlock()
	_ = f.reload(true) // what is wrong shows in Link
}

// Connection tells when the file was read, and what is wrong with it.
func (f *FileSource) Connection() Connection {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Connection{Server: f.path, LastResponseAt: f.readAt, LastError: f.lastError}
}

// Summaries tells what is known of each type.
func (f *FileSource) Summaries() []Summary {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.machine.Summaries()
}

// Run reads the file again whenever it changes, until ctx ends.
func (f *FileSource) Run(ctx context.Context) {
	events, faults, closeWatcher := f.watch()
	defer closeWatcher()
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-poll.C:
		case <-faults: // events may be lost: look
		case e := <-events:
			if filepath.Base(e.Name) != filepath.Base(f.path) {
				continue
			}
			settle := time.NewTimer(settleTime)
		settled:
			for {
				select {
				case <-events:
				case <-faults:
				case <-settle.C:
					break settled
				case <-ctx.Done():
					settle.Stop()
					return
				}
			}
		}
		before := f.Connection().LastError
		if err := f.Load(); err != nil && truncate(err.Error()) != before {
			f.log.Warn("the file of resources is refused, what it cannot give stays as it was", "err", err)
		}
	}
}

// watch follows the file's folder, as a file that is moved over another is a new one.
func (f *FileSource) watch() (<-chan fsnotify.Event, <-chan error, func()) {
	w, err := fsnotify.NewWatcher()
	if err == nil {
		if err = w.Add(filepath.Dir(f.path)); err == nil {
			return w.Events, w.Errors, func() { _ = w.Close() }
		}
		_ = w.Close()
	}
	f.log.Warn("changes of the file are looked for by and by, as the system tells none", "file", f.path, "err", err)
	return nil, nil, func() {}
}

// readResources reads a file's resources by type. Their version is their contents' digest.
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
	set, err := ParseFile(text)
	digest := sha256.Sum256(text)
	return set, hex.EncodeToString(digest[:8]), err
}

// ParseFile reads a DiscoveryResponse in JSON or YAML, of which the resources count.
func ParseFile(text []byte) (map[Type][]*discoveryv3.Resource, error) {
	var doc any
	if err := yaml.Unmarshal(text, &doc); err != nil { // JSON is YAML
		return nil, fmt.Errorf("not YAML: %w", err)
	}
	plain, err := json.Marshal(doc)
	if err != nil {
		return nil, fmt.Errorf("not a DiscoveryResponse: %w", err)
	}
	var r discoveryv3.DiscoveryResponse
	if err := protojson.Unmarshal(plain, &r); err != nil {
		return nil, fmt.Errorf("not a DiscoveryResponse: %w", err)
	}
	set := map[Type][]*discoveryv3.Resource{}
	for i, any := range r.GetResources() {
		name, err := resourceName(any)
		if err != nil {
			return nil, fmt.Errorf("resources[%d]: %w", i, err)
		}
		digest := sha256.Sum256(any.GetValue())
		t := Type(any.GetTypeUrl())
		set[t] = append(set[t], &discoveryv3.Resource{Name: name, Version: hex.EncodeToString(digest[:6]), Resource: any})
	}
	return set, nil
}

func resourceName(any *anypb.Any) (string, error) {
	unmarshal := func(m proto.Message, name func() string) (string, error) {
		if err := proto.Unmarshal(any.GetValue(), m); err != nil {
			return "", err
		}
		if name() == "" {
			return "", errors.New("has no name")
		}
		return name(), nil
	}
	switch Type(any.GetTypeUrl()) {
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
	return "", fmt.Errorf("a %q is not taken", any.GetTypeUrl())
}
