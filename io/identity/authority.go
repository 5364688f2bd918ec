package identity

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"cuminlift/schema"
)

// developmentValidity is the validity period of development certificates.
const developmentValidity = 30 * 24 * time.Hour

// Authority is a certificate authority for development certificates.
type Authority struct {
	folder      string
	certificate *x509.Certificate
	key         crypto.Signer
}

// NewAuthority creates a certificate authority and writes its key and certificate into folder.
func NewAuthority(folder string) (*Authority, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, fmt.Errorf("create folder for keys: %w", err)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate key: %w", err)
	}
	template := newTemplate("cuminlift development authority", time.Now().Add(developmentValidity))
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	a := &Authority{
		folder:      folder,
		certificate: template,
		key:         key,
	}
	if err := a.write("authority", template, key); err != nil {
		return nil, err
	}
	return a, nil
}

// Issue creates a key and a certificate for name that is valid until the given time, writes both into the authority's
// folder and returns settings that refer to them.
func (a *Authority) Issue(name string, until time.Time) (*schema.TlsSettings, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate key: %w", err)
	}
	template := newTemplate(name, until)
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	template.DNSNames = []string{name, "localhost"}
	if err := a.write(name, template, key); err != nil {
		return nil, err
	}
	return &schema.TlsSettings{
		Authority:   filepath.Join(a.folder, "authority.pem"),
		Certificate: filepath.Join(a.folder, name+".pem"),
		Key:         filepath.Join(a.folder, name+".key"),
	}, nil
}

// IssueForDevelopment is like Issue, with the default validity.
func (a *Authority) IssueForDevelopment(name string) (*schema.TlsSettings, error) {
	return a.Issue(name, time.Now().Add(developmentValidity))
}

func newTemplate(name string, until time.Time) *x509.Certificate {
	serial, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	return &x509.Certificate{
		SerialNumber: serial,
		Subject: pkix.Name{
			CommonName: name,
		},
		NotBefore: time.Now().Add(-time.Hour),
		NotAfter:  until,
	}
}

// write signs a certificate for key and writes both into the authority's folder.
func (a *Authority) write(name string, template *x509.Certificate, key *ecdsa.PrivateKey) error {
	content, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	if err != nil {
		return fmt.Errorf("sign certificate of %s: %w", name, err)
	}
	encoded, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return fmt.Errorf("encode key of %s: %w", name, err)
	}
	if err := writePEM(filepath.Join(a.folder, name+".pem"), "CERTIFICATE", content); err != nil {
		return err
	}
	return writePEM(filepath.Join(a.folder, name+".key"), "EC PRIVATE KEY", encoded)
}

func writePEM(file, kind string, content []byte) error {
	text := pem.EncodeToMemory(&pem.Block{
		Type:  kind,
		Bytes: content,
	})
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return &FileError{
			File:  file,
			Cause: err,
		}
	}
	return nil
}
