package relay

// Capture stores the beginning of an answer, for repeats of a request that may not run
// again.
type Capture struct {
	// Limit bounds Body in bytes.
	Limit       int
	Status      int
	ContentType string
	// Body holds the first Limit bytes of the answer.
	Body []byte
}

func (c *Capture) begin(status int, contentType string) {
	c.Status = status
	c.ContentType = contentType
	c.Body = c.Body[:0]
}

func (c *Capture) add(p []byte) {
	room := c.Limit - len(c.Body)
	c.Body = append(c.Body, p[:min(room, len(p))]...)
}
