package route

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/zeebo/errs/v2"
)

// Fingerprint identifies copies of a request: requests of the same organisation with the same
// method, host, path and body. It does not depend on properties that differ between copies,
// such as the request ID and the caller's deadline. It reveals nothing about the text except
// whether two requests are equal.
//
// It is a truncated SHA-256 sum, so an organisation cannot forge a request with the fingerprint
// of another one, and all processes compute the same fingerprint without a shared secret.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request. It reads the body once, which takes about
// 0.9 µs per KB on processors with SHA-256 instructions.
func FingerprintOf(org, method, host, path string, body []byte) Fingerprint {
	h := sha256.New()
	var size [8]byte
	for _, s := range []string{org, method, host, path} {
		binary.LittleEndian.PutUint64(size[:], uint64(len(s)))
		h.Write(size[:])
		h.Write([]byte(s))
	}
	h.Write(body)
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// PartFingerprint identifies a part of a prompt within a scope: an organisation, or all those that
// share their cached parts if org is empty. Within a scope, equal part IDs mean equal text.
func PartFingerprint(org, model, part string) Fingerprint {
	// No request has an empty method, so that no request has the fingerprint of a part.
	return FingerprintOf(org, "", model, part, nil)
}

// String returns the fingerprint as it appears in logs.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText implements [encoding.TextMarshaler].
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText implements [encoding.TextUnmarshaler].
func (f *Fingerprint) UnmarshalText(text []byte) error {
	data, err := hex.DecodeString(string(text))
	if err != nil || len(data) != len(f) {
		return errs.Errorf("%q is not a fingerprint of %d hexadecimal digits", text, 2*len(f))
	}
	copy(f[:], data)
	return nil
}

// Known reports whether f is the fingerprint of a request, and not the zero value.
func (f Fingerprint) Known() bool { return f != Fingerprint{} }
