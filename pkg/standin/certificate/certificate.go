// Package certificate creates a certificate authority and the certificates of
// instances, for stand-in deployments and tests. It stores the authority's key beside
// the certificates that it signed, so it is not for production use.
package certificate

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/lilacweir/lilacweir/pkg/settings"
)

const (
	// authorityName is the base name of the authority's files.
	authorityName = "authority"
	// validity is the validity period, clockSkew the tolerated clock difference.
	validity  = 30 * 24 * time.Hour
	clockSkew = time.Hour
	// serialBits is the length of serial numbers, in bits.
	serialBits = 120
	// Permissions of the written files and folders.
	filePermissions   = 0o600
	folderPermissions = 0o700
	// Types of PEM blocks.
	blockCertificate = "CERTIFICATE"
	blockKey         = "PRIVATE KEY"
)

// ErrNoPEM is returned if a file does not begin with a block of the expected type.
var ErrNoPEM = errors.New("no such PEM block")

// ErrKeyKind is returned if a key cannot sign.
var ErrKeyKind = errors.New("not a signing key")

// FileError reports a file that cannot be used.
type FileError struct {
	File string
	Err  error
}

// Error implements error.
func (e *FileError) Error() string { return fmt.Sprintf("%s: %v", e.File, e.Err) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

// Authority signs certificates of instances.
type Authority struct {
	directory   string
	certificate *x509.Certificate
	key         crypto.Signer
}

// Open reads the authority in a directory, or creates one there.
func Open(directory string) (*Authority, error) {
	if err := os.MkdirAll(directory, folderPermissions); err != nil {
		return nil, &FileError{File: directory, Err: err}
	}
	a := &Authority{directory: directory}
	if _, err := os.Stat(a.file(authorityName, ".key")); errors.Is(err, os.ErrNotExist) {
		return a, a.create()
	}
	return a, a.read()
}

// Issue writes a certificate and key for an instance with the given address, and
// returns the settings that name them. It replaces the previous ones.
func (a *Authority) Issue(name string, address net.IP) (settings.Security, error) {
	template := &x509.Certificate{
		Subject:     pkix.Name{CommonName: name},
		IPAddresses: []net.IP{address},
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	if _, _, err := a.sign(name, template); err != nil {
		return settings.Security{}, err
	}
	return settings.Security{
		Certificate: a.file(name, ".pem"), Key: a.file(name, ".key"), Authority: a.file(authorityName, ".pem"),
	}, nil
}

func (a *Authority) file(name, extension string) string {
	return filepath.Join(a.directory, name+extension)
}

// create creates a self-signed authority.
func (a *Authority) create() error {
	template := &x509.Certificate{
		Subject:               pkix.Name{CommonName: authorityName},
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	var err error
	a.certificate, a.key, err = a.sign(authorityName, template)
	return err
}

// sign generates a key, signs its certificate and writes both.
func (a *Authority) sign(name string, template *x509.Certificate) (*x509.Certificate, crypto.Signer, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, fmt.Errorf("key of %s: %w", name, err)
	}
	template.SerialNumber, err = rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, nil, fmt.Errorf("serial number of %s: %w", name, err)
	}
	template.NotBefore, template.NotAfter = time.Now().Add(-clockSkew), time.Now().Add(validity)
	parent, signer := a.certificate, a.key
	if parent == nil {
		parent, signer = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), signer)
	if err != nil {
		return nil, nil, fmt.Errorf("certificate of %s: %w", name, err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, nil, fmt.Errorf("certificate of %s: %w", name, err)
	}
	return certificate, key, a.write(name, der, key)
}

func (a *Authority) write(name string, certificate []byte, key crypto.Signer) error {
	encodedKey, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return fmt.Errorf("key of %s: %w", name, err)
	}
	if err := writePEM(a.file(name, ".key"), blockKey, encodedKey); err != nil {
		return err
	}
	return writePEM(a.file(name, ".pem"), blockCertificate, certificate)
}

// read reads an existing authority.
func (a *Authority) read() error {
	der, err := readPEM(a.file(authorityName, ".pem"), blockCertificate)
	if err != nil {
		return err
	}
	if a.certificate, err = x509.ParseCertificate(der); err != nil {
		return &FileError{File: a.file(authorityName, ".pem"), Err: err}
	}
	encodedKey, err := readPEM(a.file(authorityName, ".key"), blockKey)
	if err != nil {
		return err
	}
	key, err := x509.ParsePKCS8PrivateKey(encodedKey)
	if err != nil {
		return &FileError{File: a.file(authorityName, ".key"), Err: err}
	}
	signer, ok := key.(crypto.Signer)
	if !ok {
		return &FileError{File: a.file(authorityName, ".key"), Err: ErrKeyKind}
	}
	a.key = signer
	return nil
}

func writePEM(file, kind string, der []byte) error {
	block := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(file, block, filePermissions); err != nil {
		return &FileError{File: file, Err: err}
	}
	return nil
}

func readPEM(file, kind string) ([]byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &FileError{File: file, Err: err}
	}
	block, _ := pem.Decode(data)
	if block == nil || block.Type != kind {
		return nil, &FileError{File: file, Err: ErrNoPEM}
	}
	return block.Bytes, nil
}
