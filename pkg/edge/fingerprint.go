package edge

import "github.com/lilacweir/lilacweir/pkg/quarantine"

// fingerprint names the request by what it asks for. It is worked out when it is first asked
// for: most requests go well, and bodies are long.
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
