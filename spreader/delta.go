package spreader

import (
	"bytes"

	"github.com/zeebo/xxh3"
)

// Document is one revision on its way between daemons. If the receiver holds the
// base, only the part that differs is sent; the result is taken only if its sum
// is right. A document without a base carries its whole text.
//
// Sending only what changed, against a base that the receiver has verified, is
// how sparse weight updates are published in AReaL-DTE; see docs/CAPACITY.md for
// what it saves here.
type Document struct {
	Service  string
	Revision uint64
	// Base is the revision that Text is applied to, 0 for none.
	Base uint64
	// Prefix and Suffix are the bytes of the base that stay before and after Text.
	Prefix, Suffix int
	// Sum is the checksum of the whole text, if there is a base.
	Sum  uint64
	Text []byte
}

// documents returns what a peer with the given revisions lacks.
func documents[T any](snapshot *Snapshot[T], held map[string]uint64) []Document {
	var result []Document
	for _, r := range snapshot.NewerThan(held) {
		if r.base != nil && r.base.Revision == held[r.Service] {
			result = append(result, delta(r.Service, r.Revision, r.Text, r.base.Revision, r.base.Text))
			continue
		}
		result = append(result, Document{Service: r.Service, Revision: r.Revision, Text: r.Text})
	}
	return result
}

// delta makes a document that holds only what differs from the base.
func delta(service string, revision uint64, text []byte, baseRevision uint64, base []byte) Document {
	shorter := min(len(text), len(base))
	prefix := 0
	for prefix < shorter && text[prefix] == base[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < shorter-prefix && text[len(text)-1-suffix] == base[len(base)-1-suffix] {
		suffix++
	}
	return Document{
		Service: service, Revision: revision, Base: baseRevision, Prefix: prefix, Suffix: suffix,
		Sum: xxh3.Hash(text), Text: text[prefix : len(text)-suffix],
	}
}

// text returns the whole text, or false if the base is not the right one.
func (d *Document) text(base []byte) ([]byte, bool) {
	if d.Base == 0 {
		return d.Text, true
	}
	if d.Prefix < 0 || d.Suffix < 0 || d.Prefix > len(base) || d.Suffix > len(base)-d.Prefix {
		return nil, false
	}
	whole := bytes.Join([][]byte{base[:d.Prefix], d.Text, base[len(base)-d.Suffix:]}, nil)
	return whole, xxh3.Hash(whole) == d.Sum
}

// textOf returns the text of a revision if it is the one held, or nil.
func (s *Snapshot[T]) textOf(service string, revision uint64) []byte {
	if r := s.revised[service]; r != nil && r.Revision == revision {
		return r.Text
	}
	return nil
}
