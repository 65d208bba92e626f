package imitator

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
)

// directoryCopy is all that the store holds at one moment.
type directoryCopy struct {
	items    map[string]directoryItem
	leases   map[uint64]directoryLease
	revision uint64
	nextID   uint64
}

// TakeCopy keeps a copy of the store as it is now.
func (d *Directory) TakeCopy() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire()
	d.copy = directoryCopy{items: maps.Clone(d.items), leases: maps.Clone(d.leases), revision: d.revision, nextID: d.nextID}
}

// Restore lets the store come back from its copy: what was written since is gone,
// leases too, and revisions are given out again. The header that counts this rises by
// one.
func (d *Directory) Restore() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.items, d.leases = maps.Clone(d.copy.items), maps.Clone(d.copy.leases)
	d.revision, d.nextID = d.copy.revision, d.copy.nextID
	d.events = slices.DeleteFunc(slices.Clone(d.events), func(e directoryItem) bool { return e.Revision > d.revision })
	d.dropped = min(d.dropped, d.revision)
	d.era++
	d.wake()
}

func (d *Directory) eraNow() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.era
}

// nameEra writes the header that counts the returns from a copy.
func (d *Directory) nameEra(w http.ResponseWriter) {
	d.mu.Lock()
	defer d.mu.Unlock()
	text := strconv.FormatUint(d.era+1, 10)
	if d.namedEra != nil {
		text = *d.namedEra
	}
	w.Header().Del("Store-Era")
	if text != "" {
		w.Header().Set("Store-Era", text)
	}
}

// NameEra sets the header that counts the returns from a copy; an empty text leaves it
// out, which a real store never does.
func (d *Directory) NameEra(text string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.namedEra = &text
}
