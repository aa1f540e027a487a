package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// answer is what a client saw of one request.
type answer struct {
	id     string
	status int
	sealed bool
	body   string
	// whole is true if the answer looked complete.
	whole bool
	err   error
}

// client sends requests over channels that it keeps open.
type client struct {
	d    *deployment
	http *http.Client
}

func newClient(d *deployment) *client {
	return &client{d: d, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

// send sends one request to a machine and reads its answer.
func (c *client) send(front, method, path, id string, budget time.Duration, fields map[string]string, body string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	seen := answer{id: id}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.d.fronts[front]+path, bytes.NewReader([]byte(body)))
	if err != nil {
		seen.err = err
		return seen
	}
	request.Host = host
	request.Header.Set("X-Lilacweir-Request-Id", id)
	request.Header.Set("X-Lilacweir-Deadline-Ms", fmt.Sprint(budget.Milliseconds()))
	for name, value := range fields {
		request.Header.Set(name, value)
	}
	c.d.logSent(id, method, path, front)
	response, err := c.http.Do(request)
	if err != nil {
		seen.err = err
		c.d.log("client: %s gets no answer: %v", id, err)
		return seen
	}
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	seen.status, seen.sealed, seen.body = response.StatusCode, response.Header.Get("X-Lilacweir-Server-Seal") != "", string(read)
	seen.whole, seen.err = err == nil, err
	how := "whole"
	if errors.Is(err, context.DeadlineExceeded) {
		how = "cut off by the client's deadline"
	} else if err != nil {
		how = "visibly broken: " + err.Error()
	}
	c.d.log("client: %s gets %d, sealed %v, %d events, %s", id, seen.status, seen.sealed, strings.Count(seen.body, "\n\n"), how)
	return seen
}

// logSent records that a client sends a request.
func (d *deployment) logSent(id, method, path, front string) {
	d.mu.Lock()
	d.sentAt[id] = time.Now()
	d.mu.Unlock()
	d.log("client: %s %s %s sent to %s", id, method, path, front)
}
