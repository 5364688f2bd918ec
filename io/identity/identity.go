// Package identity loads keys and certificates, and makes them for development.
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

// FileError reports a key or certificate that can't be used.
type FileError struct {
	File  string
	Cause error
}

func (e *FileError) Error() string {
	return fmt.Sprintf("%s: %v: give a PEM file; \"cuminlift identity make\" writes a set for development", e.File, e.Cause)
}

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// reloadPeriod is how often the files are looked at for a change.
const reloadPeriod = 5 * time.Second

// Source holds one identity and reads its files again when they change.
type Source struct {
	settings    *schema.TlsSettings
	mutex       sync.Mutex
	certificate *tls.Certificate
	authorities *x509.CertPool
	checked     time.Time
	changed     time.Time
}

// Load reads the files of settings. It returns a *FileError where one can't be used.
func Load(settings *schema.TlsSettings) (*Source, error) {
	s := &Source{
		settings: settings,
	}
	if err := s.read(); err != nil {
		return nil, err
	}
	s.checked = time.Now()
	s.changed = s.latest()
	return s, nil
}

func (s *Source) read() error {
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
			Cause: fmt.Errorf("no certificate in it"),
		}
	}
	s.certificate = &pair
	s.authorities = pool
	return nil
}

// latest returns the newest modification time of the files.
func (s *Source) latest() time.Time {
	var latest time.Time
	for _, name := range []string{s.settings.GetCertificate(), s.settings.GetKey(), s.settings.GetAuthority()} {
		info, err := os.Stat(name)
		if err == nil && info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest
}

// current returns the identity, read again if its files have changed. Files that can't be used leave the old one in force.
func (s *Source) current() (*tls.Certificate, *x509.CertPool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if time.Since(s.checked) >= reloadPeriod {
		s.checked = time.Now()
		if latest := s.latest(); latest.After(s.changed) && s.read() == nil {
			s.changed = latest
		}
	}
	return s.certificate, s.authorities
}

// ResetKey returns a secret that all runs of one identity share, or an error where the key file can't be read. A restarted
// process tells its peers with it that their connections to the earlier one have ended.
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

// Server returns a configuration that lets in only peers with a certificate of the authorities.
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

// CallerServer returns a configuration for callers, who need no certificate.
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

// Client returns a configuration that trusts only the authorities and shows the own certificate. Peers are known
// by address, so that the chain is checked and the host name is not.
func (s *Source) Client(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         protocols,
		InsecureSkipVerify: true, // VerifyConnection checks the chain.
		VerifyConnection:   s.verify,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			certificate, _ := s.current()
			return certificate, nil
		},
	}
}

func (s *Source) verify(state tls.ConnectionState) error {
	_, authorities := s.current()
	if len(state.PeerCertificates) == 0 {
		return fmt.Errorf("peer shows no certificate: give it one of this authority")
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
		return fmt.Errorf("peer's certificate: %w", err)
	}
	return nil
}
