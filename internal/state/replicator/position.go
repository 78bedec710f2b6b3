package replicator

// A store that comes back from an older copy gives out revisions again, in a new era. Items
// are therefore ordered by positions, which hold the era in the bits above the revision.
// In a store without eras a position is the revision. Fencing tokens are twice a position
// and one, which a JSON number holds exactly up to era 4095.
const revisionBits = 40

// Position returns the position of a revision in an era. Later eras have higher positions
// than all revisions of earlier ones.
func Position(era, revision uint64) uint64 { return era<<revisionBits | RevisionOf(revision) }

// EraOf returns the era of a position.
func EraOf(position uint64) uint64 { return position >> revisionBits }

// RevisionOf returns the store's revision of a position.
func RevisionOf(position uint64) uint64 { return position & (1<<revisionBits - 1) }

// WithoutEras returns the delta with the store's revisions in place of positions, for
// daemons that do not know eras.
func (d Delta) WithoutEras() Delta {
	items := make([]Item, len(d.Items))
	for i, item := range d.Items {
		item.Revision = RevisionOf(item.Revision)
		items[i] = item
	}
	d.Revision, d.Items = RevisionOf(d.Revision), items
	return d
}
