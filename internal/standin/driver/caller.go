// Package driver is a caller for tests: it sends requests to an entry, times the answers,
// and computes the tokens that they should hold.
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

// Caller sends requests with one bearer key.
type Caller struct {
	key  string
	http *http.Client
}

// New returns a caller. Unless reuse is set, each request has a connection of its own.
func New(key string, reuse bool) *Caller {
	return &Caller{key: key, http: &http.Client{Transport: &http.Transport{DisableKeepAlives: !reuse, MaxIdleConnsPerHost: 1024}}}
}

// Problem is a problem document, which the entry sends as an error answer or in the error
// event of a stream.
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

// Stream is the part of an answer stream that was received.
type Stream struct {
	// Tokens holds the texts of the tokens received.
	Tokens []string
	// Complete is set if the stream ended with its end mark.
	Complete bool
	// Problem is the content of the error event, if there was one.
	Problem *Problem
	// LastEventID is the ID of the last event, from which the stream can be resumed.
	LastEventID string
	// TimeToFirstToken is the time from sending the request.
	TimeToFirstToken time.Duration
	// TokenGaps holds the times between successive tokens.
	TokenGaps []time.Duration
}

// Chat describes a streamed model request with one user message.
type Chat struct {
	// Address is the caller address of an entry.
	Address   string
	Model     string
	Content   string
	MaxTokens int
	// LastEventID, if set, resumes an earlier stream after that event. RequestID and
	// Timeout are sent if set.
	LastEventID string
	RequestID   string
	Timeout     time.Duration
	// OnToken, if set, is called after every token with the number of tokens received. An
	// error from it ends the stream.
	OnToken func(tokens int) error
}

// Prompt returns the prompt that the entry builds from the chat's content.
func (c *Chat) Prompt() []byte { return []byte("<user>\n" + c.Content + "\n") }

// ExpectedTokens returns the tokens of a complete answer on a weights version, from the
// given index on.
func (c *Chat) ExpectedTokens(version string, from int) []string {
	var tokens []string
	for i := from; i < c.MaxTokens; i++ {
		tokens = append(tokens, modelengine.TokenText(c.Prompt(), version, i))
	}
	return tokens
}

// Stream sends a chat and reads the answer stream until it ends. The error is a *Problem
// if the entry refused the request.
func (c *Caller) Stream(ctx context.Context, chat *Chat) (*Stream, error) {
	body, err := json.Marshal(map[string]any{
		"model": chat.Model, "stream": true, "max_tokens": chat.MaxTokens,
		"messages": []map[string]string{{"role": "user", "content": chat.Content}},
	})
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	request, err := c.newRequest(ctx, http.MethodPost, "http://"+chat.Address+"/v1/chat/completions", body)
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
		return nil, fmt.Errorf("send request: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, readProblem(response)
	}
	return readStream(response.Body, start, chat.OnToken)
}

// readStream reads server-sent events until the end mark, an error event or the end of
// the body. A body that breaks off is no error: the stream is then not complete.
func readStream(body io.Reader, start time.Time, onToken func(int) error) (*Stream, error) {
	stream := &Stream{}
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, 1<<20)
	eventName, lastTokenAt := "", start
	for scanner.Scan() {
		line := scanner.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			stream.LastEventID = id
		}
		if name, ok := strings.CutPrefix(line, "event: "); ok {
			eventName = name
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			stream.Complete = true
			return stream, nil
		}
		if eventName == "error" {
			stream.Problem = &Problem{}
			_ = json.Unmarshal([]byte(data), stream.Problem)
			return stream, nil
		}
		if text, ok := tokenText(data); ok {
			now := time.Now()
			if len(stream.Tokens) == 0 {
				stream.TimeToFirstToken = now.Sub(start)
			} else {
				stream.TokenGaps = append(stream.TokenGaps, now.Sub(lastTokenAt))
			}
			lastTokenAt = now
			stream.Tokens = append(stream.Tokens, text)
			if onToken != nil {
				if err := onToken(len(stream.Tokens)); err != nil {
					return stream, err
				}
			}
		}
	}
	return stream, nil
}

// tokenText returns the text of the token in an event's data, or false if there is none.
func tokenText(data string) (string, bool) {
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

// Book sends a booking to the booking service through an entry. The idempotency key and
// the request ID are sent unless they are empty. The error is a *Problem if the entry
// answered with a problem document.
func (c *Caller) Book(ctx context.Context, address, item, key, requestID string) (*Answer, error) {
	body, err := json.Marshal(map[string]string{"item": item})
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	request, err := c.newRequest(ctx, http.MethodPost, "http://"+address+"/services/booking/bookings", body)
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
		return nil, fmt.Errorf("send request: %w", err)
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

// newRequest returns a JSON request with the caller's key.
func (c *Caller) newRequest(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// readProblem returns an error answer's problem document as an error.
func readProblem(response *http.Response) error {
	problem := &Problem{Status: response.StatusCode}
	if err := json.NewDecoder(io.LimitReader(response.Body, 1<<20)).Decode(problem); err != nil {
		return fmt.Errorf("status %d without a problem document: %w", response.StatusCode, err)
	}
	return problem
}
