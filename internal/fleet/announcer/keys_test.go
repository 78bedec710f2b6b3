package announcer

import (
	"reflect"
	"testing"

	"gotest.tools/v3/assert"
)

// TestMessageKeysDiffer guards against two fields with one key, of which the encoder sends neither.
func TestMessageKeysDiffer(t *testing.T) {
	for _, kind := range []reflect.Type{reflect.TypeFor[message](), reflect.TypeFor[Status]()} {
		seen := make(map[string]string)
		for field := range kind.Fields() {
			key := field.Tag.Get("cbor")
			for i, r := range key {
				if r == ',' {
					key = key[:i]
					break
				}
			}
			if key == "" || key == "-" {
				continue
			}
			assert.Check(t, seen[key] == "", "%v: %s and %s have key %s", kind, seen[key], field.Name, key)
			seen[key] = field.Name
		}
	}
}
