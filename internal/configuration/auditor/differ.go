package auditor

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"

	"github.com/zeebo/xxh3"
)

// Change is one difference between two configurations. Before or After is "" if the entry is only in the
// other one.
type Change struct {
	Path   string `json:"path"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Differ compares configurations as they are written, decoded into maps, lists and values.
type Differ struct {
	// Names are the fields that identify the entries of lists, such as "name". Entries without one are
	// compared by their place.
	Names []string
	// Secrets are the fields whose values are shown as fingerprints only.
	Secrets []string
}

// Compare returns the differences between two configurations in the order of their paths.
func (d Differ) Compare(before, after any) []Change {
	old, current := make(map[string]string), make(map[string]string)
	d.flatten("", false, before, old)
	d.flatten("", false, after, current)
	var changes []Change
	for path, value := range old {
		if current[path] != value {
			changes = append(changes, Change{Path: path, Before: value, After: current[path]})
		}
	}
	for path, value := range current {
		if _, known := old[path]; !known {
			changes = append(changes, Change{Path: path, After: value})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Path, b.Path) })
	return changes
}

// flatten stores each value below a path in leaves.
func (d Differ) flatten(path string, secret bool, value any, leaves map[string]string) {
	switch value := value.(type) {
	case map[string]any:
		for key, inner := range value {
			d.flatten(join(path, key), secret || slices.Contains(d.Secrets, key), inner, leaves)
		}
	case []any:
		for i, inner := range value {
			d.flatten(path+d.place(i, inner, secret), secret, inner, leaves)
		}
	default:
		text, err := json.Marshal(value)
		if err != nil {
			text = fmt.Append(nil, value)
		}
		if secret {
			text = fingerprint(text)
		}
		leaves[path] = string(text)
	}
}

// place returns the name of a list's entry in brackets, or its number. Secrets are a set: the place of one
// is its fingerprint.
func (d Differ) place(i int, entry any, secret bool) string {
	if fields, ok := entry.(map[string]any); ok {
		for _, name := range d.Names {
			if text, ok := fields[name].(string); ok {
				return "[" + strconv.Quote(text) + "]"
			}
		}
	}
	if text, ok := entry.(string); ok && secret {
		return "[" + string(fingerprint([]byte(text))) + "]"
	}
	return "[" + strconv.Itoa(i) + "]"
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// fingerprint tells secrets apart without showing them.
func fingerprint(text []byte) []byte { return fmt.Appendf(nil, "#%08x", uint32(xxh3.Hash(text))) }
