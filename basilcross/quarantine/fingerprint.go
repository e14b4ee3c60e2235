package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Fingerprint identifies requests that are the same: whoever could find another request with the
// fingerprint of a given one could get that one refused, so it is cryptographic.
type Fingerprint [16]byte

// Identify returns the fingerprint of a request with the given parts.
func Identify(parts ...[]byte) (f Fingerprint) {
	h := sha256.New()
	var length [8]byte
	for _, p := range parts {
		binary.LittleEndian.PutUint64(length[:], uint64(len(p)))
		h.Write(length[:])
		h.Write(p)
	}
	copy(f[:], h.Sum(nil))
	return f
}

func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
