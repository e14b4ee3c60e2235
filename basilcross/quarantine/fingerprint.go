package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Fingerprint identifies requests that are the same. It is a cryptographic hash: a caller that
// constructed a collision could get another caller's request refused.
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
