package relay

// CopyLimit bounds a kept answer in bytes.
const CopyLimit = 32 << 10

// Copy keeps an answer for repeats of a request that may not run again.
type Copy struct {
	// Status and ContentType are those of the answer.
	Status      int
	ContentType string
	// Body is the answer; empty when it was longer than CopyLimit.
	Body []byte
	// Truncated is true when the answer was longer than CopyLimit.
	Truncated bool
}

func (c *Copy) begin(status int, contentType string) {
	c.Status = status
	c.ContentType = contentType
	c.Body = c.Body[:0]
	c.Truncated = false
}

func (c *Copy) add(p []byte) {
	if c.Truncated || len(c.Body)+len(p) > CopyLimit {
		c.Truncated = true
		c.Body = nil
		return
	}
	c.Body = append(c.Body, p...)
}
