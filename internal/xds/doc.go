// Package xds is a client of Envoy's xDS protocol, version 3. It subscribes to clusters, endpoints, listeners and routes of
// control planes, and reads the same resources from files.
//
// A Client subscribes to control planes over gRPC. A FileSource watches a file. Both use a Machine, which implements the
// state-of-the-world and the incremental variant of the protocol independently of the connection. The Parse functions
// convert resources into the gateway's types. Tables list which fields of each message are supported and which are ignored
// with a warning. A resource that sets any other field is rejected with an error that contains the name of the field, so
// that no field is ignored silently.
package xds

import "errors"

// metadataName is the key in filter_metadata of the fields that are specific to this gateway: kind and cell of an endpoint,
// class and keys of a route.
const metadataName = "robindrum"

var errNoName = errors.New("name: is missing")
