// Package identity loads TLS keys and certificates, and issues certificates for development.
package identity

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"

	"cuminlift/schema"
)

// FileError reports a key or certificate file that can't be used.
type FileError struct {
	File  string
	Cause error
}

func (e *FileError) Error() string {
	return fmt.Sprintf("%s: %v: use a PEM file; \"cuminlift identity make\" creates a set for development", e.File, e.Cause)
}

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// reloadInterval is the least time between two checks whether the files have changed.
const reloadInterval = 5 * time.Second

// Source holds a key, its certificate and the trusted authorities, and reloads their files when they change.
type Source struct {
	settings    *schema.TlsSettings
	mutex       sync.Mutex
	certificate *tls.Certificate
	authorities *x509.CertPool
	lastCheck   time.Time
	modTime     time.Time
}

// Load reads the files named in settings. It returns a *FileError if one can't be used.
func Load(settings *schema.TlsSettings) (*Source, error) {
	s := &Source{
		settings: settings,
	}
	if err := s.readFiles(); err != nil {
		return nil, err
	}
	s.lastCheck = time.Now()
	s.modTime = s.latestModTime()
	return s, nil
}

// readFiles loads the files. On an error the loaded identity stays as it was.
func (s *Source) readFiles() error {
	pair, err := tls.LoadX509KeyPair(s.settings.GetCertificate(), s.settings.GetKey())
	if err != nil {
		return &FileError{
			File:  s.settings.GetCertificate(),
			Cause: err,
		}
	}
	text, err := os.ReadFile(s.settings.GetAuthority())
	if err != nil {
		return &FileError{
			File:  s.settings.GetAuthority(),
			Cause: err,
		}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return &FileError{
			File:  s.settings.GetAuthority(),
			Cause: fmt.Errorf("file has no certificate"),
		}
	}
	s.certificate = &pair
	s.authorities = pool
	return nil
}

// latestModTime returns the newest modification time of the files.
func (s *Source) latestModTime() time.Time {
	var latestModTime time.Time
	for _, name := range []string{s.settings.GetCertificate(), s.settings.GetKey(), s.settings.GetAuthority()} {
		info, err := os.Stat(name)
		if err == nil && info.ModTime().After(latestModTime) {
			latestModTime = info.ModTime()
		}
	}
	return latestModTime
}

// current returns the certificate and the authorities, after reloading files that have changed. If the new files can't be
// used, the old identity stays in use.
func (s *Source) current() (*tls.Certificate, *x509.CertPool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if time.Since(s.lastCheck) >= reloadInterval {
		s.lastCheck = time.Now()
		if latestModTime := s.latestModTime(); latestModTime.After(s.modTime) && s.readFiles() == nil {
			s.modTime = latestModTime
		}
	}
	return s.certificate, s.authorities
}

// ResetKey returns a QUIC stateless reset key derived from the key file, or a *FileError if the file can't be read. All
// runs of one identity share it, so that a restarted process can reset the connections of its peers to the earlier run.
func (s *Source) ResetKey() ([32]byte, error) {
	text, err := os.ReadFile(s.settings.GetKey())
	if err != nil {
		return [32]byte{}, &FileError{
			File:  s.settings.GetKey(),
			Cause: err,
		}
	}
	return sha256.Sum256(append([]byte("stateless reset "), text...)), nil
}

// Server returns a server configuration that requires a client certificate signed by one of the authorities.
func (s *Source) Server(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			certificate, authorities := s.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   protocols,
				Certificates: []tls.Certificate{*certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    authorities,
			}, nil
		},
	}
}

// CallerServer returns a server configuration for callers, which need no client certificate.
func (s *Source) CallerServer() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"h2", "http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			certificate, _ := s.current()
			return certificate, nil
		},
	}
}

// Client returns a client configuration that presents the own certificate and trusts only the authorities. Peers are
// identified by address, so the certificate chain is verified and the host name is not.
func (s *Source) Client(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         protocols,
		InsecureSkipVerify: true, // VerifyConnection verifies the chain.
		VerifyConnection:   s.verify,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			certificate, _ := s.current()
			return certificate, nil
		},
	}
}

// verify verifies the chain of the peer's certificate against the authorities.
func (s *Source) verify(state tls.ConnectionState) error {
	_, authorities := s.current()
	if len(state.PeerCertificates) == 0 {
		return fmt.Errorf("peer presented no certificate: issue it one signed by this authority")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         authorities,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return fmt.Errorf("verify peer certificate: %w", err)
	}
	return nil
}
