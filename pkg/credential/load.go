// Package credential holds the certificates, authorities and passwords that a
// process reads from files, and reloads them when the files change.
//
// An invalid file never replaces the credential in use. No error or log line
// contains a key, password or token.
package credential

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"
)

// maxFile is the size limit of a file, in bytes, well above that of a chain of
// certificates.
const maxFile = 1 << 20

// Causes of a FileError for a file that could be read.
var (
	ErrNoCertificate = errors.New("holds no certificate")
	ErrNoSecret      = errors.New("is empty")
	ErrSecretLine    = errors.New("holds more than one line")
	ErrTooLarge      = errors.New("is larger than a megabyte")
)

// FileError reports a file that cannot be used.
type FileError struct {
	// File is the invalid file.
	File string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *FileError) Error() string { return fmt.Sprintf("security: %s: %v", e.File, e.Err) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

// ExpiryError reports a certificate outside its validity period.
type ExpiryError struct {
	// NotBefore and NotAfter bound the validity period.
	NotBefore, NotAfter time.Time
	// Now is the time of the check.
	Now time.Time
}

// Error implements error.
func (e *ExpiryError) Error() string {
	if e.Now.Before(e.NotBefore) {
		return "not valid before " + e.NotBefore.UTC().Format(time.RFC3339)
	}
	return "expired " + e.NotAfter.UTC().Format(time.RFC3339)
}

// KeyError reports a private key that cannot be used with its certificate.
type KeyError struct {
	// Certificate is the certificate's file.
	Certificate string
	// Err is the cause; it contains nothing of the key.
	Err error
}

// Error implements error.
func (e *KeyError) Error() string { return "no key of " + e.Certificate + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *KeyError) Unwrap() error { return e.Err }

// LoadPair reads a certificate, with its chain, and its key. The error is a
// *FileError; its cause may be an *ExpiryError or a *KeyError.
func LoadPair(certificate, key string, now time.Time) (*tls.Certificate, error) {
	public, err := read(certificate)
	if err != nil {
		return nil, err
	}
	chain, err := parse(certificate, public)
	if err != nil {
		return nil, err
	}
	secret, err := read(key)
	if err != nil {
		return nil, err
	}
	pair, err := tls.X509KeyPair(public, secret)
	if err != nil {
		return nil, &FileError{File: key, Err: &KeyError{Certificate: certificate, Err: err}}
	}
	if err := inTime(chain[0], now); err != nil {
		return nil, &FileError{File: certificate, Err: err}
	}
	pair.Leaf = chain[0]
	return &pair, nil
}

// LoadAuthority reads the certificates that verify the certificates of others. At
// least one of them must be valid now. The last one expires at until.
func LoadAuthority(file string, now time.Time) (pool *x509.CertPool, until time.Time, err error) {
	data, err := read(file)
	if err != nil {
		return nil, until, err
	}
	certificates, err := parse(file, data)
	if err != nil {
		return nil, until, err
	}
	pool = x509.NewCertPool()
	var outside error
	for _, certificate := range certificates {
		if fault := inTime(certificate, now); fault != nil {
			outside = fault
			continue
		}
		pool.AddCert(certificate)
		if certificate.NotAfter.After(until) {
			until = certificate.NotAfter
		}
	}
	if until.IsZero() {
		return nil, until, &FileError{File: file, Err: outside}
	}
	return pool, until, nil
}

// LoadSecret reads a password or token from a file of one line, without the white
// space around it. The error is a *FileError.
func LoadSecret(file string) (string, error) {
	data, err := read(file)
	if err != nil {
		return "", err
	}
	secret := strings.TrimSpace(string(data))
	switch {
	case secret == "":
		return "", &FileError{File: file, Err: ErrNoSecret}
	case strings.ContainsAny(secret, "\r\n"):
		return "", &FileError{File: file, Err: ErrSecretLine}
	}
	return secret, nil
}

func read(file string) ([]byte, error) {
	opened, err := os.Open(file)
	if err != nil {
		return nil, &FileError{File: file, Err: err}
	}
	defer opened.Close()
	data, err := io.ReadAll(io.LimitReader(opened, maxFile+1))
	if err == nil && len(data) > maxFile {
		err = ErrTooLarge
	}
	if err != nil {
		return nil, &FileError{File: file, Err: err}
	}
	return data, nil
}

// parse returns the certificates of a PEM file and skips other blocks.
func parse(file string, data []byte) ([]*x509.Certificate, error) {
	var found []*x509.Certificate
	for block, rest := pem.Decode(data); block != nil; block, rest = pem.Decode(rest) {
		if block.Type != "CERTIFICATE" {
			continue
		}
		certificate, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, &FileError{File: file, Err: err}
		}
		found = append(found, certificate)
	}
	if len(found) == 0 {
		return nil, &FileError{File: file, Err: ErrNoCertificate}
	}
	return found, nil
}

func inTime(certificate *x509.Certificate, now time.Time) error {
	if now.Before(certificate.NotBefore) || now.After(certificate.NotAfter) {
		return &ExpiryError{NotBefore: certificate.NotBefore, NotAfter: certificate.NotAfter, Now: now}
	}
	return nil
}
