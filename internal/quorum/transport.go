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

// streamKind is the kind of the peer streams that carry Raft messages.
const streamKind = "quorum"

// Headers of the handshake that begins a stream.
const (
	voterIDHeader     = "Robindrum-Voter"
	recipientIDHeader = "Robindrum-To"
	startCountHeader  = "Robindrum-Boot"
	startsHeader      = "Robindrum-Starts"
	fleetIDHeader     = "Robindrum-Fleet-Id"
)

const maxVoterIDBytes = 256

var errInvalidHandshake = errors.New("missing or invalid voter handshake")

// handshake is the information that each voter sends about itself when a stream begins.
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

// parseHandshake parses and validates the handshake of another voter.
func parseHandshake(header http.Header) (handshake, error) {
	startCount, err := strconv.ParseUint(header.Get(startCountHeader), 10, 64)
	if err != nil {
		return handshake{}, errInvalidHandshake
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
		return handshake{}, errInvalidHandshake
	}
	return h, nil
}

// latestStart returns the current start of the voter.
func (h handshake) latestStart() processStart {
	return processStart{Number: h.startCount, Nonce: h.starts[len(h.starts)-1]}
}

// handshake returns the handshake of this voter.
func (s *Server) handshake() handshake {
	s.mu.Lock()
	defer s.mu.Unlock()
	return handshake{id: s.id, fleet: s.identity.Fleet, startCount: s.identity.StartCount, starts: s.identity.Starts}
}

// errOutdatedFolder means that a voter's folder lacks a start of the voter that another voter knows of; see includesStart.
var errOutdatedFolder = errors.New("folder is older than what the fleet knows of it")

// isOutdatedFolder reports whether another voter rejected this one because of errOutdatedFolder. Errors are sent between processes as
// text only, and deployed versions send and match this text, so it must not change.
func isOutdatedFolder(err error, id string) bool {
	text := "voter " + id + ": its " + errOutdatedFolder.Error()
	return errors.Is(err, peer.ErrRemoteRejected) && strings.Contains(err.Error(), text)
}

// verifyPeer checks another voter's handshake and records its start. incoming means that the other voter opened the stream and
// addressed this voter by its ID. Only members of a fleet that includes this voter know that ID, so a voter without a fleet joins the
// fleet of the other voter.
func (s *Server) verifyPeer(header http.Header, incoming bool) error {
	other, err := parseHandshake(header)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopReason != "" {
		return errors.New(s.stopReason)
	}
	mayJoin := s.identity.Fleet == "" && incoming
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
			id.PeerStarts = map[string]processStart{}
		}
		id.PeerStarts[other.id] = other.latestStart()
	})
}

// streamLayer carries Raft connections over streams of the peer node. It implements raft.StreamLayer. Both sides send a handshake. A
// connection is rejected if either side is in another fleet or has an outdated folder, or if the dialed voter does not have the
// expected ID.
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

// newStreamLayer returns a stream layer and registers its stream handler. address is the address of this voter for other voters.
func newStreamLayer(s *Server, address string) *streamLayer {
	layer := &streamLayer{
		server:   s,
		address:  streamAddress(raftAddress(s.id, address)),
		incoming: make(chan net.Conn),
		closed:   make(chan struct{}),
	}
	s.node.HandleStream(streamKind, layer.handleHandshake, layer.deliver)
	return layer
}

// handleHandshake checks the handshake of an incoming stream and returns the handshake of this voter.
func (l *streamLayer) handleHandshake(header http.Header) (http.Header, error) {
	if to := header.Get(recipientIDHeader); to != l.server.id {
		return nil, fmt.Errorf("this is voter %s, not %s", l.server.id, to)
	}
	if err := l.server.verifyPeer(header, true); err != nil {
		return nil, err
	}
	return l.server.handshake().header(), nil
}

// deliver passes an incoming stream to Accept, or closes it if the layer is closed.
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
		return nil, fmt.Errorf("invalid Raft address %q, want ID@ADDRESS", to)
	}
	header := l.server.handshake().header()
	header.Set(recipientIDHeader, id)
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
		return fmt.Errorf("voter %q answered, want %q", got, id)
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
