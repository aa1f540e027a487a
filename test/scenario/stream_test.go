package scenario

import (
	"context"
	"fmt"

	"github.com/lilacweir/lilacweir/pkg/client"
	"github.com/lilacweir/lilacweir/pkg/outcome"
)

// text sends a chat request and prints only the answer's text, so that scripts can
// compare it. It takes ask's arguments.
func text(d *deployment, args []string) (string, error) {
	return textOf(chat(context.Background(), d, args, nil))
}

func textOf(answer *client.Answer, err error) (string, error) {
	if err != nil {
		return "", err
	}
	if answer.Outcome != outcome.Complete {
		return string(answer.Body), fmt.Errorf("%w: %v", errNotComplete, answer.Err)
	}
	return string(answer.Body), nil
}

// hangUp sends a chat request and cancels it at its first chunk. It takes ask's
// arguments.
func hangUp(d *deployment, args []string) (string, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	answer, err := chat(ctx, d, args, func(string) { cancel() })
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("chunks=%d", answer.Chunks), nil
}

// chat sends a chat request: CALLER INSTANCE MODEL TOKENS PROMPT.
func chat(ctx context.Context, d *deployment, args []string, onText func(string)) (*client.Answer, error) {
	const count = 5
	if len(args) != count || d.instances[args[1]] == nil {
		return nil, errUsage
	}
	var tokens int
	if _, err := fmt.Sscan(args[3], &tokens); err != nil {
		return nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request := client.ChatRequest{Model: args[2], MaxTokens: tokens, Messages: []client.Message{{Role: "user", Content: args[4]}}}
	caller := client.New("key-"+args[0], nil)
	return caller.Chat(ctx, d.instances[args[1]].Gateway.Callers, request, client.Options{}, onText), nil
}
