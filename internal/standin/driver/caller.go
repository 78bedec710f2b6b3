// Package driver is a caller: it sends requests to an entry and judges whether
// each answer is whole and its own.
package driver

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/standin/modelengine"
)

// Caller sends requests with one key.
type Caller struct {
	key  string
	http *http.Client
}

// New returns a caller. Each request has a connection of its own if reuse is off.
func New(key string, reuse bool) *Caller {
	return &Caller{key: key, http: &http.Client{Transport: &http.Transport{DisableKeepAlives: !reuse, MaxIdleConnsPerHost: 1024}}}
}

// Problem is an error answer.
type Problem struct {
	Status            int    `json:"status"`
	Code              string `json:"code"`
	Outcome           string `json:"outcome"`
	Detail            string `json:"detail"`
	RequestID         string `json:"requestID"`
	RetryAfterSeconds int    `json:"retryAfterSeconds"`
}

// Error implements error.
func (p *Problem) Error() string {
	return fmt.Sprintf("status %d code %s outcome %s: %s", p.Status, p.Code, p.Outcome, p.Detail)
}

// Stream is what was received of an answer stream.
type Stream struct {
	// Tokens holds the texts received.
	Tokens []string
	// Complete is set if the stream ended with its end mark.
	Complete bool
	// Problem is the error event, if there was one.
	Problem *Problem
	// LastEventID names the last token.
	LastEventID string
	// TimeToFirstToken is the time to the first token.
	TimeToFirstToken time.Duration
	// TokenGaps holds the times between tokens.
	TokenGaps []time.Duration
}

// Chat describes a streamed model request.
type Chat struct {
	Address   string
	Model     string
	Content   string
	MaxTokens int
	// LastEventID resumes an earlier stream.
	LastEventID string
	RequestID   string
	Timeout     time.Duration
	// OnToken is called after every token; an error ends the stream.
	OnToken func(tokens int) error
}

// Prompt returns the prompt that the entry makes of the chat's content.
func (c *Chat) Prompt() []byte { return []byte("<user>\n" + c.Content + "\n") }

// ExpectedTokens returns the tokens of a whole answer on a weights version.
func (c *Chat) ExpectedTokens(version string, from int) []string {
	var tokens []string
	for i := from; i < c.MaxTokens; i++ {
		tokens = append(tokens, modelengine.TokenText(c.Prompt(), version, i))
	}
	return tokens
}

// Stream sends a streamed chat. The error is a *Problem if the entry refused.
func (c *Caller) Stream(ctx context.Context, chat *Chat) (*Stream, error) {
	body, err := json.Marshal(map[string]any{
		"model": chat.Model, "stream": true, "max_tokens": chat.MaxTokens,
		"messages": []map[string]string{{"role": "user", "content": chat.Content}},
	})
	if err != nil {
		return nil, fmt.Errorf("encode: %w", err)
	}
	request, err := c.request(ctx, http.MethodPost, "http://"+chat.Address+"/v1/chat/completions", body)
	if err != nil {
		return nil, err
	}
	if chat.LastEventID != "" {
		request.Header.Set("Last-Event-ID", chat.LastEventID)
	}
	if chat.RequestID != "" {
		request.Header.Set("X-Request-Id", chat.RequestID)
	}
	if chat.Timeout > 0 {
		request.Header.Set("X-Request-Timeout", chat.Timeout.String())
	}
	start := time.Now()
	response, err := c.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("send: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, readProblem(response)
	}
	return readStream(response.Body, start, chat.OnToken)
}

func readStream(body io.Reader, start time.Time, each func(int) error) (*Stream, error) {
	result := &Stream{}
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, 1<<20)
	event, last := "", start
	for scanner.Scan() {
		line := scanner.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			result.LastEventID = id
		}
		if name, ok := strings.CutPrefix(line, "event: "); ok {
			event = name
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			result.Complete = true
			return result, nil
		}
		if event == "error" {
			result.Problem = &Problem{}
			_ = json.Unmarshal([]byte(data), result.Problem)
			return result, nil
		}
		if text, ok := tokenOf(data); ok {
			now := time.Now()
			if len(result.Tokens) == 0 {
				result.TimeToFirstToken = now.Sub(start)
			} else {
				result.TokenGaps = append(result.TokenGaps, now.Sub(last))
			}
			last = now
			result.Tokens = append(result.Tokens, text)
			if each != nil {
				if err := each(len(result.Tokens)); err != nil {
					return result, err
				}
			}
		}
	}
	return result, nil
}

func tokenOf(data string) (string, bool) {
	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) == 0 {
		return "", false
	}
	text := chunk.Choices[0].Delta.Content
	return text, text != ""
}

// Answer is a plain service's answer.
type Answer struct {
	Status   int
	Body     []byte
	Replayed bool
}

// Book books an item under an idempotency key; an empty key sends none.
func (c *Caller) Book(ctx context.Context, address, item, key, requestID string) (*Answer, error) {
	body, err := json.Marshal(map[string]string{"item": item})
	if err != nil {
		return nil, fmt.Errorf("encode: %w", err)
	}
	request, err := c.request(ctx, http.MethodPost, "http://"+address+"/services/booking/bookings", body)
	if err != nil {
		return nil, err
	}
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	if requestID != "" {
		request.Header.Set("X-Request-Id", requestID)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("send: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if strings.HasPrefix(response.Header.Get("Content-Type"), "application/problem+json") {
		return nil, readProblem(response)
	}
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	return &Answer{Status: response.StatusCode, Body: answer, Replayed: response.Header.Get("Idempotency-Replayed") == "true"}, nil
}

func (c *Caller) request(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

func readProblem(response *http.Response) error {
	problem := &Problem{Status: response.StatusCode}
	if err := json.NewDecoder(io.LimitReader(response.Body, 1<<20)).Decode(problem); err != nil {
		return fmt.Errorf("status %d without a problem document: %w", response.StatusCode, err)
	}
	return problem
}
