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

// Prefixes of the path of a stream and of the pattern of its handler; the kind of the stream follows.
const (
	streamPath    = "/fleet/v1/stream/"
	streamPattern = "GET /fleet/v1/stream/"
)

// streamProtocol returns the value of the Upgrade header for streams of a kind.
func streamProtocol(kind string) string { return "robindrum-" + kind }

// HandleStream registers a handler for streams of a kind. handshake checks the request header and returns the response header, or an
// error to reject the stream. accept then receives the connection and must close it.
func (n *Node) HandleStream(kind string, handshake func(http.Header) (http.Header, error), accept func(net.Conn)) {
	n.mux.HandleFunc(streamPattern+kind, func(w http.ResponseWriter, r *http.Request) {
		header, err := handshake(r.Header)
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
		if writeUpgrade(buffered.Writer, kind, header) != nil || !n.addStream(conn) {
			conn.Close()
			return
		}
		_ = conn.SetDeadline(time.Time{})
		accept(&stream{Conn: conn, node: n, reader: buffered.Reader})
	})
}

// writeUpgrade writes the response that turns a connection into a stream.
func writeUpgrade(w *bufio.Writer, kind string, header http.Header) error {
	fmt.Fprintf(w, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: %s\r\n", streamProtocol(kind))
	_ = header.Write(w) // Flush returns the first error
	fmt.Fprint(w, "\r\n")
	return w.Flush()
}

// Stream opens a stream of a kind to a peer, within ctx and dialTimeout. header is passed to the peer's handshake function; the returned
// header is that of the response. The error wraps ErrRemoteRejected if the peer rejects the stream.
func (n *Node) Stream(ctx context.Context, address, kind string, header http.Header) (net.Conn, http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	n.traffic.streams.Add(1)
	conn, err := n.dial(ctx, address)
	if err != nil {
		return nil, nil, err
	}
	opened, responseHeader, err := n.upgrade(ctx, conn, address, kind, header)
	if err != nil {
		conn.Close()
		return nil, nil, err
	}
	return opened, responseHeader, nil
}

// upgrade turns a new connection into a stream. If it returns an error, the caller must close conn.
func (n *Node) upgrade(ctx context.Context, conn net.Conn, address, kind string, header http.Header) (*stream, http.Header, error) {
	stopCancellation := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stopCancellation()
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
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxHeaderBytes)) // on an error, the text is incomplete
		return nil, nil, fmt.Errorf("%w: stream %s to %s: %s", ErrRemoteRejected, kind, address, bytes.TrimSpace(text))
	}
	if !stopCancellation() {
		return nil, nil, context.Cause(ctx)
	}
	if !n.addStream(conn) {
		return nil, nil, net.ErrClosed
	}
	return &stream{Conn: conn, node: n, reader: reader}, response.Header, nil
}

// addStream records an open stream. It returns false if the node is closed or has maxStreams open streams.
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

// stream is a connection after its upgrade. reader may have buffered bytes that were read with the HTTP header.
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
