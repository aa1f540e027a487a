package settings

import (
	"errors"
	"fmt"
	"io/fs"
	"time"

	"github.com/lilacweir/lilacweir/pkg/credential"
	"github.com/lilacweir/lilacweir/pkg/yamlfile"
)

// Check reads settings like Load, and also loads every file that they name, with
// validity checked at now.
func Check(file string, now time.Time) (*Instance, error) {
	data, err := yamlfile.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return CheckData(file, data, now)
}

// CheckData is Check for settings that were read already.
func CheckData(file string, data []byte, now time.Time) (*Instance, error) {
	instance, doc := parse(file, data)
	opener := opener{doc: doc, now: now}
	opener.pair("security", Pair{Certificate: instance.Security.Certificate, Key: instance.Security.Key})
	opener.authority("security.authority", instance.Security.Authority)
	opener.pair("gateway.callers_tls", instance.Gateway.CallersTLS)
	opener.pair("agent.operators_tls", instance.Agent.OperatorsTLS)
	for _, service := range instance.Platform.services() {
		opener.pair(service.block+".tls", Pair{Certificate: service.tls.Certificate, Key: service.tls.Key})
		opener.authority(service.block+".tls.authority", service.tls.Authority)
		opener.secret(service.block+"."+service.secretKey, service.secret)
	}
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return instance, nil
}

// CheckClient checks the settings of the command line and the files they name.
func CheckClient(file string, data []byte, now time.Time) error {
	client := new(Client)
	doc := yamlfile.Read(file, data, client)
	opener := opener{doc: doc, now: now}
	opener.authority("authority", client.Authority)
	opener.secret("key_file", client.KeyFile)
	return doc.Err()
}

// opener loads files and adds their faults to a document. Empty names are skipped.
type opener struct {
	doc *yamlfile.Document
	now time.Time
}

func (o opener) pair(block string, pair Pair) {
	if pair.Certificate == "" || pair.Key == "" {
		return
	}
	_, err := credential.LoadPair(pair.Certificate, pair.Key, o.now)
	key := block + ".certificate"
	var fault *credential.FileError
	if errors.As(err, &fault) && fault.File == pair.Key && pair.Key != pair.Certificate {
		key = block + ".key"
	}
	o.add(key, err)
}

func (o opener) authority(key, file string) {
	if file == "" {
		return
	}
	_, _, err := credential.LoadAuthority(file, o.now)
	o.add(key, err)
}

func (o opener) secret(key, file string) {
	if file == "" {
		return
	}
	_, err := credential.LoadSecret(file)
	o.add(key, err)
}

func (o opener) add(key string, err error) {
	var fault *credential.FileError
	if !errors.As(err, &fault) {
		return
	}
	cause := fault.Err
	var path *fs.PathError
	if errors.As(cause, &path) {
		cause = path.Err // the fault names the file already
	}
	o.doc.Add(key, fmt.Sprintf("%s: %v", fault.File, cause), "")
}
