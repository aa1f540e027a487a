package edge

import "github.com/lilacweir/lilacweir/pkg/quarantine"

// fingerprint returns the fingerprint of the request's content. It is computed at the first call,
// since most requests succeed and bodies are long.
func (j *job) fingerprint() quarantine.Fingerprint {
	if j.content == nil {
		asked := quarantine.Content{
			Organisation: j.organisationName(), Method: j.request.Method,
			Host: j.request.Host, Path: j.request.RequestURI, Body: j.body,
		}
		content := asked.Fingerprint()
		j.content = &content
	}
	return *j.content
}
