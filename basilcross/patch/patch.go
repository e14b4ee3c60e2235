// Package patch encodes a document by what differs from an earlier one that the receiver has.
package patch

import (
	"fmt"
	"math/bits"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
)

// MaxDocument bounds a document, in bytes.
const MaxDocument = 32 << 20

// Patch is a document, compressed relative to a base. Without a base it is compressed by itself.
type Patch struct {
	Data []byte
	// Digest is the xxhash of the document.
	Digest uint64
}

// DigestError reports that a patch does not lead to the document that it was made of: it was
// applied to another base, or is damaged.
type DigestError struct {
	Want, Got uint64
}

func (e *DigestError) Error() string {
	return fmt.Sprintf("patch: digest of the result is %016x, want %016x", e.Got, e.Want)
}

// minBase is the least size of a base; a shorter one is of no use to the compression.
const minBase = 64

// baseID identifies the base in the encoding. Patches have one base, so it says nothing.
const baseID = 1

// minWindow is the smallest window of the encoding, in bytes.
const minWindow = 1 << 10

// New returns the patch that leads from base, which may be empty, to a document.
func New(base, document []byte) (Patch, error) {
	if len(document) > MaxDocument {
		return Patch{}, fmt.Errorf("patch: document of %d bytes exceeds %d", len(document), MaxDocument)
	}
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithEncoderCRC(false),
		zstd.WithWindowSize(window(len(base) + len(document))),
	}
	if len(base) >= minBase {
		options = append(options, zstd.WithEncoderDictRaw(baseID, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return Patch{}, fmt.Errorf("patch: encode: %w", err)
	}
	p := Patch{Data: encoder.EncodeAll(document, nil), Digest: xxhash.Sum64(document)}
	if err := encoder.Close(); err != nil {
		return Patch{}, fmt.Errorf("patch: encode: %w", err)
	}
	return p, nil
}

// window returns the smallest window, a power of two, that reaches back over n bytes.
func window(n int) int { return max(minWindow, 1<<bits.Len(uint(n))) }

// Apply returns the document. Base must be the one that the patch was made for; the error is a
// *DigestError if it was not.
func (p Patch) Apply(base []byte) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(MaxDocument),
		zstd.WithDecoderMaxWindow(uint64(window(2 * MaxDocument))),
	}
	if len(base) >= minBase {
		options = append(options, zstd.WithDecoderDictRaw(baseID, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("patch: decode: %w", err)
	}
	defer decoder.Close()
	document, err := decoder.DecodeAll(p.Data, nil)
	if err != nil {
		return nil, fmt.Errorf("patch: decode: %w", err)
	}
	if got := xxhash.Sum64(document); got != p.Digest {
		return nil, &DigestError{Want: p.Digest, Got: got}
	}
	return document, nil
}
