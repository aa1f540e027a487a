package dispatch

import (
	"net/http"
	"strconv"
	"time"

	"github.com/lilacweir/lilacweir/pkg/header"
)

// peerHeader returns the header of a request to another domain's gateway.
func (r *run) peerHeader(choice *Choice) http.Header {
	fields := make(http.Header, len(r.request.Header)+peerFields)
	for name, values := range r.request.Header {
		fields[name] = values
	}
	fields.Set(header.Origin, r.Domain)
	fields.Set(header.Class, header.ClassDomain)
	fields.Set(header.Caller, r.request.Caller.Name)
	fields.Set(header.Revision, strconv.FormatUint(uint64(choice.Revision), 10))
	if choice.Version != "" {
		fields.Set(header.Version, choice.Version)
	}
	if !r.request.Deadline.IsZero() {
		left := max(0, r.request.Deadline.Sub(r.Now()))
		fields.Set(header.Deadline, strconv.FormatInt(int64(left/time.Millisecond), 10))
	}
	return fields
}

// peerFields is the number of fields that peerHeader may add.
const peerFields = 6
