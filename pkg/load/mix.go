package load

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/lilacweir/lilacweir/pkg/client"
	"github.com/lilacweir/lilacweir/pkg/yamlfile"
)

// Mix defines the callers, their kinds of request and the frequency of each.
type Mix struct {
	Callers []Caller `yaml:"callers" validate:"required,min=1,dive"`
	Items   []Item   `yaml:"items" validate:"required,min=1,dive"`
}

// Caller is one organisation that sends requests from one failure domain.
type Caller struct {
	Name string `yaml:"name" validate:"required,name"`
	// Key is the caller's key in a deployment of stand-ins.
	Key string `yaml:"key" validate:"required"`
	// Domain is the failure domain that provides its seed addresses.
	Domain string `yaml:"domain" validate:"required,name"`
	// Region is its home region; answers from others count as remote.
	Region string `yaml:"region" validate:"required,name"`
}

// Item is one kind of request. Exactly one of Chat and Call is set.
type Item struct {
	Name string `yaml:"name" validate:"required,name"`
	// Weight is its share relative to the other items.
	Weight int `yaml:"weight" validate:"gte=1"`
	// Callers names the callers that send it, with equal probability.
	Callers []string `yaml:"callers" validate:"required,min=1,dive,name"`
	Chat    *Chat    `yaml:"chat,omitempty" validate:"required_without=Call"`
	Call    *Call    `yaml:"call,omitempty" validate:"required_without=Chat"`
}

// Chat describes chat requests. Each starts with one of a fixed number of
// histories, which are the prefixes that recur.
type Chat struct {
	Model string `yaml:"model" validate:"required,name"`
	// Histories is the number of different histories; zero means none.
	Histories int `yaml:"histories,omitempty" validate:"gte=0"`
	// HistoryBytes is the length of a history.
	HistoryBytes int `yaml:"history_bytes,omitempty" validate:"gte=0"`
	// QuestionBytes is the length of the last message, which is unique.
	QuestionBytes int `yaml:"question_bytes" validate:"gte=1"`
	MaxTokens     int `yaml:"max_tokens" validate:"gte=1"`
}

// Call describes requests to a service upstream.
type Call struct {
	Method string `yaml:"method" validate:"required,oneof=GET HEAD POST PUT PATCH DELETE"`
	Path   string `yaml:"path" validate:"required,startswith=/"`
	// BodyBytes is the length of the body.
	BodyBytes int `yaml:"body_bytes,omitempty" validate:"gte=0"`
	// Key adds a new idempotency key to each request.
	Key bool `yaml:"key,omitempty"`
}

// MixError reports an item that names a caller missing from the mix.
type MixError struct {
	Item, Caller string
}

// Error implements error.
func (e *MixError) Error() string {
	return fmt.Sprintf("item %s names caller %s, which the mix does not have", e.Item, e.Caller)
}

// ReadMix reads and checks a mix file.
func ReadMix(file string) (*Mix, error) {
	var mix Mix
	if err := yamlfile.Load(file, &mix); err != nil {
		return nil, err
	}
	if err := mix.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return &mix, nil
}

// check returns a MixError if an item names an unknown caller.
func (m *Mix) check() error {
	known := make(map[string]bool)
	for _, caller := range m.Callers {
		known[caller.Name] = true
	}
	for _, item := range m.Items {
		for _, name := range item.Callers {
			if !known[name] {
				return &MixError{Item: item.Name, Caller: name}
			}
		}
	}
	return nil
}

// request is one request to be sent.
type request struct {
	item   *Item
	caller string
	chat   client.ChatRequest
	body   []byte
}

// draw returns a random item's request from one of its callers.
func (m *Mix) draw(source *rand.Rand) request {
	total := 0
	for _, item := range m.Items {
		total += item.Weight
	}
	pick := source.IntN(total)
	index := 0
	for pick >= m.Items[index].Weight {
		pick -= m.Items[index].Weight
		index++
	}
	item := &m.Items[index]
	drawn := request{item: item, caller: item.Callers[source.IntN(len(item.Callers))]}
	if item.Chat != nil {
		drawn.chat = item.Chat.draw(drawn.caller, source)
	} else {
		drawn.body = item.Call.draw(source)
	}
	return drawn
}

func (c *Chat) draw(caller string, source *rand.Rand) client.ChatRequest {
	chat := client.ChatRequest{Model: c.Model, MaxTokens: c.MaxTokens, Stream: true}
	if c.Histories > 0 {
		history := fmt.Sprintf("%s history %d: ", caller, source.IntN(c.Histories))
		chat.Messages = append(chat.Messages, client.Message{Role: "system", Content: fill(history, c.HistoryBytes)})
	}
	question := fmt.Sprintf("question %d: ", source.Uint64())
	chat.Messages = append(chat.Messages, client.Message{Role: "user", Content: fill(question, c.QuestionBytes)})
	return chat
}

func (c *Call) draw(source *rand.Rand) []byte {
	if c.BodyBytes == 0 {
		return nil
	}
	text := fill(fmt.Sprintf("%d ", source.Uint64()), c.BodyBytes)
	return fmt.Appendf(nil, `{"record":%q}`, text)
}

// filler is repeated to pad texts to a given length.
const filler = "asleep 23:41 awake 06:12 stirred 03:05 for 4 min; "

func fill(start string, length int) string {
	missing := length - len(start)
	if missing <= 0 {
		return start
	}
	return start + strings.Repeat(filler, missing/len(filler)+1)[:missing]
}
