package peer

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Path of streams and pattern of their handlers, before the kind.
const (
	streamPath    = "/fleet/v1/stream/"
	streamPattern = "GET /fleet/v1/stream/"
)

// streamProtocol returns the protocol that a stream of a kind upgrades to.
func streamProtocol(kind string) string { return "robindrum-" + kind }

// HandleStream registers a handler of streams of a kind. greet checks the caller's header and returns the header to answer with, or
// why the stream is rejected; accept then owns the connection.
func (n *Node) HandleStream(kind string, greet func(http.Header) (http.Header, error), accept func(net.Conn)) {
	n.mux.HandleFunc(streamPattern+kind, func(w http.ResponseWriter, r *http.Request) {
		answer, err := greet(r.Header)
		if err != nil {
			http.Error(w, err.Error(), http.StatusForbidden)
			return
		}
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		_ = conn.SetDeadline(time.Now().Add(dialTimeout))
		if writeUpgrade(buffered.Writer, kind, answer) != nil || !n.addStream(conn) {
			conn.Close()
			return
		}
		_ = conn.SetDeadline(time.Time{})
		accept(&stream{Conn: conn, node: n, reader: buffered.Reader})
	})
}

// writeUpgrade answers that a connection becomes a stream.
func writeUpgrade(w *bufio.Writer, kind string, header http.Header) error {
	fmt.Fprintf(w, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: %s\r\n", streamProtocol(kind))
	_ = header.Write(w) // Flush returns the first error
	fmt.Fprint(w, "\r\n")
	return w.Flush()
}

// Stream opens a stream of a kind to a peer, within ctx and dialTimeout. header is what the other side's greet gets; the returned one
// is its answer. The error wraps ErrRemoteRejected where the other side rejects the stream.
func (n *Node) Stream(ctx context.Context, address, kind string, header http.Header) (net.Conn, http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	n.traffic.streams.Add(1)
	conn, err := n.dial(ctx, address)
	if err != nil {
		return nil, nil, err
	}
	opened, answer, err := n.upgrade(ctx, conn, address, kind, header)
	if err != nil {
		conn.Close()
		return nil, nil, err
	}
	return opened, answer, nil
}

// upgrade turns a new connection into a stream. The caller closes conn after an error.
func (n *Node) upgrade(ctx context.Context, conn net.Conn, address, kind string, header http.Header) (*stream, http.Header, error) {
	stopInterrupt := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stopInterrupt()
	request, err := http.NewRequest(http.MethodGet, "http://"+address+streamPath+kind, nil)
	if err != nil {
		return nil, nil, err
	}
	request.Header = header.Clone()
	request.Header.Set(fleetHeader, n.options.Fleet)
	request.Header.Set("Connection", "Upgrade")
	request.Header.Set("Upgrade", streamProtocol(kind))
	if err := request.Write(conn); err != nil {
		return nil, nil, err
	}
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return nil, nil, err
	}
	if response.StatusCode != http.StatusSwitchingProtocols {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxHeaderBytes)) // as much as came
		return nil, nil, fmt.Errorf("%w: %s of %s: %s", ErrRemoteRejected, kind, address, bytes.TrimSpace(text))
	}
	if !stopInterrupt() {
		return nil, nil, context.Cause(ctx)
	}
	if !n.addStream(conn) {
		return nil, nil, net.ErrClosed
	}
	return &stream{Conn: conn, node: n, reader: reader}, response.Header, nil
}

// addStream records an open stream. It returns false where the node is closed or has too many.
func (n *Node) addStream(conn net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed || len(n.streams) >= maxStreams {
		return false
	}
	n.streams[conn] = struct{}{}
	return true
}

func (n *Node) removeStream(conn net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.streams, conn)
}

// stream is a connection after its upgrade, some bytes of which may have been read ahead.
type stream struct {
	net.Conn
	node   *Node
	reader io.Reader
}

func (s *stream) Read(buffer []byte) (int, error) { return s.reader.Read(buffer) }

func (s *stream) Close() error {
	s.node.removeStream(s.Conn)
	return s.Conn.Close()
}
