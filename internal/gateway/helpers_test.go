package gateway

import (
	"errors"
	"fmt"
	"log/slog"
	"net"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"robindrum/internal/testbed/controlplane"
)

// xdsPolicy merges text, in protobuf JSON, into a resource.
func xdsPolicy(r controlplane.Resource, text string) error {
	m := r.Body.ProtoReflect().New().Interface()
	if err := protojson.Unmarshal([]byte(text), m); err != nil {
		return err
	}
	proto.Merge(r.Body, m)
	return nil
}

// xdsHigh sets the priority HIGH on the first route of a RouteConfiguration.
func xdsHigh(r controlplane.Resource) error {
	m, ok := r.Body.(*routev3.RouteConfiguration)
	if !ok {
		return fmt.Errorf("%T has no routes", r.Body)
	}
	m.VirtualHosts[0].Routes[0].GetRoute().Priority = corev3.RoutingPriority_HIGH
	return nil
}

func asOpError(err error, to **net.OpError) bool { return errors.As(err, to) }

func discardLogger() *slog.Logger { return slog.New(slog.DiscardHandler) }
