package simprotocol

import (
	"bufio"
	"errors"
	"io"
)

// lineReader reads lines of any length.
type lineReader struct {
	r   *bufio.Reader
	buf []byte // a line that does not fit into r's buffer
}

func newLineReader(r io.Reader) *lineReader { return &lineReader{r: bufio.NewReaderSize(r, 1<<20)} }

// next returns the next line, which is valid until the next call. The last line needs no newline. At the end it returns io.EOF.
func (l *lineReader) next() ([]byte, error) {
	l.buf = l.buf[:0]
	for {
		chunk, err := l.r.ReadSlice('\n')
		if err == nil && len(l.buf) == 0 {
			return chunk, nil
		}
		l.buf = append(l.buf, chunk...)
		switch {
		case err == nil, errors.Is(err, io.EOF) && len(l.buf) > 0:
			return l.buf, nil
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		}
	}
}
