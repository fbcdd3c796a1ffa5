package quorum

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"robindrum/internal/peer"
)

// streamKind is the kind of the streams that carry Raft's messages.
const streamKind = "quorum"

// Headers of the handshake of a stream.
const (
	voterIDHeader    = "Robindrum-Voter"
	toHeader         = "Robindrum-To"
	startCountHeader = "Robindrum-Boot"
	startsHeader     = "Robindrum-Starts"
	fleetIDHeader    = "Robindrum-Fleet-Id"
)

const maxVoterIDBytes = 256

var errNoHandshake = errors.New("the voter's handshake is missing or invalid")

// handshake is what a voter says of itself when a stream begins.
type handshake struct {
	id         string
	fleet      string
	startCount uint64
	starts     []string
}

func (h handshake) header() http.Header {
	header := http.Header{}
	header.Set(voterIDHeader, h.id)
	header.Set(fleetIDHeader, h.fleet)
	header.Set(startCountHeader, strconv.FormatUint(h.startCount, 10))
	header.Set(startsHeader, strings.Join(h.starts, " "))
	return header
}

// parseHandshake reads and validates the other side's handshake.
func parseHandshake(header http.Header) (handshake, error) {
	startCount, err := strconv.ParseUint(header.Get(startCountHeader), 10, 64)
	if err != nil {
		return handshake{}, errNoHandshake
	}
	h := handshake{
		id:         header.Get(voterIDHeader),
		fleet:      header.Get(fleetIDHeader),
		startCount: startCount,
		starts:     strings.Fields(header.Get(startsHeader)),
	}
	validID := h.id != "" && len(h.id) <= maxVoterIDBytes
	validStarts := h.startCount > 0 && len(h.starts) > 0 && len(h.starts) <= maxStarts
	if !validID || !validStarts || h.fleet == "" {
		return handshake{}, errNoHandshake
	}
	return h, nil
}

// latestStart returns the start that the voter runs in.
func (h handshake) latestStart() start {
	return start{Number: h.startCount, Nonce: h.starts[len(h.starts)-1]}
}

// handshake returns this voter's.
func (s *Server) handshake() handshake {
	s.mu.Lock()
	defer s.mu.Unlock()
	return handshake{id: s.id, fleet: s.identity.Fleet, startCount: s.identity.StartCount, starts: s.identity.Starts}
}

// errOutdatedFolder means that a voter's folder is older than what another voter knows of it.
var errOutdatedFolder = errors.New("folder is older than what the fleet knows of it")

// isOutdatedFolder reports whether another voter has rejected this one for errOutdatedFolder. Between processes an error travels as
// text alone: versions in service send and look for this one.
func isOutdatedFolder(err error, id string) bool {
	text := "voter " + id + ": its " + errOutdatedFolder.Error()
	return errors.Is(err, peer.ErrRemoteRejected) && strings.Contains(err.Error(), text)
}

// verifyPeer checks another voter's handshake and records its start. addressedHere means that the other side opened the stream with
// this voter's ID, which only members of its fleet know; a voter without a fleet joins that fleet.
func (s *Server) verifyPeer(header http.Header, addressedHere bool) error {
	other, err := parseHandshake(header)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopReason != "" {
		return errors.New(s.stopReason)
	}
	mayJoin := s.identity.Fleet == "" && addressedHere
	if s.identity.Fleet != other.fleet && !mayJoin {
		return fmt.Errorf("this is fleet %s, not %s", s.identity.Fleet, other.fleet)
	}
	known := s.identity.PeerStarts[other.id]
	if !includesStart(other.startCount, other.starts, known) {
		return fmt.Errorf("voter %s: its %w (start %d, known %d)", other.id, errOutdatedFolder, other.startCount, known.Number)
	}
	if s.identity.Fleet == other.fleet && known == other.latestStart() {
		return nil
	}
	return s.updateIdentity(func(id *identity) {
		id.Fleet = other.fleet
		if id.PeerStarts == nil || len(id.PeerStarts) >= maxPeerStarts {
			id.PeerStarts = map[string]start{}
		}
		id.PeerStarts[other.id] = other.latestStart()
	})
}

// streamLayer carries Raft's connections over streams of the peer node. It implements raft.StreamLayer. Both sides send a handshake;
// a side that is of another fleet, was meant for another folder, or has an outdated folder is rejected.
type streamLayer struct {
	server   *Server
	address  streamAddress
	incoming chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// streamAddress is a Raft address as a net.Addr.
type streamAddress raft.ServerAddress

func (a streamAddress) Network() string { return "robindrum" }
func (a streamAddress) String() string  { return string(a) }

// newStreamLayer registers the stream handler; address is where this voter is reached.
func newStreamLayer(s *Server, address string) *streamLayer {
	layer := &streamLayer{
		server:   s,
		address:  streamAddress(raftAddress(s.id, address)),
		incoming: make(chan net.Conn),
		closed:   make(chan struct{}),
	}
	s.node.HandleStream(streamKind, layer.greet, layer.deliver)
	return layer
}

// greet checks the handshake of an incoming stream and returns this voter's.
func (l *streamLayer) greet(header http.Header) (http.Header, error) {
	if to := header.Get(toHeader); to != l.server.id {
		return nil, fmt.Errorf("this is voter %s, not %s", l.server.id, to)
	}
	if err := l.server.verifyPeer(header, true); err != nil {
		return nil, err
	}
	return l.server.handshake().header(), nil
}

// deliver hands an incoming stream to Accept, or closes it with the layer.
func (l *streamLayer) deliver(conn net.Conn) {
	select {
	case l.incoming <- conn:
	case <-l.closed:
		conn.Close()
	}
}

// Dial implements raft.StreamLayer.
func (l *streamLayer) Dial(to raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	id, address, ok := splitRaftAddress(to)
	if !ok {
		return nil, fmt.Errorf("%q is no voter's address", to)
	}
	header := l.server.handshake().header()
	header.Set(toHeader, id)
	conn, answer, err := l.server.node.Stream(ctx, address, streamKind, header)
	if err != nil {
		if isOutdatedFolder(err, l.server.id) {
			l.server.storeFailed(storeFailure{err: err, dataLost: true})
		}
		return nil, err
	}
	if err := l.verifyAnswer(answer, id); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

// verifyAnswer checks the handshake of the voter that was dialed.
func (l *streamLayer) verifyAnswer(answer http.Header, id string) error {
	if got := answer.Get(voterIDHeader); got != id {
		return fmt.Errorf("%s answered, not %s", got, id)
	}
	return l.server.verifyPeer(answer, false)
}

// Accept implements net.Listener.
func (l *streamLayer) Accept() (net.Conn, error) {
	select {
	case conn := <-l.incoming:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *streamLayer) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *streamLayer) Addr() net.Addr { return l.address }
