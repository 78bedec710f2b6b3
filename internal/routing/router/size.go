package router

import (
	"math/bits"
	"strconv"
)

const (
	// minSizeClass and maxSizeClass bound the classes of prompts by length, as powers of two of
	// tokens.
	minSizeClass, maxSizeClass = 10, 16
	thousandTokens             = 1 << 10
)

// sizeClass returns the class of a prompt by its length: the thousands of tokens, rounded up to a
// power of two, "64k" for all that are longer than 32k.
func sizeClass(tokens int) string {
	exponent := bits.Len(uint(max(0, tokens-1)))
	exponent = min(max(minSizeClass, exponent), maxSizeClass)
	return strconv.Itoa((1<<exponent)/thousandTokens) + "k"
}

// promptTokens returns the length of the prompt, 0 if there is none.
func (r *Request) promptTokens() int {
	if r.Prompt == nil {
		return 0
	}
	return r.Prompt.Tokens
}

// countBySize counts an outcome of the request by the rank of its kind and the length of its prompt.
func (d *dispatch) countBySize(outcome string) {
	if d.request.Prompt == nil || d.forked {
		return
	}
	d.router.recorder.Count("size." + strconv.Itoa(d.request.kindRank()) + "." + sizeClass(d.request.Prompt.Tokens) + "." + outcome)
}

// countFirstEvent counts the first event that the caller gets, by whether it is in time.
func (d *dispatch) countFirstEvent() {
	if target := d.request.Route.LatencyTarget; target > 0 && d.router.clock.Now().Sub(d.request.Arrived) > target {
		d.countBySize("late")
		return
	}
	d.countBySize("inTime")
}
