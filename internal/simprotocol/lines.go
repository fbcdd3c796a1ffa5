package simprotocol

import (
	"bufio"
	"errors"
	"io"
)

type lineReader struct {
	r   *bufio.Reader
	buf []byte
}

func newLineReader(r io.Reader) *lineReader { return &lineReader{r: bufio.NewReaderSize(r, 1<<20)} }

func (l *lineReader) next() ([]byte, error) {
	l.buf = l.buf[:0]
	for {
		part, err := l.r.ReadSlice('\n')
		if err == nil && len(l.buf) == 0 {
			return part, nil
		}
		l.buf = append(l.buf, part...)
		switch {
		case err == nil, errors.Is(err, io.EOF) && len(l.buf) > 0:
			return l.buf, nil
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		}
	}
}
