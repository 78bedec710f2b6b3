package spreader

import (
	"bytes"

	"github.com/zeebo/xxh3"
)

// Document is one revision as it is sent between daemons. If the receiver holds
// the base, only the part that differs from it is sent, and the receiver accepts
// the restored text only if its checksum is right. A document without a base
// carries the whole text.
//
// AReaL-DTE publishes sparse weight updates in the same way: it sends only what
// changed, against a base that the receiver has verified. See docs/CAPACITY.md for
// what it saves here.
type Document struct {
	Service  string
	Revision uint64
	// Base is the revision that the delta applies to, 0 if Text is the whole text.
	Base uint64
	// Prefix and Suffix are the numbers of bytes of the base that remain before
	// and after Text.
	Prefix, Suffix int
	// Sum is the checksum of the whole text, if there is a base.
	Sum uint64
	// Text is the whole text, or the bytes that replace the middle of the base.
	Text []byte
}

// missingDocuments returns documents for all revisions that are newer than those
// of a peer, as deltas where the peer holds the base.
func missingDocuments[T any](snapshot *Snapshot[T], peerRevisions map[string]uint64) []Document {
	var result []Document
	for _, r := range snapshot.NewerThan(peerRevisions) {
		if r.base != nil && r.base.Revision == peerRevisions[r.Service] {
			result = append(result, delta(r.Service, r.Revision, r.Text, r.base.Revision, r.base.Text))
			continue
		}
		result = append(result, Document{Service: r.Service, Revision: r.Revision, Text: r.Text})
	}
	return result
}

// delta returns a document that holds only the part of the text between the common
// prefix and the common suffix of text and base.
func delta(service string, revision uint64, text []byte, baseRevision uint64, base []byte) Document {
	shorterLength := min(len(text), len(base))
	prefix := 0
	for prefix < shorterLength && text[prefix] == base[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < shorterLength-prefix && text[len(text)-1-suffix] == base[len(base)-1-suffix] {
		suffix++
	}
	return Document{
		Service: service, Revision: revision, Base: baseRevision, Prefix: prefix, Suffix: suffix,
		Sum: xxh3.Hash(text), Text: text[prefix : len(text)-suffix],
	}
}

// wholeText restores the whole text from the base's text. It returns false if base
// is not the text that the document was made from.
func (d *Document) wholeText(base []byte) ([]byte, bool) {
	if d.Base == 0 {
		return d.Text, true
	}
	if d.Prefix < 0 || d.Suffix < 0 || d.Prefix > len(base) || d.Suffix > len(base)-d.Prefix {
		return nil, false
	}
	whole := bytes.Join([][]byte{base[:d.Prefix], d.Text, base[len(base)-d.Suffix:]}, nil)
	return whole, xxh3.Hash(whole) == d.Sum
}

// textOf returns the text of a service's revision, or nil if the snapshot holds
// another revision or none.
func (s *Snapshot[T]) textOf(service string, revision uint64) []byte {
	if r := s.byService[service]; r != nil && r.Revision == revision {
		return r.Text
	}
	return nil
}
