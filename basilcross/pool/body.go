package pool

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"time"
)

// responseBody returns its connection to the pool when the answer was read whole, and
// closes it otherwise: the rest of an abandoned answer would be taken for the
// beginning of the next one, and a caller would get somebody else's answer.
type responseBody struct {
	io.ReadCloser
	pool     *Pool
	conn     *conn
	stop     func() bool
	reusable bool
	complete bool
	closed   bool
}

func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.complete = true
	}
	return n, err
}

// Close gives up the answer. It never waits for the rest of it.
func (b *responseBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	// stop is false if the context ended: the deadline is spoilt then.
	if !b.stop() || !b.complete || !b.reusable {
		return b.conn.Close()
	}
	b.conn.lastResponse = time.Now()
	b.conn.reused = true
	b.pool.put(b.conn)
	return nil
}

func copyExactly(w *bufio.Writer, r io.Reader, length int64) error {
	if length == 0 {
		return nil
	}
	n, err := io.Copy(w, io.LimitReader(r, length))
	if err != nil {
		return err
	}
	if n != length {
		return fmt.Errorf("body ended after %d of %d bytes: %w", n, length, io.ErrUnexpectedEOF)
	}
	return nil
}

func copyChunked(w *bufio.Writer, r io.Reader) error {
	buffer := make([]byte, bufferSize)
	for {
		n, err := r.Read(buffer)
		if n > 0 {
			fmt.Fprintf(w, "%x\r\n", n)
			_, _ = w.Write(buffer[:n])
			if _, werr := w.WriteString("\r\n"); werr != nil {
				return werr
			}
		}
		if errors.Is(err, io.EOF) {
			_, err = w.WriteString("0\r\n\r\n")
			return err
		}
		if err != nil {
			return err
		}
	}
}
