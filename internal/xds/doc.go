// Package xds subscribes to clusters, endpoints, listeners and routes of control planes that speak Envoy's xDS protocol,
// version 3, and reads the same resources from files.
//
// A Client follows control planes over gRPC, and a FileSource a file. Both run a Machine, which is the protocol without a
// connection, in its state-of-the-world and its incremental variant. The Parse functions convert resources into the
// gateway's form. Tables list which fields of each message are supported and which are ignored with a warning; a resource
// that sets any other field is rejected by the name of that field, so that nothing is ignored silently.
package xds

import "errors"

// metadataName is the filter_metadata with what only this gateway knows: kind and cell of an endpoint, class and keys of a
// route.
const metadataName = "robindrum"

var errNoName = errors.New("name: is missing")
