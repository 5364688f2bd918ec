package request

import (
	"crypto/sha256"
	"encoding/binary"
)

// Identity tells whether two requests are the same one, repeated. A fingerprint is 0 if it is not known.
type Identity struct {
	// Content is the fingerprint of what is asked: method, host, target and body.
	Content uint64
	// Caller is the fingerprint of the content together with who asks. Callers may change their address between repeats.
	Caller uint64
}

// NewIdentity returns the identity of a request from a caller's address without its port.
func NewIdentity(caller, method, host, target string, body []byte) Identity {
	content := fingerprint([]byte(method), []byte(host), []byte(target), body)
	return Identity{
		Content: content,
		Caller:  fingerprint(binary.BigEndian.AppendUint64(nil, content), []byte(caller)),
	}
}

// fingerprint returns a digest of parts that is not 0. It is the same on all instances, and callers can't find two requests with
// the same one, by which one could have another rejected.
func fingerprint(parts ...[]byte) uint64 {
	digest := sha256.New()
	for _, part := range parts {
		// Writing to a digest can't fail.
		_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = digest.Write(part)
	}
	return max(1, binary.BigEndian.Uint64(digest.Sum(nil)))
}
